"""Byte relay on bare asyncio: the lower bound for the cost of a hop.

It forwards data without parsing it.
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast


class Side(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self) -> None:
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.pending.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class CallerSide(Side):
    """The caller's side; opens the connection to the target."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.address = (host, port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self.connect(loop))

    async def connect(self, loop: asyncio.AbstractEventLoop) -> None:
        _, target_side = await loop.create_connection(Side, *self.address)
        target_side.other = self
        self.other = target_side
        for data in self.pending:
            assert target_side.transport is not None
            target_side.transport.write(data)


async def serve(port: int, target: str) -> None:
    """Runs the relay until the process is ended."""
    host, _, target_port = target.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: CallerSide(host, int(target_port)), "127.0.0.1", port
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
