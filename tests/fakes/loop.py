"""An event loop with simulated time and an in-memory network.

The real node runs on it unchanged. No wait depends on the machine, so a test is
deterministic. The loop models connections, datagrams and their owners, and has
no knowledge of nodes.
"""

from __future__ import annotations

import asyncio
import collections
import contextvars
import selectors
from collections.abc import Callable, Iterable
from typing import Any

HIGH_WATER = 64 * 1024
LATENCY_SECONDS = 0.0005
HELD_SECONDS = 0.01
SECONDS_MAX = 900.0
OWNER: contextvars.ContextVar[str] = contextvars.ContextVar(
    "owner", default="test"
)


class JumpingSelector(selectors.SelectSelector):
    """Advances the simulated time where a real selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        if self.now > SECONDS_MAX:
            raise RuntimeError("the test exceeds its limit of simulated time")
        return []


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection.

    Attributes:
      loop: Loop that it belongs to.
      protocol: Protocol of this end.
      owner: Owner of this end.
      peer: The other end.
      on_way: Data in transit to this end.
      inbox: Data that arrived and is not read yet.
      reading: Whether the protocol reads.
      closing: Whether the connection is closed or closing.
      lost: Whether the connection has ended.
      writer_paused: Whether this end's protocol must not write.
      context: Context in which callbacks of this end run.
    """

    def __init__(
        self, loop: MemoryLoop, protocol: asyncio.Protocol, owner: str
    ) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.owner = owner
        self.peer: MemoryTransport | None = None
        self.on_way: collections.deque[bytes] = collections.deque()
        self.inbox: list[bytes] = []
        self.reading = True
        self.closing = False
        self.lost = False
        self.writer_paused = False
        self.context = contextvars.copy_context()
        self.context.run(OWNER.set, owner)
        loop.transports.append(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        del high, low

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return 0

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """Does nothing: no test needs a half-closed connection."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.closing or self.peer is None or not data:
            return
        # Timers due at the same time fire in any order; the queue keeps the
        # order of the bytes.
        self.peer.on_way.append(bytes(data))
        self.loop.call_later(
            LATENCY_SECONDS, self.peer.deliver, context=self.peer.context
        )
        self.peer.pending += len(data)
        if self.peer.pending > HIGH_WATER and not self.writer_paused:
            self.writer_paused = True
            self.protocol.pause_writing()

    pending = 0

    def deliver(self) -> None:
        if self.peer and self.loop.is_silent(self.owner, self.peer.owner):
            self.loop.call_later(
                HELD_SECONDS, self.deliver, context=self.context
            )
            return
        self.inbox.append(self.on_way.popleft())
        self.flush()

    def flush(self) -> None:
        while self.inbox and self.reading and not self.lost:
            data = self.inbox.pop(0)
            self.pending -= len(data)
            self.protocol.data_received(data)
        writer = self.peer
        if (
            writer is not None
            and writer.writer_paused
            and self.pending <= HIGH_WATER // 4
            and not writer.lost
        ):
            writer.writer_paused = False
            writer.protocol.resume_writing()

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self.loop.call_soon(self.flush)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_later(
                LATENCY_SECONDS, self.lose, context=self.context
            )

    def abort(self) -> None:
        self.close()

    def lose(self, *, tell_owner: bool = True) -> None:
        """Ends the connection at both ends.

        Args:
          tell_owner: Whether the protocol of this end is notified.
        """
        if self.lost:
            return
        self.lost = self.closing = True
        if tell_owner:
            self.protocol.connection_lost(None)
        peer = self.peer
        if peer is not None and not peer.lost:
            self.loop.call_later(
                LATENCY_SECONDS, peer.hear_end, context=peer.context
            )

    def reset(self) -> None:
        """Resets the connection; the other end sees an error."""
        self.lost = self.closing = True
        self.protocol.connection_lost(None)
        if self.peer is not None:
            self.loop.call_later(
                LATENCY_SECONDS, self.peer.hear_reset, context=self.peer.context
            )

    def hear_reset(self) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.protocol.connection_lost(ConnectionResetError("reset"))

    def hear_end(self) -> None:
        if (self.inbox or self.on_way) and not self.lost:
            self.loop.call_later(LATENCY_SECONDS, self.hear_end)
            self.flush()
            return
        if not self.lost:
            self.protocol.eof_received()
            self.lose()


class MemoryDatagrams(asyncio.DatagramTransport):
    """An in-memory datagram socket."""

    def __init__(
        self,
        loop: MemoryLoop,
        protocol: asyncio.DatagramProtocol,
        address: tuple[str, int],
        owner: str,
    ) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.address = address
        self.owner = owner
        self.closed = False

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True
        self.loop.sockets.pop(self.address, None)

    def sendto(self, data: Any, addr: Any = None) -> None:
        socket = self.loop.sockets.get(addr)
        if socket is None or self.loop.is_cut(self.owner, socket.owner):
            return
        self.loop.call_later(
            LATENCY_SECONDS,
            socket.protocol.datagram_received,
            bytes(data),
            self.address,
        )


class MemoryServer:
    """An in-memory listening port."""

    sockets: tuple[()] = ()

    def __init__(
        self, loop: MemoryLoop, address: tuple[str, int], owner: str
    ) -> None:
        self.loop = loop
        self.address = address
        self.owner = owner

    def close(self) -> None:
        self.loop.ports.pop(self.address, None)

    async def wait_closed(self) -> None:
        """Returns at once: the port closes synchronously."""


class MemoryLoop(asyncio.SelectorEventLoop):
    """Event loop with simulated time and an in-memory network.

    Attributes:
      jumping: Selector that holds the simulated time.
      ports: Protocol factory and owner of each listening port, by address.
      sockets: Datagram sockets by address.
      transports: All ends of connections.
      cuts: Pairs of owners that cannot connect or send datagrams.
      silences: Pairs of owners whose open connections deliver nothing.
    """

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)
        self.ports: dict[
            tuple[str, int], tuple[Callable[[], asyncio.Protocol], str]
        ] = {}
        self.sockets: dict[tuple[str, int], MemoryDatagrams] = {}
        self.transports: list[MemoryTransport] = []
        self.cuts: set[frozenset[str]] = set()
        self.silences: set[frozenset[str]] = set()

    def time(self) -> float:
        return self.jumping.now

    def record_unhandled(self) -> list[dict[str, Any]]:
        """Returns a list of the exceptions that nobody handles from now on.

        Those of tasks that are not awaited follow when these are collected.
        """
        found: list[dict[str, Any]] = []
        self.set_exception_handler(lambda _, context: found.append(context))
        return found

    def cut_off(self, *names: str, others: Iterable[str]) -> None:
        """Partitions owners from others; open connections deliver nothing."""
        between = {
            frozenset((name, other))
            for name in names
            for other in others
            if other not in names
        }
        self.cuts |= between
        self.silences |= between

    def is_silent(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.silences

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: Any, port: Any, **options: Any
    ) -> MemoryServer:
        del options
        address = (str(host), int(port))
        owner = OWNER.get()
        self.ports[address] = (protocol_factory, owner)
        return MemoryServer(self, address, owner)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any, port: Any, **options: Any
    ) -> tuple[MemoryTransport, Any]:
        del options
        await asyncio.sleep(LATENCY_SECONDS)
        listening = self.ports.get((str(host), int(port)))
        if listening is None or self.is_cut(OWNER.get(), listening[1]):
            raise ConnectionRefusedError(
                f"{host}:{port} refused the connection"
            )
        here = MemoryTransport(self, protocol_factory(), OWNER.get())
        there = MemoryTransport(self, listening[0](), listening[1])
        here.peer, there.peer = there, here
        there.context.run(there.protocol.connection_made, there)
        here.protocol.connection_made(here)
        return here, here.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any, **options: Any
    ) -> tuple[MemoryDatagrams, Any]:
        del options
        protocol = protocol_factory()
        socket = MemoryDatagrams(self, protocol, local_addr, OWNER.get())
        self.sockets[local_addr] = socket
        protocol.connection_made(socket)
        return socket, protocol

    def drop_connections(self, *owners: str) -> None:
        """Drops the open connections of one owner, or between two."""
        for transport in list(self.transports):
            peer = transport.peer
            ends = {transport.owner, peer.owner if peer else ""}
            if not transport.lost and ends.issuperset(owners):
                transport.lose()

    def kill(self, owner: str) -> None:
        """Closes an owner's ports, sockets and connections without notice."""
        for address, (_, holder) in list(self.ports.items()):
            if holder == owner:
                del self.ports[address]
        for address, socket in list(self.sockets.items()):
            if socket.owner == owner:
                del self.sockets[address]
        for transport in self.transports:
            if transport.owner == owner:
                transport.lose(tell_owner=False)
