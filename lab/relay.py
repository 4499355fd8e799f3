"""A TCP relay that can cut a link in one direction or both."""

from __future__ import annotations

import asyncio

from attrs import define, field

CHUNK_BYTES = 65536


@define
class Relay:
    """Forwards connections to a port of the loopback address.

    :param drop_requests: discard the bytes towards the port.
    :param drop_answers: discard the bytes from the port.
    """

    target_port: int
    drop_requests: bool = False
    drop_answers: bool = False
    _server: asyncio.Server | None = field(default=None)
    _copies: set[asyncio.Task] = field(factory=set)

    async def start(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def stop(self) -> None:
        """Stop listening and forwarding."""
        if self._server is not None:
            self._server.close()
        for task in self._copies:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.close()
            return
        requests = self._copy(reader, target_writer, lambda: self.drop_requests)
        answers = self._copy(target_reader, writer, lambda: self.drop_answers)
        for direction in (requests, answers):
            task = asyncio.create_task(direction)
            self._copies.add(task)
            task.add_done_callback(self._copies.discard)

    async def _copy(self, reader, writer, is_dropped) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not is_dropped():
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
