"""Evacuated failure domains across several nodes."""

from __future__ import annotations

from currantcart.platform import names
from currantcart.proxy.streams import frames
from currantcart.store import leased as store_port
from currantcart.store import port
from tests.fakes import leased
from tests.fakes import mesh as fake_mesh

EVACUATE_A = names.EVACUATIONS_PREFIX + "a"
BOUND_SECONDS = 5.0


class UnavailableStore(leased.FakeLeasedStore):
    """A store that is unavailable to one node."""

    async def read_range(self, prefix: str) -> store_port.Range:
        raise port.StoreUnavailable(prefix, peer="store")


async def fleet(mesh: fake_mesh.Mesh) -> dict[str, fake_mesh.Place]:
    """Starts two nodes in each of two failure domains."""
    for name in ("a1", "a2", "b1", "b2"):
        await mesh.add(name, domain=name[0])
    await mesh.settle(2.0)
    return mesh.places


async def ask_all(mesh: fake_mesh.Mesh, *, times: int = 5) -> set[int]:
    """Sends requests to all nodes and returns the statuses."""
    return {
        (await mesh.ask(place, fake_mesh.request())).status
        for place in mesh.places.values()
        for _ in range(times)
    }


def run_in(mesh: fake_mesh.Mesh, domain: str) -> int:
    """Returns how many requests targets of a failure domain have got."""
    return sum(
        len(place.target.seen)
        for place in mesh.places.values()
        if place.settings.failure_domain == domain
    )


async def test_targets_of_an_evacuated_domain_get_nothing(
    mesh: fake_mesh.Mesh,
) -> None:
    """Callers of the domain are served by targets elsewhere."""
    await fleet(mesh)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    before = run_in(mesh, "a")
    assert await ask_all(mesh) == {200}
    assert run_in(mesh, "a") == before
    mesh.store.remove(EVACUATE_A)
    await mesh.settle(1.5)
    assert await ask_all(mesh) == {200}
    assert run_in(mesh, "a") > before


async def test_an_evacuation_makes_no_further_calls_to_the_store(
    mesh: fake_mesh.Mesh,
) -> None:
    await fleet(mesh)
    await mesh.settle(4.0)
    kinds = ("get", "list", "watch", "put", "grant")
    before = mesh.store.made(*kinds)
    await mesh.settle(8.0)
    without = mesh.store.made(*kinds) - before
    mesh.store.operate(EVACUATE_A, b"{}")
    before = mesh.store.made(*kinds)
    await mesh.settle(8.0)
    # The watch ends with the change and is followed by a read and a new watch.
    assert mesh.store.made(*kinds) - before <= without + 2


