"""Complete nodes: requests from callers to targets, restarts and leaves."""

from __future__ import annotations

import asyncio
import json

import pytest

from currantcart.admission import occupancy
from currantcart.platform import names
from currantcart.store import leased, port
from tests.fakes import mesh as fake_mesh

DEEP = b"[" * 50_000 + b"]" * 50_000
"""Valid JSON that is nested more deeply than a parser may recurse."""


async def test_a_request_is_served_by_the_local_target(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    reply = await mesh.ask(place, fake_mesh.request())
    assert (reply.status, reply.body) == (200, b"done")
    received = place.target.seen[0]
    assert received.headers["currantcart-tenant"] == "mill"
    assert received.headers["currantcart-caller-service"] == "grades"
    assert received.headers["currantcart-expect-instance"] == "t-a"
    assert "api-key" not in received.headers
    assert 0 < int(received.headers["currantcart-deadline-ms"]) <= 4_000


async def test_a_request_reaches_a_peers_target(mesh: fake_mesh.Mesh) -> None:
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    reply = await mesh.ask(front, fake_mesh.request())
    assert reply.status == 200
    received = back.target.seen[0]
    assert received.headers["currantcart-caller-service"] == "other"


async def test_a_long_body_arrives_whole(mesh: fake_mesh.Mesh) -> None:
    """Bodies longer than one frame are split between nodes.

    The sizes lie on both sides of the frame limit and its multiples.
    """
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


async def test_a_restarted_node_uses_its_target_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    """A restarted node must not wait for the next report of its target."""
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    await mesh.restart(back)
    await mesh.settle(0.6)
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_a_leave_survives_a_restart_of_the_node(
    mesh: fake_mesh.Mesh,
) -> None:
    """A target must get no requests after its leave was acknowledged.

    Its node is killed and restarted, and then receives a delayed report that
    the target is ready.
    """
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    assert await mesh.report(back, state="draining") == 200
    await mesh.restart(back)
    await mesh.settle(0.6)
    assert await mesh.report(back, sequence=1) == 200
    assert (await mesh.ask(front, fake_mesh.request())).status == 503
    assert not back.target.seen


async def test_a_leave_that_was_not_stored_is_restored_from_peers(
    mesh: fake_mesh.Mesh,
) -> None:
    """A target must get no requests after its leave was acknowledged.

    The store is unavailable when the leave is acknowledged, and available
    again when the killed node restarts.
    """
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
    """The local guard refuses a request, and a peer's target runs it."""
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
    front.node.peers.local_target.busy = 0
    second = await mesh.connect(front)
    second.send(fake_mesh.request(request_id="second"))
    await mesh.settle(0.3)
    assert [item.request_id for item in back.target.seen] == ["second"]
    second.leave()
    await mesh.settle(0.3)
    assert back.target.dropped == 1


async def test_a_delayed_write_does_not_revert_a_leave(
    mesh: fake_mesh.Mesh,
) -> None:
    """A target that has left must not be restored as ready.

    The store gives no answer to the write of a ready report and executes it
    seconds later, after the newer write of the leave.
    """
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


async def test_a_node_that_cannot_read_does_not_overwrite_a_leave(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A restarted node must keep the leave that its predecessor recorded.

    The store fails the new process's first reads and executes its writes.
    """
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
    [
        b"\xff\x00",
        b"{}",
        b'{"member": 7}',
        b'{"member": {"instance": 1}}',
        b'{"x":' + DEEP + b"}",
    ],
    ids=["bytes", "empty", "number", "type", "deep"],
)
async def test_a_malformed_entry_is_skipped(
    mesh: fake_mesh.Mesh, value: bytes
) -> None:
    """One malformed entry in the store must not hide the others."""
    mesh.store.operate(f"{names.NODES_PREFIX}spoilt", value)
    front = await mesh.add("a", service="other")
    await mesh.add("b")
    await mesh.settle()
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    logged = [line for line in mesh.lines if "event=entry_unreadable" in line]
    assert f"key={names.NODES_PREFIX}spoilt" in logged[0]


async def test_unknown_fields_of_an_entry_are_ignored(
    mesh: fake_mesh.Mesh,
) -> None:
    """A node of a newer version may write fields that this one lacks."""
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


async def test_a_stale_list_removes_no_responsive_peer(
    mesh: fake_mesh.Mesh,
) -> None:
    """Stale reads of the store may lag by seconds or far more."""
    front = await mesh.add("a", service="other")
    await mesh.settle()
    mesh.store.behind = set(mesh.store.items)
    await mesh.add("b")
    await mesh.settle(20.0)
    assert "b" in front.node.peers.by_instance
    assert not [line for line in mesh.lines if "event=peer_dropped" in line]
    assert (await mesh.ask(front, fake_mesh.request())).status == 200


async def test_a_peer_reports_the_start_time_of_its_process(
    mesh: fake_mesh.Mesh,
) -> None:
    """After a restart, peers must use the start time of the new process."""
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


async def test_failing_part_of_a_tick_leaves_the_others_running(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against quotas and sweeps that stop with the streams' part."""
    place = await mesh.add("a")
    await mesh.settle()
    mesh.loop.set_exception_handler(lambda loop, details: None)

    def fail(*args: object) -> None:
        raise OverflowError("can't serialize ints")

    ran: list[str] = []
    node = place.node
    monkeypatch.setattr(node.peers, "tick", fail)
    monkeypatch.setattr(node.quotas, "tick", lambda now: ran.append("quotas"))
    monkeypatch.setattr(node.callers, "sweep", lambda: ran.append("callers"))
    monkeypatch.setattr(
        node.state_log, "log_changes", lambda now: ran.append("log")
    )
    await asyncio.sleep(2.0)
    assert ran.count("quotas") >= 30
    assert ran.count("callers") >= 3
    assert ran.count("log") >= 3
