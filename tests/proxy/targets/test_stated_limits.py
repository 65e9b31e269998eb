"""Targets that state a rate limit in their answers."""

from __future__ import annotations

import pytest

from bench.standins import http_target
from currantcart.platform import names
from tests.fakes import load as load_module
from tests.fakes import mesh as fake_mesh

LIMIT = 5.0
WINDOW_SECONDS = 4.0
BOUND = 1.5 * LIMIT * WINDOW_SECONDS + 5
ADAPT_SECONDS = 3.0


async def fleet_with(
    mesh: fake_mesh.Mesh, *, targets: int, slots: int = 20
) -> list[fake_mesh.Place]:
    """Starts nodes with targets of one service."""
    places = [
        await mesh.add(f"n{number}", slots=slots) for number in range(targets)
    ]
    await mesh.settle(2.0)
    return places


def most_arrivals(arrivals: list[float], *, after: float) -> int:
    """Returns the most arrivals in a window that begins after a time."""
    return load_module.most_in(
        WINDOW_SECONDS, [at for at in arrivals if at >= after]
    )


async def test_all_nodes_together_stay_within_a_targets_stated_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """One target of four states a limit far below its share of the load."""
    places = await fleet_with(mesh, targets=4)
    limited = places[1]
    arrivals = load_module.record_arrivals(mesh, limited)
    limited.target.limit = LIMIT
    since = mesh.loop.time() + ADAPT_SECONDS
    load = load_module.Load(mesh)
    await load.run(per_second=200, seconds=10.0)
    used = most_arrivals(arrivals, after=since)
    assert 0.7 * LIMIT * WINDOW_SECONDS <= used <= BOUND
    assert load.statuses.count(200) >= 0.99 * len(load.statuses)


async def test_rejections_of_a_target_state_its_limit_as_well(
    mesh: fake_mesh.Mesh,
) -> None:
    (limited,) = await fleet_with(mesh, targets=1)
    await mesh.add("front", service="other")
    arrivals = load_module.record_arrivals(mesh, limited)
    limited.target.script = http_target.not_executed
    limited.target.limit = LIMIT
    since = mesh.loop.time() + ADAPT_SECONDS
    await load_module.Load(mesh).run(per_second=100, seconds=8.0)
    assert 0 < most_arrivals(arrivals, after=since) <= BOUND


async def test_a_service_whose_targets_all_state_a_limit_serves_what_they_take(
    mesh: fake_mesh.Mesh,
) -> None:
    """Three targets take 15 of 100 requests per second; the rest is refused."""
    places = await fleet_with(mesh, targets=3)
    arrivals = []
    for place in places:
        arrivals.append(load_module.record_arrivals(mesh, place))
        place.target.limit = LIMIT
    since = mesh.loop.time() + ADAPT_SECONDS
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=10.0)
    for seen in arrivals:
        used = most_arrivals(seen, after=since)
        assert 0.8 * LIMIT * WINDOW_SECONDS <= used <= BOUND
    assert set(load.statuses) == {200, 503}


async def test_a_restarted_node_does_not_flood_a_target_with_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """The process that the target has told its limit is gone.

    A slow target with many slots gets all that it holds before its next answer.
    """
    (limited,) = await fleet_with(mesh, targets=1, slots=200)
    await mesh.add("front", service="other")
    arrivals = load_module.record_arrivals(mesh, limited)
    limited.target.work_seconds = 0.7
    limited.target.limit = LIMIT
    since = mesh.loop.time() + ADAPT_SECONDS
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=300, seconds=9.0))
    await mesh.settle(5.0)
    await mesh.restart(limited)
    await mesh.settle(1.5)
    await mesh.restart(limited)
    await task
    assert 0 < most_arrivals(arrivals, after=since) <= BOUND


async def test_an_answer_to_an_earlier_request_does_not_lift_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """Requests that were sent before the target named its limit end late.

    Their answers were begun without the limit, and one ends every 20 ms.
    """
    places = await fleet_with(mesh, targets=2, slots=200)
    limited = places[0]
    arrivals = load_module.record_arrivals(mesh, limited)
    slow_until = mesh.loop.time() + 2.0
    limited.target.work_seconds = 3.9
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=100, seconds=9.5))
    await mesh.settle(slow_until - mesh.loop.time())
    limited.target.work_seconds = 0.01
    begun_before = {seen.request_id for seen in limited.target.seen}

    def script(seen: http_target.Seen) -> bytes:
        answer = http_target.sealed(seen)
        if seen.request_id in begun_before:
            return answer
        return answer.replace(b"\r\n", b"\r\nServer-Limit: 5.0\r\n", 1)

    limited.target.script = script
    await task
    since = slow_until + ADAPT_SECONDS
    assert 0 < most_arrivals(arrivals, after=since) <= BOUND


async def test_a_target_that_states_no_limit_any_more_gets_its_share_again(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet_with(mesh, targets=2)
    limited = places[0]
    limited.target.limit = LIMIT
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=4.0)
    limited.target.limit = None
    await load.run(per_second=100, seconds=2.0)
    arrivals = load_module.record_arrivals(mesh, limited)
    await load.run(per_second=100, seconds=2.0)
    assert len(arrivals) >= 60


