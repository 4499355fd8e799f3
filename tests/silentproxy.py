"""A proxy whose open connections go silent without a reset."""

from __future__ import annotations

import asyncio
from typing import Any

READ_BYTES = 65_536


class SilentProxy:
    """Forwards connections on loopback.

    :param port: port to listen on.
    :param target_port: port to forward to.
    """

    def __init__(self, port: int, target_port: int):
        self._port = port
        self._target_port = target_port
        self._generation = 0
        self._tasks: set[asyncio.Task] = set()
        self._writers: list[Any] = []

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    def silence(self) -> None:
        """Let the open connections swallow what they get; new ones still work."""
        self._generation += 1

    async def _serve(self, reader: Any, writer: Any) -> None:
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        self._writers += [writer, target[1]]
        for source, sink in ((reader, target[1]), (target[0], writer)):
            task = asyncio.create_task(self._forward(source, sink, self._generation))
            self._tasks.add(task)

    async def _forward(self, source: Any, sink: Any, generation: int) -> None:
        while data := await source.read(READ_BYTES):
            if generation == self._generation:
                sink.write(data)
        if generation == self._generation:
            sink.close()

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()
        await asyncio.gather(
            *(writer.wait_closed() for writer in self._writers), return_exceptions=True
        )
