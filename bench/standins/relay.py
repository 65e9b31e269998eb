"""A bare asyncio byte relay that reads nothing: the floor of a hop."""

from __future__ import annotations

import asyncio
import sys
from typing import cast


class Side(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self) -> None:
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Front(Side):
    """The side that a caller connects to."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.address = (host, port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.connect(loop))

    async def connect(self, loop: asyncio.AbstractEventLoop) -> None:
        _, back = await loop.create_connection(Side, *self.address)
        back.other = self
        self.other = back
        for data in self.early:
            assert back.transport is not None
            back.transport.write(data)


async def serve(port: int, target: str) -> None:
    """Runs the relay until it is ended."""
    host, _, target_port = target.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: Front(host, int(target_port)), "127.0.0.1", port
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
