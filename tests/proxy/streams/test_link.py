"""Detection of lost streams between two nodes."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import msgspec
import pytest

from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames, framing, link, publisher
from tests.fakes import mesh as fake_mesh

PACE_MS = publisher.status_interval_ms(194)


async def stream(mesh: fake_mesh.Mesh) -> link.Link:
    """Returns a stream with the status interval of a large fleet."""
    place = await mesh.add("a")
    await mesh.add("b")
    await mesh.settle()
    item = place.node.peers.by_instance["b"].outgoing
    assert item is not None
    item.context.status_interval_ms = PACE_MS
    return item


async def test_a_stream_with_an_unanswered_probe_is_closed_in_a_large_fleet(
    mesh: fake_mesh.Mesh,
) -> None:
    """Calls to a lost node would hang until three more statuses were due."""
    item = await stream(mesh)
    now = item.context.now
    item.received_at = item.probed_at = now - 2_300.0
    item.check(now, link.Limits.of(PACE_MS))
    assert item.transport is None


@pytest.mark.parametrize(("heard_ago", "asked"), [(2_300.0, 0.0), (50.0, 0.0)])
async def test_a_stream_without_a_probe_is_kept_for_the_interval(
    mesh: fake_mesh.Mesh, heard_ago: float, asked: float
) -> None:
    item = await stream(mesh)
    item.received_at = item.context.now - heard_ago
    item.probed_at = asked
    item.check(item.context.now, link.Limits.of(PACE_MS))
    assert item.transport is not None


@pytest.mark.parametrize("nodes", [12, 91, 195, 980])
def test_the_probe_time_out_is_longer_than_the_interval(nodes: int) -> None:
    interval = publisher.status_interval_ms(nodes - 1)
    assert (
        interval < link.probe_timeout_ms(interval) <= link.silent_ms(interval)
    )


class Stranger(asyncio.Protocol):
    """A stream of a peer that sends what a test gives it.

    Attributes:
      transport: The transport.
      ended: Set when the node has closed the stream.
    """

    def __init__(self) -> None:
        self.transport: asyncio.BaseTransport | None = None
        self.ended = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.ended.set()


async def approach(mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> Stranger:
    """Opens a stream to a node, as a peer does."""
    _, stranger = await mesh.loop.create_connection(
        Stranger, *proxy_settings.split_address(place.settings.listen.peers)
    )
    assert isinstance(stranger, Stranger)
    return stranger


def introduction(address: str = "10.0.0.99:7000") -> frames.Hello:
    """Returns the introduction of a peer."""
    member = frames.Member("z", "p99", address, "grades", "a")
    return frames.Hello(link.PROTOCOL, member, 5.0, age_ms=7.0)


@pytest.mark.parametrize("address", ["10.0.0.9:99999999", "peer.example:80"])
async def test_a_peer_with_an_address_that_cannot_be_dialled_is_not_added(
    mesh: fake_mesh.Mesh, address: str
) -> None:
    """Guards against look-ups, and tasks that end with an exception."""
    place = await mesh.add("a")
    stranger = await approach(mesh, place)
    assert isinstance(stranger.transport, asyncio.Transport)
    stranger.transport.write(framing.encode_frame(introduction(address)))
    async with asyncio.timeout(1.0):
        await stranger.ended.wait()
    assert not place.node.peers.by_instance


def valid_status(**values: Any) -> frames.Status:
    """Returns the status of a peer that has just started, with some values."""
    status = frames.Status(5.0, 0.0, 0.0, 1, -math.inf, TARGET, {}, sequence=1)
    return msgspec.structs.replace(status, **values)


TARGET = frames.TargetState("t-z", True, 10, 0, born=1_000)


def odd_target(**values: Any) -> frames.Status:
    """Returns a status whose target has some values."""
    return valid_status(target=msgspec.structs.replace(TARGET, **values))


def odd_row(**values: Any) -> frames.Digest:
    """Returns a digest with a row that has some values."""
    row = frames.Row(
        frames.Member("y", "p98", "10.0.0.98:7000", "grades", "a"),
        10.0, 1, 0.0, TARGET, {}, 1, complete=True,
    )  # fmt: skip
    return frames.Digest(
        5.0, "a", 0.0, [msgspec.structs.replace(row, **values)]
    )


def odd_call(**values: Any) -> frames.Open:
    """Returns a request that has some values."""
    call = frames.Open(
        1, 5.0, 900.0, "r9", "t-a", 3, 300.0, "GET", "/read/1", b"", b"", 0,
    )  # fmt: skip
    return msgspec.structs.replace(call, **values)


ODD_FRAMES: list[frames.Frame] = [
    valid_status(now_ms=math.nan),
    valid_status(now_ms=math.inf),
    valid_status(echo_ms=math.nan),
    valid_status(held_ms=-math.inf),
    valid_status(as_of_ms=math.nan),
    valid_status(as_of_ms=math.inf),
    valid_status(version=-1),
    valid_status(version=2**64 - 1),
    valid_status(sequence=2**64 - 1),
    valid_status(counts={"mill": -(2**63)}),
    valid_status(counts={"mill": 2**64 - 1}),
    valid_status(left=("t-a", 2**63)),
    valid_status(left=("", 1)),
    valid_status(left=("t-a\r\nx: 1", 1)),
    valid_status(evacuations=frames.Evacuations(2**64 - 1, ())),
    valid_status(evidence=(frames.Evidence(1, (("t", 1, math.nan),)),)),
    valid_status(evidence=(frames.Evidence(-1, ()),)),
    odd_target(target_id="t\r\nx: 1"),
    odd_target(limit=-1),
    odd_target(busy=2**64 - 1),
    odd_target(cold_ms=math.inf),
    odd_target(pressure={"grades": math.nan}),
    odd_target(born=2**64 - 1),
    odd_target(work_ms=-1.0),
    odd_target(work_by_kind={"read": math.inf}),
    odd_target(slow_now=math.nan),
    odd_target(usage={"1:mill": math.nan}),
    odd_row(age_ms=math.nan),
    odd_row(proof_age_ms=math.nan),
    odd_row(version=2**64 - 1),
    odd_row(counts={"mill": -(2**63)}),
    odd_call(left_ms=math.nan),
    odd_call(sent_ms=math.inf),
    odd_call(age_ms=-math.inf),
    odd_call(weight=math.nan),
    odd_call(objective_ms=math.inf),
    odd_call(more=-1),
    odd_call(method="GET /\r\n"),
    odd_call(path="/a b"),
    odd_call(path="/\r\nx: 1"),
    odd_call(path="/\u0142"),
    frames.Answer(1, 200, b"", b"", -1, 0, 1),
    frames.Refuse(1, "busy", True, math.inf, 0, 1),
    frames.Lost(1, "closed", 2**53, 1),
    frames.Digest(math.nan, "a", 0.0, []),
    frames.Digest(5.0, "a", 0.0, [], heard_ms=math.nan),
    frames.Digest(5.0, "a", 0.0, [], nodes=2**64 - 1),
    frames.Counts({"mill": -(2**53)}),
    frames.Counts({}, 2**64 - 1),
    frames.Config(2**64 - 1, 0.0, b"{}"),
    frames.Config(2, math.nan, b"{}"),
]


@pytest.mark.parametrize("frame", ODD_FRAMES)
async def test_a_frame_with_a_value_out_of_range_closes_its_stream_alone(
    mesh: fake_mesh.Mesh, frame: frames.Frame
) -> None:
    """Guards against times and counts that no later frame corrects."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    strangers = [await approach(mesh, place) for place in (front, back)]
    for stranger in strangers:
        assert isinstance(stranger.transport, asyncio.Transport)
        stranger.transport.write(
            framing.encode_frame(introduction()) + framing.encode_frame(frame)
        )
    async with asyncio.timeout(1.0):
        for stranger in strangers:
            await stranger.ended.wait()
    await mesh.settle(0.1)
    lost = [line for line in mesh.lines if "event=link_lost" in line]
    assert len([line for line in lost if "reason=frame_invalid" in line]) == 2
    assert front.node.context.freshness.version == 1
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_frames_at_the_ends_of_the_ranges_are_read(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against streams that a value of an honest peer closes."""
    place = await mesh.add("a")
    stranger = await approach(mesh, place)
    assert isinstance(stranger.transport, asyncio.Transport)
    for frame in (
        introduction(),
        valid_status(),
        valid_status(counts={"mill": -1}),
        frames.Digest(5.0, "a", -1.0, [], heard_ms=-1.0),
        odd_row(age_ms=math.inf, proof_age_ms=math.inf),
        frames.Config(0, -math.inf, b""),
    ):
        stranger.transport.write(framing.encode_frame(frame))
    await mesh.settle(0.5)
    assert not stranger.ended.is_set()
    assert set(place.node.peers.by_instance) == {"y", "z"}


async def test_a_leave_without_a_target_is_not_told_its_node(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against an entry of the node that nobody can read."""
    place = await mesh.add("a")
    stranger = await approach(mesh, place)
    assert isinstance(stranger.transport, asyncio.Transport)
    for target_id in ("", "t-z"):
        target = frames.TargetState(target_id, leaving=True, born=1_000)
        stranger.transport.write(
            framing.encode_frame(introduction())
            + framing.encode_frame(valid_status(target=target))
        )
        await mesh.settle(0.1)
        told = place.node.peers.leaving_targets.values()
        assert list(told) == ([("t-z", 1_000)] if target_id else [])
