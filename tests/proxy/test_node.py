"""Whole nodes: a request from its caller to a target and back."""

from __future__ import annotations

import json

import pytest

from currantcart.admission import occupancy
from currantcart.platform import names
from currantcart.store import leased, port
from tests.fakes import mesh as fake_mesh


async def test_a_request_is_served_by_the_own_target(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    reply = await mesh.ask(place, fake_mesh.request())
    assert (reply.status, reply.body) == (200, b"done")
    seen = place.target.seen[0]
    assert seen.headers["currantcart-tenant"] == "mill"
    assert seen.headers["currantcart-caller-service"] == "grades"
    assert seen.headers["currantcart-expect-instance"] == "t-a"
    assert "api-key" not in seen.headers
    assert 0 < int(seen.headers["currantcart-deadline-ms"]) <= 4_000


async def test_a_request_reaches_a_peers_target(mesh: fake_mesh.Mesh) -> None:
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    reply = await mesh.ask(front, fake_mesh.request())
    assert reply.status == 200
    seen = back.target.seen[0]
    assert seen.headers["currantcart-caller-service"] == "other"


async def test_a_long_body_arrives_whole(mesh: fake_mesh.Mesh) -> None:
    """A body that is longer than one frame goes in parts between nodes."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    for size in (65_535, 65_536, 65_537, 100_000, 131_072, 300_000):
        body = bytes(index % 251 for index in range(size))
        reply = await mesh.ask(
            front,
            fake_mesh.request("/pay/1", method="POST", body=body),
        )
        assert reply.status == 200
        assert back.target.seen[-1].body == body


async def test_a_node_that_starts_again_uses_its_target_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node is started anew while its target goes on."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    await mesh.restart(back)
    await mesh.settle(0.6)
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_a_leave_outlives_the_process_that_acknowledged_it(
    mesh: fake_mesh.Mesh,
) -> None:
    """A target says that it leaves, then its node is killed and starts."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    assert await mesh.report(back, state="draining") == 200
    await mesh.restart(back)
    await mesh.settle(0.6)
    assert await mesh.report(back, sequence=1) == 200
    assert (await mesh.ask(front, fake_mesh.request())).status == 503
    assert not back.target.seen


async def test_a_leave_that_the_store_did_not_take_is_kept_by_the_peers(
    mesh: fake_mesh.Mesh,
) -> None:
    """The store is away as the leave is acknowledged, and back later."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    mesh.store.refusing = True
    assert await mesh.deregister(back) == 200
    mesh.kill(back)
    mesh.store.refusing = False
    await mesh.restart(back)
    await mesh.settle(0.6)
    assert (await mesh.ask(front, fake_mesh.request())).status == 503
    assert not back.target.seen


async def test_a_cancel_goes_to_where_the_request_is(
    mesh: fake_mesh.Mesh,
) -> None:
    """The own guard refuses a request, and a peer's target runs it."""
    front = await mesh.add("a", slots=1)
    back = await mesh.add("b", domain="b")
    back.target.work_seconds = front.target.work_seconds = 3.0
    await mesh.settle()
    front.node.guard.queue.occupancy.service_ms = dict.fromkeys(
        occupancy.Kind, 5_000.0
    )
    first = await mesh.connect(front)
    first.send(fake_mesh.request(request_id="first"))
    await mesh.settle(0.1)
    front.node.peers.own.busy = 0
    second = await mesh.connect(front)
    second.send(fake_mesh.request(request_id="second"))
    await mesh.settle(0.3)
    assert [seen.request_id for seen in back.target.seen] == ["second"]
    second.leave()
    await mesh.settle(0.3)
    assert back.target.dropped == 1


async def test_a_late_write_does_not_bring_a_target_back_that_has_left(
    mesh: fake_mesh.Mesh,
) -> None:
    """The store does a write without an answer, seconds after a newer one."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b", report=False)
    await mesh.settle()
    mesh.store.late = True
    assert await mesh.report(back) == 200
    await mesh.settle(0.8)
    mesh.store.late = False
    assert await mesh.report(back, state="draining") == 200
    await mesh.settle(3.0)
    for place in (front, back):
        mesh.kill(place)
    for place in (front, back):
        await mesh.restart(place)
    await mesh.settle(0.6)
    assert (await mesh.ask(front, fake_mesh.request())).status == 503
    assert not back.target.seen


async def test_a_node_that_could_not_read_writes_over_no_acknowledged_leave(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store loses the new process's first reads and takes its writes."""
    back = await mesh.add("b")
    await mesh.settle()
    assert await mesh.report(back, state="draining") == 200

    async def unread(prefix: str, *, stale: bool) -> list[leased.Item]:
        raise port.StoreUnavailable(f"{prefix} {stale}", peer="store")

    with monkeypatch.context() as patch:
        patch.setattr(mesh.store, "list", unread)
        await mesh.restart(back)
        await mesh.settle(0.5)
    await mesh.settle(1.0)
    assert await mesh.report(back, sequence=1) == 200
    assert await mesh.report(back, sequence=2) == 200
    assert (await mesh.ask(back, fake_mesh.request())).status == 503
    assert not back.target.seen


@pytest.mark.parametrize(
    "value",
    [b"\xff\x00", b"{}", b'{"member": 7}', b'{"member": {"instance": 1}}'],
)
async def test_an_entry_that_another_writer_spoilt_is_left_out(
    mesh: fake_mesh.Mesh, value: bytes
) -> None:
    """One entry that can't be read must not hide the others."""
    mesh.store.operate(f"{names.NODES_PREFIX}spoilt", value)
    front = await mesh.add("a", service="other")
    await mesh.add("b")
    await mesh.settle()
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    told = [line for line in mesh.lines if "event=entry_unreadable" in line]
    assert f"key={names.NODES_PREFIX}spoilt" in told[0]


async def test_fields_that_are_new_in_an_entry_are_read_past(
    mesh: fake_mesh.Mesh,
) -> None:
    """A newer node writes more than this one knows."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    key = f"{names.NODES_PREFIX}b"
    entry = json.loads(mesh.store.items[key][0].value)
    mesh.store.operate(key, json.dumps({**entry, "colour": "red"}).encode())
    for place in (front, back):
        mesh.kill(place)
    for place in (front, back):
        await mesh.restart(place)
    await mesh.settle(0.6)
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_a_stale_list_takes_no_peer_away_that_is_heard(
    mesh: fake_mesh.Mesh,
) -> None:
    """Cheap reads of the store are seconds behind, or far more."""
    front = await mesh.add("a", service="other")
    await mesh.settle()
    mesh.store.behind = set(mesh.store.items)
    await mesh.add("b")
    await mesh.settle(20.0)
    assert "b" in front.node.peers.by_instance
    assert not [line for line in mesh.lines if "event=peer_dropped" in line]
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_a_peer_tells_how_long_its_process_lives(
    mesh: fake_mesh.Mesh,
) -> None:
    first = await mesh.add("a")
    second = await mesh.add("b")
    await mesh.settle(3.0)
    known = first.node.peers.by_instance["b"]
    assert known.started_at == pytest.approx(
        second.node.context.started_at, abs=50.0
    )
    await mesh.restart(second)
    await mesh.settle(0.5)
    known = first.node.peers.by_instance["b"]
    assert known.started_at == pytest.approx(
        second.node.context.started_at, abs=50.0
    )
