"""Loopback proxy that injects faults into connections to a node's peer port."""

from __future__ import annotations

import asyncio
import contextlib
import enum


class Mode(enum.Enum):
    """What happens to the forwarded data.

    Attributes:
      PASS: Forwarded unchanged.
      DELAY: Each read is forwarded after `DELAY_SECONDS`.
      CUT_IN: Data towards the node is dropped.
      CUT_OUT: Data from the node is dropped.
      SILENT: Data of both directions is dropped.
    """

    PASS = "pass"
    DELAY = "delay"
    CUT_IN = "cut_in"
    CUT_OUT = "cut_out"
    SILENT = "silent"


DELAY_SECONDS = 0.4
READ_BYTES = 64 * 1024


class FaultyWire:
    """Forwards connections to one port.

    Attributes:
      mode: Fault applied to all connections, also to established ones.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.mode = Mode.PASS
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listens on a loopback port."""
        self.server = await asyncio.start_server(
            self.forward, "127.0.0.1", port
        )

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection in both directions."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        pumps = [
            asyncio.create_task(self.pump(reader, far_writer, Mode.CUT_IN)),
            asyncio.create_task(self.pump(far_reader, writer, Mode.CUT_OUT)),
        ]
        # The end of a run cancels forwarding that is still in progress.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for side in (writer, far_writer):
            self.writers.discard(side)
            side.transport.abort()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Mode,
    ) -> None:
        """Forwards one direction until its end of stream."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                if self.mode in (Mode.SILENT, cut):
                    continue
                writer.write(data)
                await writer.drain()

    def reset(self) -> None:
        """Resets all established connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