async def test_a_node_that_the_store_refuses_learns_from_its_peers(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    places["a1"].node.feed.store = UnavailableStore()
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(BOUND_SECONDS)
    before = run_in(mesh, "a")
    assert await ask_all(mesh) == {200}
    assert run_in(mesh, "a") == before


async def test_the_guard_refuses_what_a_node_without_the_news_sends(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node that was cut off still places on the evacuated domain."""
    places = await fleet(mesh)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    outdated = places["b1"].node
    outdated.context.evacuations.domains = frozenset()
    outdated.peers.reachability.invalidate()
    places["b2"].node.guard.ready = False
    places["b1"].node.guard.ready = False
    outdated.peers.reachability.invalidate()
    before = run_in(mesh, "a")
    reply = await mesh.ask(places["b1"], fake_mesh.request("/pay/1"))
    assert reply.status == 503
    assert run_in(mesh, "a") == before
    assert not any("event=tried_again" in line for line in mesh.lines)


async def test_a_node_without_the_news_finds_a_target_elsewhere(
    mesh: fake_mesh.Mesh,
) -> None:
    """More guards refuse for the evacuation than may refuse for their load."""
    for number in range(5):
        await mesh.add(f"a{number}", domain="a")
    await mesh.add("b1", domain="b")
    front = await mesh.add("a9", domain="a", service="other")
    await mesh.settle(2.0)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    front.node.context.evacuations.domains = frozenset()
    front.node.peers.reachability.invalidate()
    replies = [
        (await mesh.ask(front, fake_mesh.request("/pay/1"))).status
        for _ in range(5)
    ]
    assert replies == [200] * 5
    assert run_in(mesh, "a") == 0


async def test_all_domains_evacuated_is_refused_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    for domain in "ab":
        mesh.store.operate(names.EVACUATIONS_PREFIX + domain, b"{}")
    await mesh.settle(1.5)
    asked_at = mesh.clock.now()
    reply = await mesh.ask(places["a1"], fake_mesh.request("/pay/1"))
    assert mesh.clock.now() - asked_at < 20.0
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0.0
    assert run_in(mesh, "a") + run_in(mesh, "b") == 0


async def test_a_service_without_known_targets_is_waited_for(
    mesh: fake_mesh.Mesh,
) -> None:
    """Nodes that have just started don't know the targets elsewhere yet."""
    front = await mesh.add("a1", domain="a", service="other")
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(2.0)
    asked_at = mesh.clock.now()
    reply = await mesh.ask(front, fake_mesh.request("/pay/1"))
    assert reply.status == 503
    assert mesh.clock.now() - asked_at > 100.0


async def test_waiting_requests_leave_an_evacuated_domain(
    mesh: fake_mesh.Mesh,
) -> None:
    """A request that runs is finished, one that waits runs elsewhere."""
    front = await mesh.add("b1", domain="b", service="other")
    busy = await mesh.add("a1", domain="a", slots=1)
    await mesh.settle(2.0)
    busy.target.work_seconds = 0.6
    callers = [await mesh.connect(front) for _ in range(2)]
    for number, caller in enumerate(callers):
        caller.send(fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.1)
    await mesh.add("b2", domain="b")
    await mesh.settle(0.3)
    mesh.store.operate(EVACUATE_A, b"{}")
    assert [(await caller.reply()).status for caller in callers] == [200, 200]
    assert len(busy.target.seen) == 1


async def test_an_evacuation_outlasts_a_restart_of_all_nodes(
    mesh: fake_mesh.Mesh,
) -> None:
    """All machines lose power while a domain is evacuated."""
    await fleet(mesh)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    before = run_in(mesh, "a")
    for place in mesh.places.values():
        mesh.kill(place)
    for place in mesh.places.values():
        await mesh.restart(place)
        await mesh.report(place)
    for _ in range(20):
        await ask_all(mesh, times=1)
        await mesh.settle(0.1)
    assert await ask_all(mesh) == {200}
    assert run_in(mesh, "a") == before


async def test_a_starting_node_knows_evacuations_before_it_serves(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node restarts in a rolling restart, while the store is unavailable."""
    places = await fleet(mesh)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    mesh.store.refusing = True
    before = run_in(mesh, "a")
    await mesh.restart(places["a2"])
    await mesh.report(places["a2"])
    for _ in range(30):
        await mesh.ask(places["a2"], fake_mesh.request())
        await mesh.settle(0.05)
    assert run_in(mesh, "a") == before


async def test_two_evacuations_end_independently(mesh: fake_mesh.Mesh) -> None:
    places = await fleet(mesh)
    third = await mesh.add("c1", domain="c")
    await mesh.settle(1.5)
    for domain in "ab":
        mesh.store.operate(names.EVACUATIONS_PREFIX + domain, b"{}")
    await mesh.settle(1.5)
    mesh.store.remove(EVACUATE_A)
    await mesh.settle(1.5)
    for place in places.values():
        assert place.node.context.evacuations.domains == {"b"}
    assert await ask_all(mesh) == {200}
    assert run_in(mesh, "b") == 0
    assert third.target.seen


async def test_an_outdated_peer_is_sent_the_state_again(
    mesh: fake_mesh.Mesh,
) -> None:
    """A peer missed that a domain was evacuated again after its return."""
    places = await fleet(mesh)
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(1.5)
    outdated, newer = places["b1"].node, places["b2"].node
    known = outdated.context.evacuations
    known.domains = frozenset()
    known.revision -= 1
    outdated.feed.store = UnavailableStore()
    await mesh.settle(2.0)
    assert known.domains == newer.context.evacuations.domains == {"a"}


async def test_a_lost_history_does_not_lose_an_evacuation(
    mesh: fake_mesh.Mesh,
) -> None:
    """The store compacts its history while nobody watches."""
    places = await fleet(mesh)
    mesh.store.compacted = mesh.store.revision + 100
    mesh.store.operate(EVACUATE_A, b"{}")
    await mesh.settle(BOUND_SECONDS)
    for place in places.values():
        assert place.node.context.evacuations.domains == {"a"}


async def test_a_domain_that_no_node_is_in_changes_nothing(
    mesh: fake_mesh.Mesh,
) -> None:
    await fleet(mesh)
    mesh.store.operate(names.EVACUATIONS_PREFIX + "elsewhere", b"\xff")
    await mesh.settle(1.5)
    assert await ask_all(mesh) == {200}
    assert any(
        "event=domain_evacuated" in line and "domain=elsewhere" in line
        for line in mesh.lines
    )


def test_a_status_of_an_earlier_release_brings_no_evacuations() -> None:
    status = frames.Status(
        now_ms=1.0,
        echo_ms=0.0,
        held_ms=0.0,
        version=3,
        as_of_ms=1.0,
        target=frames.TargetState(),
        counts={},
    )
    data = frames.ENCODER.encode(status)
    assert isinstance(frames.DECODER.decode(data), frames.Status)
    assert status.evacuations is None
