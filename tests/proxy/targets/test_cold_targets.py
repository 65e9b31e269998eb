"""Targets that are cold, restart, or refuse connections."""

from __future__ import annotations

import math

import msgspec
import pytest

from currantcart.platform import names
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.targets import warm_up
from tests.fakes import load as load_module
from tests.fakes import mesh as fake_mesh

RATE = 6.5
BOUND = RATE * 1.5 + 8.0
WARM_PER_SECOND = 4 * 18 / 0.5
"""Rate of four warm targets with 18 slots in use and 0.5 s for a request."""


def configure(mesh: fake_mesh.Mesh) -> None:
    """Declares what a cold target bears."""
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(2, cold_rate=RATE))


def most_in_a_second(arrivals: list[float]) -> int:
    """Returns the most arrivals in any one second."""
    return load_module.most_in(1.0, arrivals)


async def test_all_nodes_together_stay_within_a_cold_targets_bound(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a full service that overloads its only cold target."""
    configure(mesh)
    for number in range(4):
        warm = await mesh.add(f"n{number}")
        warm.target.work_seconds = 0.5
    await mesh.settle(2.0)
    fresh = await mesh.add("n9", report=False)
    arrivals = load_module.record_arrivals(mesh, fresh)
    await mesh.report(fresh, cold=3.0)
    load = load_module.Load(mesh)
    await load.run(per_second=200, seconds=2.5)
    assert load.statuses.count(200) >= WARM_PER_SECOND * 2.5
    assert RATE <= most_in_a_second(arrivals) <= BOUND


async def test_a_service_whose_targets_are_all_cold_serves_what_they_bear(
    mesh: fake_mesh.Mesh,
) -> None:
    """All targets start under load; what exceeds their bound is refused."""
    configure(mesh)
    for number in range(3):
        await mesh.add(f"n{number}", report=False)
    await mesh.settle(2.0)
    arrivals = []
    for place in mesh.places.values():
        arrivals.append(load_module.record_arrivals(mesh, place))
        await mesh.report(place, cold=3.0)
    load = load_module.Load(mesh)
    await load.run(per_second=200, seconds=2.5)
    for seen in arrivals:
        assert RATE <= most_in_a_second(seen) <= BOUND
    assert set(load.statuses) == {200, 503}


async def test_a_domain_that_is_restored_is_cold_until_its_targets_report(
    mesh: fake_mesh.Mesh,
) -> None:
    """Targets of an evacuated domain may cool down without a restart."""
    configure(mesh)
    await mesh.add("a1", domain="a")
    await mesh.add("b1", domain="b")
    await mesh.settle(2.0)
    key = names.EVACUATIONS_PREFIX + "a"
    mesh.store.operate(key, b"{}")
    await mesh.settle(2.0)
    arrivals = load_module.record_arrivals(mesh, mesh.places["a1"])
    mesh.store.remove(key)
    await load_module.Load(mesh).run(per_second=150, seconds=1.5)
    assert 0 < most_in_a_second(arrivals) <= BOUND
    await mesh.report(mesh.places["a1"])
    await load_module.Load(mesh).run(per_second=150, seconds=1.5)
    assert most_in_a_second(arrivals) > BOUND


async def test_a_restarted_node_keeps_the_bound_of_its_cold_target(
    mesh: fake_mesh.Mesh,
) -> None:
    configure(mesh)
    place = await mesh.add("a", report=False)
    await mesh.add("b", service="other")
    await mesh.settle(2.0)
    arrivals = load_module.record_arrivals(mesh, place)
    await mesh.report(place, cold=3.0)
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=100, seconds=2.5))
    await mesh.settle(0.6)
    await mesh.restart(place)
    await task
    assert 0 < most_in_a_second(arrivals) <= BOUND


async def test_a_target_that_refuses_connections_gets_nothing_placed(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against retries that are spent on a crashed target."""
    configure(mesh)
    crashed = await mesh.add("a")
    for name in "bc":
        await mesh.add(name)
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    load_module.stop_target(mesh, crashed)
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=2.0)
    assert load.statuses.count(200) >= len(load.statuses) - 2
    refused = [
        line for line in mesh.lines if "event=target_unreachable" in line
    ]
    assert len(refused) <= 10
    assert not any(
        "event=tried_again" in line and "target_unreachable" in line
        for line in mesh.lines
    )


async def test_a_target_that_is_back_is_cold_until_it_reports(
    mesh: fake_mesh.Mesh,
) -> None:
    """It crashed under its load; the same load at once would crash it again."""
    configure(mesh)
    crashed = await mesh.add("a")
    await mesh.add("b", service="other")
    await mesh.settle(2.0)
    load_module.stop_target(mesh, crashed)
    await load_module.Load(mesh).run(per_second=100, seconds=1.0)
    arrivals = load_module.record_arrivals(mesh, crashed)
    await load_module.start_target(mesh, crashed)
    await load_module.Load(mesh).run(per_second=100, seconds=1.5)
    assert 0 < most_in_a_second(arrivals) <= BOUND


