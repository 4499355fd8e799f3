"""Keys of the rows that a pool slice keeps in the table."""

from __future__ import annotations

import zlib

CANCEL_SUFFIX = ".cancel"
# Submissions lie in several parts of the table: a part takes its writes one after
# the other, and the owner's must not wait behind those of all members.
JOB_PARTS = 16


def jobs_prefix(slice_name: str) -> str:
    """Return the prefix of all submissions and cancellations, in all parts."""
    return f"jobs/{slice_name}-"


def jobs_prefixes(slice_name: str) -> list[str]:
    """Return the prefix of each part."""
    return [f"jobs/{slice_name}-{part:x}/" for part in range(JOB_PARTS)]


def job_key(slice_name: str, job_id: str) -> str:
    """Return the key of a submission."""
    part = zlib.crc32(job_id.encode()) % JOB_PARTS
    return f"jobs/{slice_name}-{part:x}/{job_id}"


def cancel_key(slice_name: str, job_id: str) -> str:
    """Return the key of a cancellation."""
    return job_key(slice_name, job_id) + CANCEL_SUFFIX


def progress_prefix(slice_name: str) -> str:
    """Return the prefix of all progress rows."""
    return f"progress/{slice_name}/"


def progress_key(slice_name: str, job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"progress/{slice_name}/{job_id}"


def node_prefix(slice_name: str) -> str:
    """Return the prefix of the members' rows."""
    return f"members/{slice_name}/"


def last_part(key: str) -> str:
    """Return what follows the last slash."""
    return key.rsplit("/", 1)[1]
