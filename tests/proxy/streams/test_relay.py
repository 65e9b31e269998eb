"""The exchange of a fleet with relays, with one failure in each test."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Iterable

import msgspec
import pytest

from currantcart.fleet import digest
from currantcart.platform import names
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames, link
from currantcart.store import leased as store_port
from currantcart.store import port
from tests.fakes import leased
from tests.fakes import mesh as fake_mesh

RATE = 200.0
ALLOWED = (RATE * 5 + RATE) * 1.1 + 20
WORKSPACE = "mill"
RELAYED = proxy_settings.Exchange(mesh_nodes_max=24)
SERVICES = ("grades", "marks", "terms", "years")


async def fleet(
    mesh: fake_mesh.Mesh,
    *,
    nodes: int = 32,
    domains: str = "abcd",
    mesh_only: Iterable[int] = (),
    exchange: proxy_settings.Exchange = RELAYED,
    settle: float = 6.0,
) -> dict[str, fake_mesh.Place]:
    """Starts a fleet with relays; some nodes are of the previous release."""
    mesh.store.operate(
        names.CONFIG_KEY, fake_mesh.document(2, rate=RATE, burst=RATE)
    )
    for number in range(nodes):
        mesh.exchange = (
            proxy_settings.Exchange() if number in mesh_only else exchange
        )
        domain = domains[number % len(domains)]
        await mesh.add(
            f"{domain}{number:02}",
            service=SERVICES[number // len(domains) % len(SERVICES)],
            domain=domain,
        )
    await mesh.settle(settle)
    return mesh.places


def in_domain(mesh: fake_mesh.Mesh, domain: str) -> list[str]:
    return [
        name
        for name, place in mesh.places.items()
        if place.settings.failure_domain == domain
    ]


def relays_of(mesh: fake_mesh.Mesh, domain: str, *, by: str) -> list[str]:
    return list(mesh.places[by].node.peers.relay.current(domain))


def silent_at(mesh: fake_mesh.Mesh) -> dict[str, int]:
    """Returns how many nodes each node counts as silent."""
    return {
        name: round(
            place.node.quotas.silent_share
            * (len(place.node.peers.by_instance) + 1)
        )
        for name, place in mesh.places.items()
    }


class Demand:
    """Requests of one workspace at random nodes.

    Attributes:
      admitted: Times at which requests were admitted, in seconds.
      dead: Nodes that get none.
    """

    def __init__(self, mesh: fake_mesh.Mesh, *, per_second: float) -> None:
        self.mesh = mesh
        self.per_second = per_second
        self.rng = random.Random(5)
        self.admitted: list[float] = []
        self.dead: set[str] = set()

    async def run(self, seconds: float) -> None:
        end = self.mesh.loop.time() + seconds
        due = 0.0
        while self.mesh.loop.time() < end:
            live = [
                place
                for name, place in self.mesh.places.items()
                if name not in self.dead
            ]
            due += self.per_second / 100
            while due >= 1.0:
                due -= 1.0
                quotas = self.rng.choice(live).node.quotas
                if quotas.admit(WORKSPACE, self.mesh.clock.now()) == 0.0:
                    self.admitted.append(self.mesh.loop.time())
            await asyncio.sleep(0.01)

    def most_in_a_window(self) -> int:
        starts = range(int(self.admitted[0] * 10), int(self.admitted[-1] * 10))
        return max(
            sum(start / 10 <= at < start / 10 + 5 for at in self.admitted)
            for start in starts
        )

    def kill(self, name: str) -> None:
        self.dead.add(name)
        self.mesh.kill(self.mesh.places[name])


async def pressed(mesh: fake_mesh.Mesh) -> Demand:
    """Returns the demand of ten times the rate after it has settled."""
    demand = Demand(mesh, per_second=10 * RATE)
    await demand.run(4.0)
    return demand


def digest_stream(place: fake_mesh.Place, sender: str) -> link.Link:
    """Returns the stream on which a relay sends its digests to a node."""
    *_, last = (
        item
        for item in place.node.peers.relay.vouched
        if item.peer and item.peer.instance == sender
    )
    return last


def set_pressing(mesh: fake_mesh.Mesh) -> None:
    for place in mesh.places.values():
        place.node.quotas.expedited = lambda: {WORKSPACE: 1}  # type: ignore[method-assign]


# Small fleets.


async def test_a_small_fleet_keeps_the_full_mesh(mesh: fake_mesh.Mesh) -> None:
    await fleet(mesh, nodes=12, settle=5.0)
    for place in mesh.places.values():
        peers = place.node.peers
        assert not peers.relay.enabled
        assert len(peers.dialled) == len(peers.accepted) == 11
        assert not place.node.context.counts.counters["digests"]


# Without a failure.


async def test_all_nodes_know_all_others_by_few_streams(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against streams and statuses that grow with the fleet."""
    exchange = msgspec.structs.replace(RELAYED, targets_per_service=3)
    await fleet(mesh, nodes=40, exchange=exchange, settle=13.0)
    for name, place in mesh.places.items():
        peers = place.node.peers
        assert len(peers.by_instance) == 39
        assert all(peer.has_reported for peer in peers.by_instance.values())
        assert place.node.quotas.silent_share == 0.0
        is_relay = name in relays_of(mesh, name[0], by=name)
        assert peers.relay.is_acting == is_relay
        assert len(peers.dialled) <= (24 if is_relay else 14)


