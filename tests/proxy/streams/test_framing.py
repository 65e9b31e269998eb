"""Frames on a stream between nodes, uncompressed and compressed."""

from __future__ import annotations

import random

import msgspec
import pytest

from currantcart import errors
from currantcart.admission import pressure
from currantcart.proxy import statuses
from currantcart.proxy.streams import compression, frames, framing, peer_clock

FAR_STATUS_BYTES = 10_240 / 195
"""Size limit of a status sent to 195 nodes at one per second and 10 KB/s."""


def opening(number: int, *, body: bytes = b"") -> frames.Open:
    return frames.Open(
        call=number,
        sent_ms=1e6 + number,
        left_ms=900.0,
        request_id=f"{number:016x}",
        target_id="i-1",
        priority=3,
        objective_ms=300.0,
        method="GET",
        path=f"/read/{number}",
        head=b"Host: shop.example\r\nUser-Agent: sdk-client/1.9.3\r\n"
        b"Accept: */*\r\nAccept-Encoding: identity\r\n",
        body=body,
        more=0,
    )


def writer(*, packed: bool) -> framing.FrameWriter:
    made = framing.FrameWriter()
    if packed:
        made.compresses = True
        made.compressor = compression.Compressor()
    return made


@pytest.mark.parametrize("packed", [False, True])
@pytest.mark.parametrize("piece", [1, 7, 100_000])
def test_frames_are_complete_however_the_bytes_are_split(
    packed: bool, piece: int
) -> None:
    made, reader = writer(packed=packed), framing.FrameReader()
    sent: list[frames.Frame] = []
    data = b""
    for turn in range(5):
        for number in range(turn):
            sent.append(opening(10 * turn + number))
            made.add(sent[-1])
        sent.append(frames.Cancel(turn))
        made.add(sent[-1])
        data += made.take_packed()
    got: list[frames.Frame] = []
    for start in range(0, len(data), piece):
        got += reader.feed(data[start : start + piece])
    assert got == sent


def test_a_long_body_is_sent_uncompressed_between_packed_frames() -> None:
    made, reader = writer(packed=True), framing.FrameReader()
    body = random.Random(1).randbytes(framing.PACKED_BYTES_MAX + 1)
    sent = [opening(1), opening(2, body=body), opening(3)]
    got: list[frames.Frame] = []
    for frame in sent:
        made.add(frame)
        got += reader.feed(made.take_packed())
    assert got == sent


def test_packing_halves_the_bytes_that_nodes_send_each_other() -> None:
    """Traffic between failure domains is billed by the byte."""
    sizes = []
    for packed in (False, True):
        made, size = writer(packed=packed), 0
        for number in range(200):
            made.add(opening(number))
            size += len(made.take_packed())
        sizes.append(size)
    assert sizes[1] < 0.5 * sizes[0]


def packed(data: bytes) -> bytes:
    return framing.encode_frame(
        frames.Packed(compression.Compressor().pack(data))
    )


@pytest.mark.parametrize(
    "data",
    [
        framing.encode_frame(frames.Packed(b"\xff\xff no deflate")),
        packed(b"\0\0\0\x01"),
        packed(framing.encode_frame(frames.Packed(b""))),
        packed(b"\0" * (framing.PACKED_BYTES_MAX + 1)),
        packed(b"\0\0\0\x02\xc1\xc1"),
    ],
    ids=["garbage", "cut", "nested", "bomb", "no frame"],
)
def test_what_cannot_be_unpacked_raises_a_stream_error(data: bytes) -> None:
    with pytest.raises(errors.StreamError):
        list(framing.FrameReader().feed(data))


def test_a_peer_that_does_not_announce_it_is_sent_nothing_packed() -> None:
    member = frames.Member("a", "p", "10.0.0.1:1", "grades", "far")
    before = frames.ENCODER.encode([1, 1, list(member.__reduce__()[1]), 5.0])
    hello = frames.DECODER.decode(before)
    assert isinstance(hello, frames.Hello)
    assert not hello.unpacks


