"""Keys of a slice's rows in the table.

The second segment of a key names the partition of the table that holds the row.
"""

from __future__ import annotations

import zlib

CANCEL_SUFFIX = ".cancel"
# Submissions are spread over several partitions: a partition applies its writes one
# after the other, and the owner's must not queue behind submissions at all members.
# With so many, a table that has become a hundred times slower stores those of a large
# cell in time.
JOB_PARTITIONS = 64


def jobs_prefix(slice_name: str) -> str:
    """Return the prefix of all submissions and cancellations, in all partitions."""
    return f"jobs/{slice_name}-"


def jobs_prefixes(slice_name: str) -> list[str]:
    """Return the prefix of submissions and cancellations in each partition."""
    return [f"jobs/{slice_name}-{number:x}/" for number in range(JOB_PARTITIONS)]


def job_partitions(slice_name: str, job_id: str) -> tuple[str, str]:
    """Return the partition of a job's submission and its alternative.

    The alternative is used while the usual partition does not answer.
    """
    first = zlib.crc32(job_id.encode()) % JOB_PARTITIONS
    second = (first + JOB_PARTITIONS // 2) % JOB_PARTITIONS
    return f"{slice_name}-{first:x}", f"{slice_name}-{second:x}"


def job_keys(slice_name: str, job_id: str) -> list[str]:
    """Return the possible keys of a job's submission, the usual one first."""
    return [
        f"jobs/{partition}/{job_id}" for partition in job_partitions(slice_name, job_id)
    ]


def cancel_keys(slice_name: str, job_id: str) -> list[str]:
    """Return the possible keys of a job's cancellation, the usual one first."""
    return [key + CANCEL_SUFFIX for key in job_keys(slice_name, job_id)]


def standby_partitions(slice_name: str) -> tuple[str, ...]:
    """Return the partitions for an owner's writes while the primary does not answer."""
    return f"{slice_name}-standby", f"{slice_name}-standby-2"


def progress_prefix(partition: str) -> str:
    """Return the prefix of all progress rows in a partition."""
    return f"progress/{partition}/"


def progress_key(partition: str, job_id: str) -> str:
    """Return the key of a job's progress in a partition."""
    return f"progress/{partition}/{job_id}"


def members_prefix(slice_name: str) -> str:
    """Return the prefix of all members' rows."""
    return f"members/{slice_name}/"


def last_segment(key: str) -> str:
    """Return the part of a key after the last slash."""
    return key.rsplit("/", 1)[1]
