"""The limits on what clients may hold of a process, by the size of its host."""

from __future__ import annotations

from typing import Any

from attrs import frozen

BYTES_PER_MB = 1_048_576
# A process uses about 61 MB at its peak without requests in flight.
PROCESS_MB = 64
# A byte of a body needs up to four bytes of memory: the buffer that grows, the copy for
# the handler and the decoded request.
MEMORY_PER_BODY_BYTE = 4
# What tornado and the kernel's descriptor need for a connection without a body.
MEMORY_PER_CONNECTION_BYTES = 65_536
# The largest body that a process accepts must fit into the budget beside other bodies.
MIN_LARGEST_BODIES = 2
# Part of the memory beside the process that connections without bodies may use. Bodies
# rarely need the whole rest: not all of them are copied and decoded at the same time.
CONNECTION_MEMORY_SHARE = 0.25
MIN_CONNECTIONS = 16
# Clients get this part of the descriptors; calls to workers, peers and the store need
# the rest.
CLIENT_DESCRIPTOR_SHARE = 0.25


@frozen
class BodyLimits:
    """Limits of one process.

    :param total_bytes: bytes held by unanswered requests, with headers and framing.
    :param max_connections: most connections of clients.
    :param max_unfinished: most connections with an unfinished request.
    :param max_peer_connections: most connections to the peers' port that have not sent
        the secret yet.
    :param max_body_bytes: longest body; a chunked one counts with its framing.
    :param min_bytes_per_s: minimum rate of a body since its headers, whose bytes are
        counted too.
    :param rate_grace_s: time before the rate of a body is checked. A link that loses
        packets, or a host that is stopped, delays an ordinary body by some seconds.
    :param header_timeout_s: time from the first byte of the headers to their last.
    :param max_pipelined: most requests of a connection that are sent before the answer
        to the one before; they keep all other work waiting.
    """

    total_bytes: int
    max_connections: int
    max_unfinished: int
    max_peer_connections: int
    max_body_bytes: int = BYTES_PER_MB
    min_bytes_per_s: int = 8_192
    rate_grace_s: float = 5.0
    header_timeout_s: float = 3.0
    max_pipelined: int = 4

    @classmethod
    def for_host(
        cls,
        memory_mb: float,
        max_descriptors: int,
        max_body_bytes: int = BYTES_PER_MB,
        **others: Any,
    ) -> BodyLimits:
        """Return the limits for a process that has the memory of its host to itself.

        :param memory_mb: memory of the host, in MiB.
        :param max_descriptors: most open file descriptors of the process.
        :param others: values of further limits.
        """
        room_bytes = int(max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB)
        connections = min(
            int(room_bytes * CONNECTION_MEMORY_SHARE) // MEMORY_PER_CONNECTION_BYTES,
            int(max_descriptors * CLIENT_DESCRIPTOR_SHARE),
        )
        connections = max(MIN_CONNECTIONS, connections)
        return cls(
            total_bytes=max(
                MIN_LARGEST_BODIES * max_body_bytes, room_bytes // MEMORY_PER_BODY_BYTE
            ),
            max_connections=connections,
            max_unfinished=connections // 2,
            max_peer_connections=connections // 2,
            max_body_bytes=max_body_bytes,
            **others,
        )