async def test_counts_reach_all_nodes_in_time(mesh: fake_mesh.Mesh) -> None:
    """A status within two intervals, expedited counts within 0.15 s."""
    places = await fleet(mesh)
    node = places["b05"].node
    process = node.context.process
    for name, within in (("slow", 0.85), ("fast", 0.2)):
        if name == "fast":
            bucket = node.quotas.buckets[WORKSPACE]
            bucket.tokens, bucket.updated_at = 20.0, mesh.clock.now()
        assert node.quotas.admit(WORKSPACE, mesh.clock.now()) == 0.0
        admitted = node.quotas.buckets[WORKSPACE].admitted
        await mesh.settle(within)
        known = [
            place.node.quotas.reported[process].get(WORKSPACE)
            for other, place in places.items()
            if other != "b05"
        ]
        assert known == [admitted] * 31, name


async def test_no_node_counts_as_silent_while_all_are_reachable(
    mesh: fake_mesh.Mesh,
) -> None:
    await fleet(mesh)
    for pressing in (False, True):
        if pressing:
            set_pressing(mesh)
        for _ in range(60):
            await mesh.settle(0.1)
            assert set(silent_at(mesh).values()) == {0}


@pytest.mark.parametrize("domains", ["abcd", "abc"])
async def test_the_rate_is_kept_and_used(
    mesh: fake_mesh.Mesh, domains: str
) -> None:
    await fleet(mesh, domains=domains)
    demand = Demand(mesh, per_second=10 * RATE)
    await demand.run(8.0)
    assert demand.most_in_a_window() <= ALLOWED
    assert len([at for at in demand.admitted if at >= 9.0]) >= 0.9 * RATE * 5


# Partitions.


async def test_the_rate_is_kept_while_nodes_are_cut_off_one_by_one(
    mesh: fake_mesh.Mesh,
) -> None:
    """Several isolated nodes would each use a workspace's full rate."""
    places = await fleet(mesh)
    demand = await pressed(mesh)
    for name in list(places)[:7]:
        mesh.loop.cut_off(name, others=places)
        await demand.run(0.4)
    await demand.run(2.0)
    assert demand.most_in_a_window() <= ALLOWED


@pytest.mark.parametrize("domains", ["abcd", "abc"])
async def test_the_rate_is_kept_while_a_failure_domain_is_cut_off(
    mesh: fake_mesh.Mesh, domains: str
) -> None:
    """Both sides would use a workspace's full rate; heals in the end."""
    places = await fleet(mesh, domains=domains)
    demand = await pressed(mesh)
    mesh.loop.cut_off(*in_domain(mesh, "a"), others=places)
    await demand.run(2.5)
    mesh.loop.cuts.clear()
    mesh.loop.silences.clear()
    await demand.run(5.0)
    assert demand.most_in_a_window() <= ALLOWED
    assert set(silent_at(mesh).values()) == {0}