async def test_a_restarted_target_with_a_limit_is_not_flooded(
    mesh: fake_mesh.Mesh,
) -> None:
    """It states its limit again, but not before its first answer."""
    (limited,) = await fleet_with(mesh, targets=1, slots=200)
    await mesh.add("front", service="other")
    arrivals = load_module.record_arrivals(mesh, limited)
    limited.target.work_seconds = 0.7
    limited.target.limit = LIMIT
    since = mesh.loop.time() + ADAPT_SECONDS
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=300, seconds=9.0))
    await mesh.settle(5.0)
    limited.born += 1
    limited.sequence = 0
    await mesh.report(limited, slots=200)
    await task
    assert 0 < most_arrivals(arrivals, after=since) <= BOUND


@pytest.mark.parametrize("foreign", ["unsealed", "misdirected"])
async def test_only_answers_of_the_target_itself_lift_its_limit(
    mesh: fake_mesh.Mesh, foreign: str
) -> None:
    """One answer in five is spoilt, or comes from a process at its address."""
    (limited,) = await fleet_with(mesh, targets=1, slots=200)
    await mesh.add("front", service="other")
    arrivals = load_module.record_arrivals(mesh, limited)
    count = 0

    def script(seen: http_target.Seen) -> bytes:
        nonlocal count
        count += 1
        if count % 5:
            answer = http_target.sealed(seen)
            return answer.replace(b"\r\n", b"\r\nServer-Limit: 5.0\r\n", 1)
        if foreign == "misdirected":
            return http_target.not_executed(seen, status=421)
        return http_target.sealed(seen).replace(b"Server-Seal", b"X-Seal")

    limited.target.script = script
    since = mesh.loop.time() + ADAPT_SECONDS
    await load_module.Load(mesh).run(per_second=300, seconds=9.0)
    assert 0 < most_arrivals(arrivals, after=since) <= BOUND


async def test_a_target_whose_limit_is_zero_is_still_asked_now_and_then(
    mesh: fake_mesh.Mesh,
) -> None:
    """Only an answer can show that it takes requests again."""
    places = await fleet_with(mesh, targets=2)
    limited = places[0]
    limited.target.limit = 0.0
    arrivals = load_module.record_arrivals(mesh, limited)
    since = mesh.loop.time() + ADAPT_SECONDS
    await load_module.Load(mesh).run(per_second=100, seconds=9.0)
    assert 0 < most_arrivals(arrivals, after=since) <= 5


async def test_a_target_that_answers_that_it_leaves_gets_no_more_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    """Its reports still say that it is ready, also after the answer."""
    places = await fleet_with(mesh, targets=3)
    leaving = places[0]
    leaving.target.leaving = True
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=1.0)
    arrivals = load_module.record_arrivals(mesh, leaving)
    await mesh.report(leaving)
    await load.run(per_second=100, seconds=3.0)
    assert not arrivals
    assert load.statuses.count(200) == len(load.statuses)


async def test_a_restarted_node_knows_that_its_target_answered_that_it_leaves(
    mesh: fake_mesh.Mesh,
) -> None:
    """The process that passed the answer on ends right after it."""
    places = await fleet_with(mesh, targets=3)
    leaving = places[0]
    leaving.target.leaving = True
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=100, seconds=5.0))
    await mesh.settle(0.05)
    arrivals = load_module.record_arrivals(mesh, leaving)
    await mesh.restart(leaving)
    await mesh.report(leaving)
    await mesh.settle(0.5)
    await mesh.report(leaving)
    await task
    assert not arrivals


async def test_an_acknowledged_leave_stated_before_survives_a_power_loss(
    mesh: fake_mesh.Mesh,
) -> None:
    """All nodes end right after the acknowledgement, and none remembers it."""
    (leaving,) = await fleet_with(mesh, targets=1)
    front = await mesh.add("front", service="other")
    await mesh.settle(2.0)
    leaving.target.leaving = True
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    assert await mesh.report(leaving, state="draining") == 200
    arrivals = load_module.record_arrivals(mesh, leaving)
    for place in (leaving, front):
        mesh.kill(place)
    for place in (leaving, front):
        await mesh.restart(place)
    await load_module.Load(mesh).run(per_second=50, seconds=3.0)
    assert not arrivals


async def test_a_new_incarnation_of_a_target_that_left_is_used(
    mesh: fake_mesh.Mesh,
) -> None:
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(2))
    places = await fleet_with(mesh, targets=2)
    left = places[0]
    left.target.leaving = True
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=1.0)
    left.target.leaving = False
    left.born += 1
    left.sequence = 0
    arrivals = load_module.record_arrivals(mesh, left)
    await mesh.report(left)
    await load.run(per_second=100, seconds=1.0)
    assert len(arrivals) >= 30


async def test_the_most_urgent_are_served_where_all_targets_state_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """Three targets take 15 of 60 requests per second, of which 6 are urgent.

    Refused without regard to importance, one in four would be served.
    """
    urgent = fake_mesh.route("pay", "grades")
    other = fake_mesh.route("read", "grades")
    other[fake_mesh.ROUTE_COLUMNS.index("priority")] = 5
    document = fake_mesh.document(2, [urgent, other])
    mesh.store.operate(names.CONFIG_KEY, document)
    for place in await fleet_with(mesh, targets=3):
        place.target.limit = LIMIT
    load = load_module.Load(mesh)
    begin = mesh.loop.time()
    await load.run(per_second=60, seconds=14.0, kinds=("pay",) + ("read",) * 9)
    assert load.served("pay", begin + 4.0, begin + 14.0) >= 0.8