async def test_all_targets_start_cold_under_load_after_a_power_loss(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against cold targets that crash again under the full load."""
    configure(mesh)
    for number in range(6):
        await mesh.add(f"n{number}", domain="abc"[number % 3])
    await mesh.settle(2.0)
    arrivals = {}
    for place in mesh.places.values():
        mesh.kill(place)
        place.born += 1
        place.sequence = 0
        arrivals[place.name] = load_module.record_arrivals(mesh, place)
    restarted_at = mesh.loop.time()
    for place in mesh.places.values():
        await mesh.restart(place)
        await mesh.report(place, cold=3.0)
    load = load_module.Load(mesh)
    await load.run(per_second=180, seconds=10.0, kinds=("read", "pay"))
    for name, times in arrivals.items():
        cold = [at for at in times if at < restarted_at + 3.0]
        assert 0 < most_in_a_second(cold) <= BOUND, name
    for second in range(1, 10):
        begin = restarted_at + second
        least = 0.9 if second > 3 else 0.9 * 6 * RATE / 180
        for kind in ("read", "pay"):
            assert load.served(kind, begin, begin + 1.0) >= least, second


async def test_changed_bounds_apply_without_a_restart(
    mesh: fake_mesh.Mesh,
) -> None:
    configure(mesh)
    place = await mesh.add("a")
    await mesh.settle(1.0)
    before = place.node.guard.warm_up.slow_start.limit
    bounds = proxy_settings.Bounds(cold_slack=2.0)
    place.node.use_settings(
        msgspec.structs.replace(place.settings, bounds=bounds)
    )
    assert place.node.guard.warm_up.slow_start.limit == before - 6.0


async def test_a_target_that_left_is_not_probed(mesh: fake_mesh.Mesh) -> None:
    place = await mesh.add("a")
    await mesh.settle(1.0)
    load_module.stop_target(mesh, place)
    await mesh.ask(place, fake_mesh.request())
    await mesh.deregister(place)
    await mesh.settle(0.5)
    dials = place.node.guard.exchange.pool.dialling
    await mesh.settle(0.5)
    assert not dials


@pytest.mark.parametrize("answers", [True, False])
async def test_a_restarted_node_takes_its_target_as_cold_until_it_knows(
    mesh: fake_mesh.Mesh, *, answers: bool
) -> None:
    """Guards against a target that cools down while its node is away."""
    configure(mesh)
    place = await mesh.add("a1", domain="a")
    await mesh.add("b1", domain="b", service="other")
    await mesh.settle(2.0)
    place.target.cold_ms = 2_500.0 if answers else None
    arrivals = load_module.record_arrivals(mesh, place)
    await mesh.restart(place)
    await mesh.settle(0.4)
    await load_module.Load(mesh).run(per_second=150, seconds=1.5)
    assert 0 < most_in_a_second(arrivals) <= BOUND


@pytest.mark.parametrize("stated_ms", [math.nan, math.inf, 1e308])
async def test_a_warm_up_that_is_no_time_changes_nothing(
    mesh: fake_mesh.Mesh, stated_ms: float
) -> None:
    """Guards against a target that is cold for ever, as its peers see it."""
    configure(mesh)
    front = await mesh.add("b1", domain="b", service="other")
    place = await mesh.add("a1", domain="a")
    await mesh.settle(2.0)
    place.target.cold_ms = stated_ms
    await mesh.restart(place)
    await mesh.settle(0.4)
    assert any("event=cold_unreadable" in line for line in mesh.lines)
    assert place.node.guard.warm_up.remaining_ms() <= warm_up.ASSUMED_COLD_MS
    await mesh.settle(4.0)
    assert place.node.guard.warm_up.remaining_ms() == 0.0
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


@pytest.mark.parametrize("restarted", ["a", "ab"])
async def test_a_restarted_node_uses_a_warm_target_without_its_report(
    mesh: fake_mesh.Mesh, restarted: str
) -> None:
    """Guards against a warm target that stays limited until its report."""
    configure(mesh)
    place = await mesh.add("a")
    await mesh.add("b", service="other")
    await mesh.settle(2.0)
    place.target.cold_ms = 0.0
    arrivals = load_module.record_arrivals(mesh, place)
    for name in restarted:
        await mesh.restart(mesh.places[name])
    await mesh.settle(0.6)
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=1.0)
    assert most_in_a_second(arrivals) > BOUND
    assert load.statuses.count(200) >= 95


async def test_answers_report_the_limit_that_statuses_report(
    mesh: fake_mesh.Mesh,
) -> None:
    """Placement takes a cold target for a warm one until the next status."""
    configure(mesh)
    front = await mesh.add("a", service="other")
    cold = await mesh.add("b", report=False)
    await mesh.settle(2.0)
    await mesh.report(cold, cold=3.0)
    await mesh.settle(0.5)
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    peer = front.node.peers.by_instance["b"]
    assert peer.target.limit == cold.node.guard.limit() == 1