async def test_a_failure_domain_that_is_cut_off_is_noticed_in_time(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    set_pressing(mesh)
    await mesh.settle(1.0)
    mesh.loop.cut_off(*in_domain(mesh, "a"), others=places)
    await mesh.settle(0.6)
    assert silent_at(mesh) == {
        name: 24 if name[0] == "a" else 8 for name in places
    }


async def test_a_node_that_is_cut_off_is_noticed_in_time(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    set_pressing(mesh)
    await mesh.settle(1.0)
    mesh.loop.cut_off("b05", others=places)
    await mesh.settle(0.6)
    assert silent_at(mesh)["b05"] == 31
    await mesh.settle(0.6)
    assert silent_at(mesh) == {
        name: 31 if name == "b05" else 1 for name in places
    }


# Relays.


async def test_the_loss_of_one_relay_leaves_no_gap(
    mesh: fake_mesh.Mesh,
) -> None:
    """Only the lost node itself counts as silent; the next one follows."""
    places = await fleet(mesh)
    set_pressing(mesh)
    demand = Demand(mesh, per_second=1.0)
    first, second = relays_of(mesh, "a", by="a12")
    demand.kill(first)
    for _ in range(60):
        await mesh.settle(0.05)
        counted = silent_at(mesh)
        assert all(counted[name] <= 1 for name in places if name != first)
    third = in_domain(mesh, "a")[2]
    for name in {*in_domain(mesh, "a"), "b01", "c02", "d03"} - {first}:
        assert relays_of(mesh, "a", by=name) == [second, third]
    assert places[third].node.peers.relay.is_acting


async def test_the_rate_is_kept_when_both_relays_of_a_domain_die(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    demand = await pressed(mesh)
    lost = relays_of(mesh, "a", by="a12")
    for name in lost:
        demand.kill(name)
    await mesh.settle(0.0)
    await demand.run(0.55)
    counted = silent_at(mesh)
    live = set(places) - demand.dead
    assert all(counted[name] >= 8 for name in live if name[0] != "a")
    await demand.run(4.0)
    counted = silent_at(mesh)
    assert {counted[name] for name in live} == {2}
    assert relays_of(mesh, "a", by="b01") == in_domain(mesh, "a")[2:4]
    assert demand.most_in_a_window() <= ALLOWED


async def test_a_relay_that_was_paused_lists_nobody_before_it_has_read(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a pause all others appear silent to it."""
    places = await fleet(mesh)
    set_pressing(mesh)
    await mesh.settle(1.0)
    node = places["a00"].node
    relay, tick = node.peers.relay, node.tick
    assert relay.is_acting
    received = [item for item in mesh.loop.transports if item.owner == "a00"]
    for transport in received:
        transport.pause_reading()
    monkeypatch.setattr(node, "tick", lambda: None)
    await mesh.settle(1.0)
    sent = node.context.counts.counters["digests"]["sent",]
    tick()
    assert node.context.counts.counters["digests"]["sent",] == sent
    assert relay.share == 0.0
    for transport in received:
        transport.resume_reading()
    monkeypatch.setattr(node, "tick", tick)
    for _ in range(30):
        await mesh.settle(0.05)
        counted = silent_at(mesh)
        assert counted["a00"] == 0
        assert max(counted.values()) <= 1
    assert max(counted.values()) == 0


async def test_what_a_relay_sends_late_counts_as_old(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against old evidence that looks recent where it arrives."""
    places = await fleet(mesh)
    peers = places["a12"].node.peers
    sender = peers.by_instance["a00"]
    item = digest_stream(places["a12"], "a00")
    for peer in peers.by_instance.values():
        peer.received_at = 0.0
    now = mesh.clock.now()
    peers.handle_digest(item, frames.Digest(now - 900.0, "a", 300.0, []))
    assert now - 905.0 <= sender.received_at <= now - 900.0
    received = {
        peer.received_at
        for name, peer in peers.by_instance.items()
        if name[0] == "a" and name != "a00"
    }
    (at,) = received
    assert now - 1_205.0 <= at <= now - 1_200.0


async def test_a_difference_to_something_unknown_ends_the_stream(
    mesh: fake_mesh.Mesh,
) -> None:
    """Its counts would be taken for requests that have just been admitted."""
    places = await fleet(mesh)
    node = places["a12"].node
    peers = node.peers
    tokens = node.quotas.buckets[WORKSPACE].tokens
    item = digest_stream(places["a12"], "a00")
    row = frames.Row(
        frames.Member("a99", "p99", "10.0.0.99:7000", "grades", "a"),
        1_000.0,
        2,
        0.0,
        frames.TargetState(),
        {WORKSPACE: 150},
        7,
    )
    peers.handle_digest(
        item, frames.Digest(mesh.clock.now(), "a", 100.0, [row])
    )
    assert item.transport is None
    assert node.quotas.buckets[WORKSPACE].tokens == tokens
    await mesh.settle(1.0)
    assert item not in peers.relay.vouched
    assert digest_stream(places["a12"], "a00").transport is not None


async def test_a_row_whose_address_cannot_be_dialled_adds_no_peer(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against look-ups, and tasks that end with an exception."""
    places = await fleet(mesh)
    peers = places["a12"].node.peers
    item = digest_stream(places["a12"], "a00")
    row = frames.Row(
        frames.Member("a99", "p99", "10.0.0.99:99999999", "grades", "a"),
        1_000.0,
        2,
        0.0,
        frames.TargetState(),
        {},
        7,
        complete=True,
    )
    peers.handle_digest(
        item, frames.Digest(mesh.clock.now(), "a", 100.0, [row])
    )
    assert "a99" not in peers.by_instance
    assert item.transport is not None


async def test_a_digest_of_the_future_makes_no_peer_younger_than_now(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against processes that never become silent."""
    places = await fleet(mesh)
    peers = places["a12"].node.peers
    item = digest_stream(places["a12"], "a00")
    now = mesh.clock.now()
    peers.handle_digest(item, frames.Digest(now, "a", -1e9, [], heard_ms=-1e9))
    assert all(peer.received_at <= now for peer in peers.by_instance.values())
    assert peers.relay.heard_at["a"] <= now


# Starts and ends.


async def test_a_node_that_starts_knows_all_from_its_relays(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    demand = Demand(mesh, per_second=RATE / 2)
    await demand.run(2.0)
    mesh.exchange = RELAYED
    await mesh.add("d99", service="grades", domain="d")
    await mesh.settle(0.3)
    node = places["d99"].node
    assert len(node.peers.by_instance) == 32
    assert all(peer.has_reported for peer in node.peers.by_instance.values())
    assert node.context.freshness.version == 2
    assert len(node.peers.dialled) < 33
    await mesh.settle(1.0)
    for place in places.values():
        assert place is places["d99"] or (
            "d99" in place.node.peers.by_instance
            and place.node.quotas.nodes == 33
        )


async def test_the_rate_is_kept_when_nodes_start_anew(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    demand = await pressed(mesh)
    for name in list(places)[:8]:
        await mesh.restart(places[name])
        await demand.run(0.3)
    await demand.run(3.0)
    assert demand.most_in_a_window() <= ALLOWED


async def test_a_target_that_leaves_is_known_everywhere_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """Also by nodes without a stream to it, and after its node restarts."""
    places = await fleet(mesh)
    leaving = places["c06"]
    assert await mesh.deregister(leaving) == 200
    await mesh.settle(0.2)
    for name, place in places.items():
        if name == "c06":
            continue
        peers = place.node.peers
        assert not peers.by_instance["c06"].target.ready
        assert peers.leaving_targets["c06"] == (
            leaving.target.target_id,
            leaving.born,
        )
    mesh.store.silent = True
    await mesh.restart(leaving)
    mesh.store.silent = False
    await mesh.settle(2.0)
    await mesh.report(leaving, sequence=1)
    assert not leaving.node.guard.ready


async def test_a_node_that_ends_does_not_count_as_silent(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    await places["c06"].node.stop()
    await mesh.settle(0.25)
    for name, place in places.items():
        if name != "c06":
            assert place.node.peers.by_instance["c06"].ended
    await mesh.settle(2.0)
    counted = silent_at(mesh)
    assert {counted[name] for name in places if name != "c06"} == {0}
    for name, place in places.items():
        peers = place.node.peers
        if name != "c06":
            assert not peers.is_alive(peers.by_instance["c06"])


# Configuration and evacuations.


async def test_a_configuration_is_in_force_everywhere_in_time(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(3))
    await mesh.settle(1.0)
    versions = collections.Counter(
        place.node.context.freshness.version for place in places.values()
    )
    assert versions == {3: 32}
    await mesh.settle(3.0)
    for _ in range(40):
        await mesh.settle(0.05)
        ages = [
            place.node.context.freshness.age(mesh.clock.now())
            for place in places.values()
        ]
        assert max(ages) <= 1_600.0


async def test_a_version_that_only_an_ordinary_node_can_read_spreads(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The relays are cut off from the store, and forward what it has read."""
    places = await fleet(mesh)
    read_range = leased.FakeLeasedStore.read_range
    reader = places["b29"].node.feed

    async def read(
        store: leased.FakeLeasedStore, prefix: str
    ) -> store_port.Range:
        if asyncio.current_task() is not reader.polling:
            raise port.StoreUnavailable(prefix, peer="store")
        return await read_range(store, prefix)

    monkeypatch.setattr(leased.FakeLeasedStore, "read_range", read)
    mesh.store.operate(names.CONFIG_KEY, fake_mesh.document(3))
    await mesh.settle(4.0)
    assert {
        place.node.context.freshness.version for place in places.values()
    } == {3}


async def test_an_evacuation_reaches_all_nodes_in_time(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await fleet(mesh)
    mesh.store.operate(names.EVACUATIONS_PREFIX + "a", b"{}")
    await mesh.settle(1.0)
    assert all(
        place.node.context.evacuations.domains == {"a"}
        for place in places.values()
    )


# Other releases.


async def test_nodes_of_the_previous_release_are_told_directly(
    mesh: fake_mesh.Mesh,
) -> None:
    """They know nothing of digests, and the first in a domain may be one."""
    places = await fleet(mesh, mesh_only=(0, 13), settle=12.0)
    assert relays_of(mesh, "a", by="a12") == ["a04", "a08"]
    demand = await pressed(mesh)
    await demand.run(4.0)
    assert demand.most_in_a_window() <= ALLOWED
    assert set(silent_at(mesh).values()) == {0}
    old = places["a00"].node
    for place in places.values():
        if place.node is old:
            continue
        reported = old.quotas.reported[place.node.context.process]
        bucket = place.node.quotas.buckets[WORKSPACE]
        assert bucket.admitted - reported[WORKSPACE] <= 10
        assert old.peers.by_instance[place.name].version == 2


# Streams that carry calls.


async def test_calls_go_to_other_targets_when_the_selected_ones_refuse(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node keeps streams to few targets, and opens others in their place."""
    mesh.exchange = proxy_settings.Exchange(
        mesh_nodes_max=4, targets_per_service=2
    )
    for number in range(12):
        await mesh.add(
            f"{'abc'[number % 3]}{number:02}",
            service="other" if number < 3 else "grades",
            domain="abc"[number % 3],
        )
    await mesh.settle(9.0)
    caller = mesh.places["a00"]
    peers = caller.node.peers
    selected = [
        item.peer.instance
        for item in peers.dialled
        if item.peer and item.peer.service == "grades"
    ]
    assert (await mesh.ask(caller, fake_mesh.request())).status == 200
    grades = [place for place in mesh.places.values() if place.target.seen]
    assert {place.name for place in grades} <= set(selected)
    for name in selected:
        await mesh.report(mesh.places[name], state="draining")
    await mesh.settle(0.4)
    for number in range(6):
        reply = await mesh.ask(
            caller, fake_mesh.request(request_id=f"after{number}")
        )
        assert reply.status == 200
    assert len(peers.dialled) <= 10


async def test_a_stream_without_calls_is_usable_and_then_probed(
    mesh: fake_mesh.Mesh,
) -> None:
    """Its last status is older than a stream with calls may be silent."""
    places = await fleet(mesh, settle=9.0)
    peers = places["a12"].node.peers
    idle = [item for item in peers.dialled if item.idle]
    assert len(idle) >= 20
    now = mesh.clock.now()
    limit = link.suspect_ms(link.CALLS_STATUS_MS)
    old = [item for item in idle if now - item.received_at > limit]
    assert len(old) >= 5
    for item in old:
        assert item.peer is not None
        assert peers.link_to(item.peer.instance) is item
    item = old[0]
    assert item.peer is not None
    item.set_idle(False, now)
    assert peers.link_to(item.peer.instance) is item
    await mesh.settle(0.3)
    assert mesh.clock.now() - item.received_at < 300.0


async def test_an_idle_stream_to_a_silent_peer_is_not_usable(
    mesh: fake_mesh.Mesh,
) -> None:
    """Its next status is due in seconds, but no relay vouches for the peer."""
    places = await fleet(mesh, settle=9.0)
    mesh.loop.cut_off("c06", others=places)
    await mesh.settle(digest.PEER_SILENT_MS / 1_000 + 0.1)
    for name, place in places.items():
        if name != "c06":
            assert place.node.peers.link_to("c06") is None
