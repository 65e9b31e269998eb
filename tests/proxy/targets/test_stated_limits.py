"""Targets that state a rate limit in their answers."""

from __future__ import annotations

import dataclasses

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


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """A target whose arrivals are recorded.

    Attributes:
      place: Its node and itself.
      arrivals: When each request arrived, in seconds of the loop's clock.
      since: From when its limit binds.
    """

    place: fake_mesh.Place
    arrivals: list[float]
    since: float

    def most(self) -> int:
        """Returns the most arrivals in a window in which the limit binds."""
        return load_module.most_in(
            WINDOW_SECONDS, [at for at in self.arrivals if at >= self.since]
        )


def watch(mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> Watched:
    """Records the arrivals at a target that states its limit from now on."""
    return Watched(
        place,
        load_module.record_arrivals(mesh, place),
        mesh.loop.time() + ADAPT_SECONDS,
    )


async def lone_target(mesh: fake_mesh.Mesh, *, slots: int) -> fake_mesh.Place:
    """Starts the only target of a service, and a node of another service."""
    place = await mesh.add("n0", slots=slots)
    await mesh.add("front", service="other")
    await mesh.settle(2.0)
    return place


def stating_limit(seen: http_target.Seen) -> bytes:
    """Returns an answer that states the limit."""
    answer = http_target.sealed(seen)
    return answer.replace(b"\r\n", b"\r\nServer-Limit: 5.0\r\n", 1)


async def test_all_nodes_together_stay_within_a_targets_stated_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """One target of four states a limit far below its share of the load."""
    places = await fleet_with(mesh, targets=4)
    places[1].target.limit = LIMIT
    limited = watch(mesh, places[1])
    load = load_module.Load(mesh)
    await load.run(per_second=200, seconds=10.0)
    assert 0.7 * LIMIT * WINDOW_SECONDS <= limited.most() <= BOUND
    assert load.statuses.count(200) >= 0.99 * len(load.statuses)


async def test_rejections_of_a_target_state_its_limit_as_well(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await lone_target(mesh, slots=20)
    place.target.script = http_target.not_executed
    place.target.limit = LIMIT
    limited = watch(mesh, place)
    await load_module.Load(mesh).run(per_second=100, seconds=8.0)
    assert 0 < limited.most() <= BOUND


async def test_a_service_whose_targets_all_state_a_limit_serves_what_they_take(
    mesh: fake_mesh.Mesh,
) -> None:
    """Three targets take 15 of 100 requests per second; the rest is refused."""
    places = await fleet_with(mesh, targets=3)
    for place in places:
        place.target.limit = LIMIT
    all_limited = [watch(mesh, place) for place in places]
    load = load_module.Load(mesh)
    await load.run(per_second=100, seconds=10.0)
    for limited in all_limited:
        assert 0.8 * LIMIT * WINDOW_SECONDS <= limited.most() <= BOUND
    assert set(load.statuses) == {200, 503}


async def test_a_restarted_node_does_not_flood_a_target_with_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a new process that fills all slots before an answer."""
    place = await lone_target(mesh, slots=200)
    place.target.work_seconds = 0.7
    place.target.limit = LIMIT
    limited = watch(mesh, place)
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=300, seconds=9.0))
    await mesh.settle(5.0)
    await mesh.restart(place)
    await mesh.settle(1.5)
    await mesh.restart(place)
    await task
    assert 0 < limited.most() <= BOUND


async def test_an_answer_to_an_earlier_request_does_not_lift_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against an answer that was begun before the limit was stated."""
    routes = [fake_mesh.route("read", "grades", timeout=20.0)]
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(2, routes))
    place = await lone_target(mesh, slots=200)
    place.target.work_seconds = 5.0
    load = load_module.Load(mesh, deadline_ms=9_000)
    early = mesh.loop.create_task(load.run(per_second=100, seconds=0.4))
    await mesh.settle(0.5)
    place.target.work_seconds = 0.01
    sent_before = {seen.request_id for seen in place.target.seen}

    def script(seen: http_target.Seen) -> bytes:
        if seen.request_id in sent_before:
            return http_target.sealed(seen)
        return stating_limit(seen)

    place.target.script = script
    limited = watch(mesh, place)
    await load.run(per_second=300, seconds=7.0)
    await early
    assert len(sent_before) == 40
    assert load.statuses.count(200) >= 40
    assert 0 < limited.most() <= BOUND


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
    place = await lone_target(mesh, slots=200)
    place.target.work_seconds = 0.7
    place.target.limit = LIMIT
    limited = watch(mesh, place)
    load = load_module.Load(mesh)
    task = mesh.loop.create_task(load.run(per_second=300, seconds=9.0))
    await mesh.settle(5.0)
    place.born += 1
    place.sequence = 0
    await mesh.report(place, slots=200)
    await task
    assert 0 < limited.most() <= BOUND


@pytest.mark.parametrize("foreign", ["unsealed", "misdirected"])
async def test_only_answers_of_the_target_itself_lift_its_limit(
    mesh: fake_mesh.Mesh, foreign: str
) -> None:
    """One answer in five is spoilt, or comes from a process at its address."""
    place = await lone_target(mesh, slots=200)
    count = 0

    def script(seen: http_target.Seen) -> bytes:
        nonlocal count
        count += 1
        if count % 5:
            return stating_limit(seen)
        if foreign == "misdirected":
            return http_target.not_executed(seen, status=421)
        return http_target.sealed(seen).replace(b"Server-Seal", b"X-Seal")

    place.target.script = script
    limited = watch(mesh, place)
    await load_module.Load(mesh).run(per_second=300, seconds=9.0)
    assert 0 < limited.most() <= BOUND


async def test_a_target_whose_limit_is_zero_is_still_asked_now_and_then(
    mesh: fake_mesh.Mesh,
) -> None:
    """Only an answer can show that it takes requests again."""
    place = (await fleet_with(mesh, targets=2))[0]
    place.target.limit = 0.0
    limited = watch(mesh, place)
    await load_module.Load(mesh).run(per_second=100, seconds=9.0)
    assert 0 < limited.most() <= 5


async def test_the_most_urgent_are_served_where_all_targets_state_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a service at its limit that serves without priority."""
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
