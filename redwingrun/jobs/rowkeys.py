"""Keys of the rows that a pool slice keeps in the table."""

from __future__ import annotations

import zlib

CANCEL_SUFFIX = ".cancel"
# Submissions lie in several parts of the table: a part takes its writes one after
# the other, and the owner's must not wait behind those of all members.
JOB_PARTITIONS = 16


def jobs_prefix(slice_name: str) -> str:
    """Return the prefix of all submissions and cancellations, in all parts."""
    return f"jobs/{slice_name}-"


def jobs_prefixes(slice_name: str) -> list[str]:
    """Return the prefix of each part."""
    return [f"jobs/{slice_name}-{part:x}/" for part in range(JOB_PARTITIONS)]


def job_partitions(slice_name: str, job_id: str) -> tuple[str, str]:
    """Return the part of a job's submission, and the one in its stead."""
    first = zlib.crc32(job_id.encode()) % JOB_PARTITIONS
    second = (first + JOB_PARTITIONS // 2) % JOB_PARTITIONS
    return f"{slice_name}-{first:x}", f"{slice_name}-{second:x}"


def job_keys(slice_name: str, job_id: str) -> list[str]:
    """Return the keys at which a submission may stand, the usual one first."""
    return [f"jobs/{part}/{job_id}" for part in job_partitions(slice_name, job_id)]


def cancel_keys(slice_name: str, job_id: str) -> list[str]:
    """Return the keys at which a cancellation may stand, the usual one first."""
    return [key + CANCEL_SUFFIX for key in job_keys(slice_name, job_id)]


def standby_partitions(slice_name: str) -> tuple[str, ...]:
    """Return the parts that take an owner's writes while its own does not answer."""
    return f"{slice_name}-standby", f"{slice_name}-standby-2"


def progress_prefix(slice_name: str) -> str:
    """Return the prefix of all progress rows."""
    return f"progress/{slice_name}/"


def progress_key(slice_name: str, job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{slice_name}/{job_id}"


def members_prefix(slice_name: str) -> str:
    """Return the prefix of the members' rows."""
    return f"members/{slice_name}/"


def last_segment(key: str) -> str:
    """Return what follows the last slash."""
    return key.rsplit("/", 1)[1]