@pytest.mark.parametrize("one_way", [0.0, 0.3, 0.99, 1.4])
def test_a_time_on_a_peers_clock_is_never_converted_to_a_later_one(
    one_way: float,
) -> None:
    """A delayed frame would appear newer if its transit time were ignored."""
    rng = random.Random(3)
    for _ in range(2_000):
        clock = peer_clock.PeerClock()
        ahead = rng.uniform(-1e6, 1e6)
        asked = rng.uniform(1e6, 2e6)
        taken = asked + one_way
        answered = taken + rng.uniform(0.0, 5.0)
        now = answered + one_way
        clock.sample(
            now=now,
            peer_now=statuses.floor_ms(answered + ahead),
            echo=statuses.floor_ms(asked),
            held=statuses.floor_ms(answered - taken),
        )
        assert clock.to_own(answered + ahead) <= answered + 1e-6
        assert clock.to_own(answered + ahead) > answered - 2 * one_way - 4


def test_a_status_has_no_fractions_that_do_not_compress() -> None:
    """Four times to a tenth of a microsecond are most of a status's bytes."""
    packer, rng = writer(packed=True), random.Random(1)
    spent, now = 0, 1e6
    for _ in range(100):
        now += rng.uniform(1_400.0, 1_500.0)
        level = rng.random()
        packer.add(
            frames.Status(
                now_ms=statuses.floor_ms(now),
                echo_ms=statuses.floor_ms(now / 3),
                held_ms=statuses.floor_ms(rng.uniform(0.0, 1_400.0)),
                version=37,
                as_of_ms=statuses.floor_ms(now - rng.uniform(0.0, 700.0)),
                target=frames.TargetState(
                    "i-1", True, 12, 3, pressure=pressure.quantize({"s": level})
                ),
                counts={},
            )
        )
        spent += len(packer.take_packed())
    assert spent / 100 <= FAR_STATUS_BYTES


def test_a_forwarded_level_decays_to_zero() -> None:
    """Rounded up, a level that circulates between services would persist."""
    level = 1.0
    for _ in range(60):
        level = pressure.quantize({"s": 0.9 * level}).get("s", 0.0)
    assert level == 0.0


class PreviousHello(msgspec.Struct, array_like=True, tag=1):
    """The introduction as the previous release defines it."""

    protocol: int
    member: frames.Member
    now_ms: float
    unpacks: bool = False
    age_ms: float = -1.0


def test_the_previous_release_reads_an_introduction_with_more_fields() -> None:
    """A rolling upgrade would end at the first stream between two releases."""
    member = frames.Member("a", "p", "10.0.0.1:1", "grades", "far")
    sent = frames.Hello(1, member, 5.0, unpacks=True, age_ms=7.0, fetches=True)
    data = framing.encode_frame(sent)[framing.LENGTH.size :]
    read = msgspec.msgpack.decode(data, type=PreviousHello)
    assert (read.member, read.unpacks, read.age_ms) == (member, True, 7.0)


def test_a_stream_of_small_frames_gets_no_compressor() -> None:
    """A compressor for each idle stream would use most of a node's memory."""
    made = framing.FrameWriter()
    made.compresses = True
    made.add(frames.Cancel(1))
    assert framing.FrameReader().feed(made.take_packed())
    assert made.compressor is None
    for number in range(10):
        made.add(opening(number))
    made.take_packed()
    assert made.compressor is not None


def test_a_deeply_nested_frame_is_invalid() -> None:
    """Guards against a frame that raises what no reader of a stream handles."""
    nested = b"\x92\x0c" + b"\x91" * 50_000 + b"\x00"
    with pytest.raises(errors.StreamError):
        frames.decode_frame(memoryview(nested))


def test_a_frame_that_cannot_be_encoded_leaves_the_others_intact() -> None:
    """Guards against a stream whose next frames begin within a lost one."""
    made = framing.FrameWriter()
    made.add(frames.Cancel(1))
    with pytest.raises(OverflowError):
        made.add(frames.Cancel(10**30))
    made.add(frames.Cancel(2))
    assert list(framing.FrameReader().feed(made.take())) == [
        frames.Cancel(1),
        frames.Cancel(2),
    ]
