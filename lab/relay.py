"""A relay in front of a port, to cut a link in one direction or both."""

from __future__ import annotations

import asyncio

from attrs import define, field

CHUNK_BYTES = 65536


@define
class Relay:
    """Passes bytes to a port of this machine until it is told to drop them."""

    target_port: int
    drop_requests: bool = False
    drop_answers: bool = False
    _server: asyncio.Server | None = field(default=None)
    _pumps: set[asyncio.Task] = field(factory=set)

    async def start(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def stop(self) -> None:
        """Stop listening and passing."""
        if self._server is not None:
            self._server.close()
        for pump in self._pumps:
            pump.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.close()
            return
        there = self._pump(reader, far_writer, lambda: self.drop_requests)
        back = self._pump(far_reader, writer, lambda: self.drop_answers)
        for work in (there, back):
            task = asyncio.create_task(work)
            self._pumps.add(task)
            task.add_done_callback(self._pumps.discard)

    async def _pump(self, reader, writer, dropped) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not dropped():
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
