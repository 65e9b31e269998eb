"""Placement by expected completion between real nodes."""

from __future__ import annotations

import msgspec
import pytest

from bench.standins import http_target
from currantcart.admission import work_by_kind
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames
from currantcart.telemetry import exposition
from tests.fakes import mesh as fake_mesh

SLOW_SECONDS = 0.3
FAST_SECONDS = 0.1
STATUS_SECONDS = 0.5


def turn_on(*places: fake_mesh.Place) -> None:
    for place in places:
        place.node.use_settings(
            msgspec.structs.replace(
                place.node.context.settings,
                placement=proxy_settings.Placement(by_completion=True),
            )
        )


def measure(*places: fake_mesh.Place) -> None:
    """Records as many requests at each target as its node needs to report."""
    for place in places:
        for _ in range(work_by_kind.SAMPLES_MIN):
            place.node.guard.exchange.work_by_kind.record(
                "read",
                1_000 * place.target.work_seconds,
                place.node.context.now,
            )


async def world(
    mesh: fake_mesh.Mesh, timeout: float = 0.35
) -> tuple[fake_mesh.Place, fake_mesh.Place, fake_mesh.Place]:
    """Returns a front node, a slow near target and a fast far one."""
    front = await mesh.add("a", service="other")
    near = await mesh.add("b")
    far = await mesh.add("c", domain="far")
    routes = [
        fake_mesh.route("read", "grades", timeout=timeout),
        fake_mesh.route("pay", "grades", timeout=timeout),
    ]
    mesh.store.operate("op/config", fake_mesh.document(2, routes))
    near.target.work_seconds = SLOW_SECONDS
    far.target.work_seconds = FAST_SECONDS
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    return front, near, far


async def ask_often(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, count: int = 5
) -> None:
    for number in range(count):
        await mesh.ask(place, fake_mesh.request(request_id=f"x{number}"))


async def test_a_request_goes_where_it_completes_in_time(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against time-outs beside a fast target of another domain."""
    front, near, far = await world(mesh)
    turn_on(front, near, far)
    measure(near, far)
    await mesh.settle(STATUS_SECONDS)
    before = len(near.target.seen), len(far.target.seen)
    await ask_often(mesh, front)
    after = len(near.target.seen), len(far.target.seen)
    assert (after[0] - before[0], after[1] - before[1]) == (0, 5)
    text = exposition.render(front.node.context.counts).decode()
    assert 'placed_total{place="far",service="grades"} 5.0' in text
    assert 'placed_slowness_bucket{le="0.9",service="grades"} 5.0' in text
    await mesh.settle(0.1)
    assert any(
        "event=target_speed" in line and "peer=b" in line for line in mesh.lines
    )


async def test_without_the_setting_nothing_is_sent_or_measured(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a change of the product where it is turned off."""
    front, near, far = await world(mesh)
    await ask_often(mesh, near, work_by_kind.SAMPLES_MIN)
    await mesh.settle(STATUS_SECONDS)
    before = len(far.target.seen)
    await ask_often(mesh, front)
    assert len(far.target.seen) == before
    for place in (near, far):
        assert not place.node.guard.exchange.work_by_kind.kinds
        assert place.node.guard.state() == msgspec.structs.replace(
            place.node.guard.state(), work_by_kind={}, slow_now=1
        )
    assert not front.node.context.counts.counters["placed"]


async def test_a_caller_of_the_previous_release_is_served(
    mesh: fake_mesh.Mesh,
) -> None:
    """It names no kind, and does not read the new fields."""
    front, near, far = await world(mesh)
    turn_on(near, far)
    await ask_often(mesh, front, work_by_kind.SAMPLES_MIN)
    assert not near.node.guard.exchange.work_by_kind.kinds
    old = msgspec.msgpack.encode(["t", True, 20, 3, 0.0, {}, False, 7, 90.0])
    state = msgspec.msgpack.decode(old, type=frames.TargetState)
    assert (state.work_by_kind, state.slow_now) == ({}, 1)


@pytest.mark.parametrize("new_id", [True, False])
async def test_the_times_of_a_restarted_target_are_discarded(
    mesh: fake_mesh.Mesh, *, new_id: bool
) -> None:
    """Guards against a new process that is avoided for its predecessor."""
    front, near, far = await world(mesh)
    turn_on(front, near, far)
    measure(near, far)
    await mesh.settle(STATUS_SECONDS)
    assert near.node.peers.local_target.work_by_kind
    known = front.node.peers.by_instance["b"].target
    assert known.work_by_kind
    near.born += 1_000
    if new_id:
        near.target.target_id = "t-new"
    await mesh.report(near)
    await mesh.settle(STATUS_SECONDS)
    assert not known.work_by_kind
    assert known.slow_now == 1


async def test_refusals_and_errors_of_a_target_are_no_work_times(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a faulty target that looks the fastest."""
    near = await mesh.add("a")
    await mesh.settle()
    turn_on(near)
    near.target.script = http_target.not_executed
    await ask_often(mesh, near)
    near.target.script = lambda seen: http_target.sealed(seen, status=500)
    await ask_often(mesh, near)
    exchange = near.node.guard.exchange
    assert not exchange.work_by_kind.kinds
    assert exchange.pace.running == 0.0


async def test_a_late_request_is_logged_with_its_expected_time(
    mesh: fake_mesh.Mesh,
) -> None:
    front, near, far = await world(mesh)
    turn_on(front, near, far)
    measure(near, far)
    await mesh.settle(STATUS_SECONDS)
    near.target.script = far.target.script = fake_mesh.silent
    assert (await mesh.ask(front, fake_mesh.request())).status == 504
    await mesh.settle(0.1)
    (line,) = [
        line
        for line in mesh.lines
        if "event=request_failed" in line and "id=r1" in line
    ]
    expected = int(line.partition("expected_ms=")[2].split()[0])
    assert expected == pytest.approx(1_000 * FAST_SECONDS, rel=0.2)


async def test_all_weights_of_cancelled_requests_are_returned(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a target that looks slow after callers disconnected."""
    near = await mesh.add("a")
    await mesh.settle()
    turn_on(near)
    measure(near)
    near.target.script = fake_mesh.silent
    callers = [await mesh.connect(near) for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.send(fake_mesh.request(request_id=f"c{number}"))
    await mesh.settle(0.1)
    pace = near.node.guard.exchange.pace
    assert pace.running > 0
    for caller in callers:
        caller.leave()
    await mesh.settle(0.1)
    assert pace.running == pytest.approx(0.0, abs=1e-9)
