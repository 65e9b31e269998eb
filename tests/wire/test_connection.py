"""An invalid message of a peer ends its stream and affects no other."""

from __future__ import annotations

import asyncio

import msgpack
import pytest

from currantcart.settings import model as settings_model
from currantcart.wire import codec, handshake, messages
from tests.fakes.world import SECRET, World

CALL = messages.Open(
    1, "c", "c", "grades", "GET", "/a", [], "mill", "k1", 0, 0, 1_000.0,
    0, 0, "", b"", True,
)  # fmt: skip


def frame(packed: bytes) -> bytes:
    """Returns packed bytes with their length prefix."""
    return codec.LENGTH.pack(len(packed)) + packed


async def dial(
    world: World, *, secret: str = SECRET
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a raw stream and completes the dialer's handshake."""
    address = world.places["grades-1"].settings.listen.peers
    reader, writer = await asyncio.open_connection(
        *settings_model.split_address(address)
    )
    shake = handshake.Handshake(
        role=handshake.Role.DIALER,
        instance="stranger",
        fleet_secret=secret.encode(),
    )
    writer.write(codec.encode(shake.hello()))
    (hello,) = codec.FrameReader().feed(await reader.read(4_096))
    proof = shake.receive(hello)
    assert proof is not None
    writer.write(codec.encode(proof))
    return reader, writer


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Reads until the stream ends."""
    async with asyncio.timeout(10):
        return await reader.read()


@pytest.mark.parametrize(
    "bad",
    [
        frame(b"\xc1"),
        frame(msgpack.packb({"kind": 1})),
        frame(msgpack.packb((99, 1))),
        frame(msgpack.packb((1, 2, 3))),
        codec.encode(messages.Hello(1, 1, "again", b"n" * 16)),
        codec.encode(CALL) + codec.encode(CALL),
        codec.encode(CALL)
        + b"".join(
            codec.encode(messages.Data(1, b"x" * 60_000, False))
            for _ in range(10)
        ),
        frame(b"\xdd\xff\xff\xff\xff"),
        b"\xff\xff\xff\xff",
    ],
    ids=[
        "undefined byte", "map", "unknown kind", "too few fields",
        "second handshake", "call number twice", "over the window",
        "endless array", "endless frame",
    ],
)  # fmt: skip
async def test_invalid_frame_ends_that_stream_only(
    world: World, bad: bytes
) -> None:
    await world.start("grades-1", "grades")
    await world.start("permits-1", "permits")
    await world.settle()
    reader, writer = await dial(world)
    writer.write(bad)
    await read_to_end(reader)
    assert (await world.call("permits-1", "/grades/a")).whole


async def test_peer_without_the_secret_gets_nothing(world: World) -> None:
    await world.start("grades-1", "grades")
    await world.settle()
    reader, writer = await dial(world, secret="another secret, long enough")
    writer.write(codec.encode(messages.Fetch(0)))
    assert await read_to_end(reader) == b""
    assert world.history("grades") == []


async def test_peer_without_handshake_is_disconnected(world: World) -> None:
    await world.start("grades-1", "grades")
    address = world.places["grades-1"].settings.listen.peers
    reader, _ = await asyncio.open_connection(
        *settings_model.split_address(address)
    )
    await read_to_end(reader)
