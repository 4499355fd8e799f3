"""A connection of a client, and why it or its request is refused."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from attrs import define


class Refusal(Enum):
    """Why a request or connection is refused; the values are labels of a counter."""

    TOO_LARGE = "body-too-large"
    NO_BUDGET = "body-budget"
    UNFINISHED = "unfinished-requests"
    SLOW_BODY = "slow-body"
    SLOW_HEADERS = "slow-headers"
    PIPELINED = "pipelined-requests"
    UNREAD = "unread-answer"
    ABANDONED = "abandoned-requests"
    CONNECTIONS = "connections"
    PEER_CONNECTIONS = "peer-connections"
    PEER_UNAUTHENTICATED = "peer-unauthenticated"


class Phase(Enum):
    """What a connection does."""

    IDLE = "idle"
    HEADERS = "headers"
    BODY = "body"
    ANSWERING = "answering"
    SENDING = "sending"
    REFUSED = "refused"


def ignore_refusal(reason: Refusal) -> None:
    """Do nothing: the connection is closed, or not served yet."""


@define(eq=False)
class ClientConnection:
    """A connection of a client.

    :param address: the client's IP address.
    :param port_name: the server's port that it uses.
    :param phase_since_s: monotonic time at which the phase began.
    :param progress_s: monotonic time of the last byte.
    :param held_bytes: memory that the present request is counted with.
    :param received_bytes: bytes of the present request that have arrived.
    :param body_bytes: those that arrived since its headers, with framing.
    :param payload_bytes: those of the body without framing.
    :param max_payload_bytes: longest body that is accepted.
    :param is_chunked: whether the body has no declared length.
    :param is_next_arrived: whether nothing has arrived since the last answer, so that
        a next request was sent before it.
    :param pipelined_count: number of such requests.
    :param on_refused: answers the request and closes the connection.
    """

    address: str
    port_name: str
    phase_since_s: float
    progress_s: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    received_bytes: int = 0
    body_bytes: int = 0
    payload_bytes: int = 0
    max_payload_bytes: int = 0
    is_chunked: bool = False
    is_next_arrived: bool = False
    pipelined_count: int = 0
    on_refused: Callable[[Refusal], None] = ignore_refusal

    def enter(self, phase: Phase, now_s: float) -> None:
        """Change the phase."""
        self.phase = phase
        self.phase_since_s = now_s


Refusals = list[tuple[ClientConnection, Refusal]]
