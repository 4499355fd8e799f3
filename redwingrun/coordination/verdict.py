"""Outcomes of a request: an answer, or a failure that says whether it may have run."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

# Reason of a failure: nothing was received until the timeout.
TIMEOUT = "timeout"


class Verdict(Enum):
    """What is known about a request after an attempt to run it.

    Only :attr:`NOT_RUN` allows a retry of a request that is not idempotent.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


@frozen
class Answer:
    """A complete answer from an upstream.

    :param body: the payload, already verified against its digest.
    :param upstream: name of the minion or worker that produced the answer.
    :param waited_s: seconds the request waited before it was sent.
    """

    body: bytes
    upstream: str = ""
    waited_s: float = 0.0

    @property
    def verdict(self) -> Verdict:
        """The verdict, which is always :attr:`Verdict.ANSWERED`."""
        return Verdict.ANSWERED


@frozen
class Failure:
    """Why a request has no answer, and whether it may have run.

    :param verdict: :attr:`Verdict.NOT_RUN` or :attr:`Verdict.MAY_HAVE_RUN`.
    :param reason: a short, stable code for programs.
    :param detail: one sentence for people.
    :param upstream: name of the minion or worker, if one was involved.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
    upstream: str = field(default="", kw_only=True)

    @property
    def retriable(self) -> bool:
        """Whether the request may be retried even if it is not idempotent."""
        return self.verdict is Verdict.NOT_RUN


def not_run(reason: str, detail: str = "", upstream: str = "") -> Failure:
    """Return the failure of a request that certainly did not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, upstream=upstream)


def may_have_run(reason: str, detail: str = "", upstream: str = "") -> Failure:
    """Return the failure of a request that may have run."""
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail, upstream=upstream)
