"""Keys of the rows that a pool slice keeps in the table."""

from __future__ import annotations

CANCEL_SUFFIX = ".cancel"


def jobs_prefix(slice_name: str) -> str:
    """Return the prefix of all submissions and cancellations."""
    return f"jobs/{slice_name}/"


def job_key(slice_name: str, job_id: str) -> str:
    """Return the key of a submission."""
    return f"jobs/{slice_name}/{job_id}"


def cancel_key(slice_name: str, job_id: str) -> str:
    """Return the key of a cancellation."""
    return f"jobs/{slice_name}/{job_id}{CANCEL_SUFFIX}"


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
