"""Configuration, API keys and rates across several nodes."""

from __future__ import annotations

import json

from currantcart.fleet import freshness
from currantcart.store import leased as store_port
from currantcart.store import port
from tests.fakes import leased
from tests.fakes import mesh as fake_mesh


async def three_nodes(mesh: fake_mesh.Mesh) -> list[fake_mesh.Place]:
    places = [await mesh.add(name) for name in "abc"]
    await mesh.settle()
    return places


async def test_a_version_is_in_force_everywhere_within_two_seconds(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await three_nodes(mesh)
    routes = [fake_mesh.route("new", "grades")]
    mesh.store.operate("op/config", fake_mesh.document(5, routes))
    await mesh.settle(1.5)
    for place in places:
        assert (
            await mesh.ask(place, fake_mesh.request("/new/1"))
        ).status == 200
        assert (await mesh.ask(place, fake_mesh.request())).status == 404


async def test_the_fleet_reads_the_configuration_as_one(
    mesh: fake_mesh.Mesh,
) -> None:
    await three_nodes(mesh)
    await mesh.settle(5.0)
    before = mesh.store.reads
    await mesh.settle(20.0)
    # One read per 0.7 s for the fleet; per node a list each 2.6 s and a lease
    # renewal each 3 s.
    assert mesh.store.reads - before < 20 / 0.7 + 3 * 20 / 2.5 + 3 * 20 / 2.9


async def test_a_withdrawn_key_stops_on_a_node_that_is_cut_off(
    mesh: fake_mesh.Mesh,
) -> None:
    """A key is withdrawn after a node has lost the store and all peers."""
    places = await three_nodes(mesh)
    isolated = places[2]
    mesh.loop.cuts |= {frozenset("ac"), frozenset("bc")}
    mesh.loop.drop_connections("c", "a")
    mesh.loop.drop_connections("c", "b")
    isolated.node.feed.store = UnavailableStore()
    await mesh.settle(0.5)
    assert (await mesh.ask(isolated, fake_mesh.request())).status == 200
    mesh.store.operate("op/config", fake_mesh.document(5, keys=("key-two",)))
    await mesh.settle(4.8)
    assert (await mesh.ask(isolated, fake_mesh.request())).status == 503
    assert (await mesh.ask(places[0], fake_mesh.request())).status == 401
    reply = await mesh.ask(isolated, fake_mesh.request("/inner/1", key=None))
    assert reply.status == 200


class UnavailableStore(leased.FakeLeasedStore):
    """A store that is unavailable to one node."""

    async def read_range(self, prefix: str) -> store_port.Range:
        raise port.StoreUnavailable(prefix, peer="store")


async def test_a_node_that_the_store_refuses_gets_versions_from_its_peers(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await three_nodes(mesh)
    first = min(places, key=lambda place: place.name)
    first.node.feed.store = UnavailableStore()
    mesh.store.operate("op/config", fake_mesh.document(5, keys=("key-two",)))
    await mesh.settle(2.0)
    for place in places:
        assert (await mesh.ask(place, fake_mesh.request())).status == 401
        known = place.node.context.freshness
        assert known.age(mesh.clock.now()) < freshness.TAKE_OVER_MS + 800


async def test_an_unreadable_configuration_changes_nothing(
    mesh: fake_mesh.Mesh,
) -> None:
    places = await three_nodes(mesh)
    mesh.store.operate("op/config", b'{"version": 9, "routes": 3}')
    await mesh.settle(2.0)
    assert (await mesh.ask(places[0], fake_mesh.request())).status == 200
    assert any("event=config_invalid" in line for line in mesh.lines)


async def test_an_older_version_never_comes_back(mesh: fake_mesh.Mesh) -> None:
    places = await three_nodes(mesh)
    mesh.store.operate("op/config", fake_mesh.document(9))
    await mesh.settle()
    mesh.store.operate("op/config", fake_mesh.document(4, []))
    await mesh.settle()
    assert (await mesh.ask(places[0], fake_mesh.request())).status == 200
    assert places[0].node.context.freshness.version == 9


async def test_expired_entries_are_rewritten_soon_after_the_store_recovers(
    mesh: fake_mesh.Mesh,
) -> None:
    await three_nodes(mesh)
    mesh.store.refusing = True
    mesh.store.lapse()
    await mesh.settle(6.0)
    mesh.store.refusing = False
    await mesh.settle(2.0)
    named = [key for key in mesh.store.items if "/nodes/" in key]
    assert len(named) == 3


async def test_peers_stay_in_use_while_their_entries_are_gone(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await mesh.add("a", service="other")
    await mesh.add("b")
    await mesh.settle()
    mesh.store.lapse()
    mesh.store.refusing = True
    await mesh.settle(20.0)
    reply = await mesh.ask(front, fake_mesh.request("/inner/1", key=None))
    assert reply.status == 200


async def test_a_rate_holds_over_all_nodes(mesh: fake_mesh.Mesh) -> None:
    mesh.store.operate(
        "op/config", fake_mesh.document(5, rate=20.0, burst=20.0)
    )
    places = await three_nodes(mesh)
    await mesh.settle(3.0)
    admitted = 0
    for round_number in range(100):
        for place in places:
            reply = await mesh.ask(place, fake_mesh.request())
            admitted += reply.status == 200
            if reply.status == 429:
                assert float(reply.headers["retry-after"]) > 0
        await mesh.settle(0.03)
        del round_number
    assert 100 <= admitted <= (20 * 5 + 20) * 1.1 + 20


async def test_without_a_configuration_a_node_is_not_ready(
    mesh: fake_mesh.Mesh,
) -> None:
    mesh.store.items.clear()
    place = await mesh.add("a")
    await mesh.settle()
    assert not place.node.is_ready()
    assert (await mesh.ask(place, fake_mesh.request())).status == 503


async def test_a_request_that_may_have_run_keeps_its_token(
    mesh: fake_mesh.Mesh,
) -> None:
    """Returning the token would admit retries of requests that have run.

    The target runs each request, and its answers are lost.
    """
    mesh.store.operate(
        "op/config", fake_mesh.document(5, rate=0.001, burst=8.0)
    )
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = lambda seen: b""
    place.target.cut_after = True
    statuses = [
        (await mesh.ask(place, fake_mesh.request())).status for _ in range(8)
    ]
    assert len(place.target.seen) <= 4
    assert statuses[-1] == 429


async def test_without_keys_a_draining_node_accepts_calls_of_its_target(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against running requests that fail since a call is refused."""
    document = fake_mesh.document(5).replace(b'"tenants"', b'"others"')
    mesh.store.operate("op/config", document)
    place = await mesh.add("a")
    await mesh.settle()
    place.node.context.rejecting_callers = True
    assert (await mesh.ask(place, fake_mesh.request(key=None))).status == 503
    assert not place.target.seen
    place.node.context.rejecting_callers = False
    place.target.work_seconds = 3.0
    parent = await mesh.connect(place)
    parent.send(fake_mesh.request(request_id="parent", key=None))
    await mesh.settle(0.1)
    place.target.work_seconds = 0.01
    place.node.context.rejecting_callers = True
    for request_id, deadline in (("parent.1", 4_000), ("other", 2_000)):
        call = fake_mesh.request(
            request_id=request_id, deadline=deadline, key=None
        )
        assert (await mesh.ask(place, call)).status == 200
    later = fake_mesh.request(request_id="later", deadline=9_000, key=None)
    assert (await mesh.ask(place, later)).status == 503
    assert (await parent.reply()).status == 200


async def test_a_change_is_in_force_long_before_the_next_poll(
    mesh: fake_mesh.Mesh,
) -> None:
    """The node that reads for the fleet is notified by a watch."""
    places = await three_nodes(mesh)
    await mesh.settle(2.0)
    for version in range(5, 10):
        routes = [fake_mesh.route(f"new{version}", "grades")]
        mesh.store.operate("op/config", fake_mesh.document(version, routes))
        await mesh.settle(0.1)
        for place in places:
            assert place.node.context.freshness.version == version


async def test_a_change_that_no_watch_reports_is_found_by_polling(
    mesh: fake_mesh.Mesh,
) -> None:
    """The store drops its history, after which a watch reports no changes."""
    places = await three_nodes(mesh)
    await mesh.settle(2.0)
    mesh.store.compacted = 1_000_000
    for version in (5, 6):
        mesh.store.operate("op/config", fake_mesh.document(version))
        await mesh.settle(1.5)
        assert places[2].node.context.freshness.version == version


async def test_unknown_fields_are_logged_once_per_version(
    mesh: fake_mesh.Mesh,
) -> None:
    """The operator writes fields that this release does not read."""
    places = await three_nodes(mesh)
    document = json.loads(fake_mesh.document(5))
    document["colour"] = "green"
    mesh.store.operate("op/config", json.dumps(document).encode())
    await mesh.settle(3.0)
    logged = [
        line for line in mesh.lines if "event=config_fields_unread" in line
    ]
    assert len(logged) == len(places)
    assert all("fields=colour" in line for line in logged)
    assert (await mesh.ask(places[0], fake_mesh.request())).status == 200
