"""Answers to callers when targets, streams or nodes fail."""

from __future__ import annotations

import pytest

from bench.standins import http_target
from tests.fakes import mesh as fake_mesh


async def two_targets(
    mesh: fake_mesh.Mesh,
) -> tuple[fake_mesh.Place, fake_mesh.Place, fake_mesh.Place]:
    """Returns a node of another service, and two of `grades`."""
    front = await mesh.add("a", service="other")
    near = await mesh.add("b")
    far = await mesh.add("c", domain="far")
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    return front, near, far


PAY = fake_mesh.request("/pay/1", method="POST", body=b"fee", request_id="p1")


async def test_a_request_that_a_target_did_not_run_is_sent_to_another(
    mesh: fake_mesh.Mesh,
) -> None:
    front, near, far = await two_targets(mesh)
    near.target.script = http_target.not_executed
    reply = await mesh.ask(front, PAY)
    assert reply.status == 200
    assert len(near.target.seen) == len(far.target.seen) == 1


async def test_a_request_that_no_target_ran_gets_503_with_retry_after(
    mesh: fake_mesh.Mesh,
) -> None:
    front, near, far = await two_targets(mesh)
    near.target.script = far.target.script = http_target.not_executed
    reply = await mesh.ask(front, PAY)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


def truncated(seen: http_target.Seen) -> bytes:
    return http_target.sealed(seen, body=b"x" * 100)[:-50]


def malformed(seen: http_target.Seen) -> bytes:
    del seen
    return b"\x00\x17 no answer at all\r\n\r\n"


def no_status(seen: http_target.Seen) -> bytes:
    """Returns an answer with a status that HTTP does not have."""
    return http_target.sealed(seen, status=600)


def upgrade(seen: http_target.Seen) -> bytes:
    del seen
    return (
        b"HTTP/1.1 101 Switching Protocols\r\n"
        b"Connection: upgrade\r\nUpgrade: other\r\n\r\n"
    )


def answer_to_another(seen: http_target.Seen) -> bytes:
    other = http_target.Seen(
        seen.method, seen.path, {"currantcart-request-id": "other"}, b""
    )
    return http_target.sealed(other, body=b"somebody else's")


def unsealed(seen: http_target.Seen) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\n"
        f"Currantcart-Request-Id: {seen.request_id}\r\n"
        "Content-Length: 4\r\n\r\nfake"
    ).encode()


FAULTS = pytest.mark.parametrize(
    "fault",
    [truncated, malformed, no_status, upgrade, answer_to_another, unsealed],
)


@FAULTS
async def test_a_payment_whose_answer_is_lost_is_not_retried(
    mesh: fake_mesh.Mesh, fault: http_target.Script
) -> None:
    """Guards against a payment that runs twice.

    The target runs it, and its answer is truncated, malformed, unsealed, for
    another request, or has a status that cannot be passed on.
    """
    front, near, far = await two_targets(mesh)
    near.target.script = far.target.script = fault
    near.target.cut_after = far.target.cut_after = True
    reply = await mesh.ask(front, PAY)
    assert reply.status == 502
    assert len(near.target.seen) + len(far.target.seen) == 1


@FAULTS
async def test_an_idempotent_request_is_retried_at_another_target(
    mesh: fake_mesh.Mesh, fault: http_target.Script
) -> None:
    front, near, _ = await two_targets(mesh)
    near.target.script = fault
    near.target.cut_after = True
    reply = await mesh.ask(front, fake_mesh.request())
    assert (reply.status, reply.body) == (200, b"done")


async def test_a_second_answer_to_a_request_is_discarded(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a stray answer that is taken for the next request's.

    The target answers twice, and the connection is used again.
    """
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = lambda seen: (
        2 * http_target.sealed(seen, body=seen.path.encode())
    )
    for number in range(5):
        path = f"/read/{number}"
        reply = await mesh.ask(
            place, fake_mesh.request(path, request_id=f"r{number}")
        )
        assert (reply.status, reply.body) == (200, path.encode())


async def test_an_answer_without_length_ends_with_its_connection(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = lambda seen: (
        b"HTTP/1.1 200 OK\r\nCurrantcart-Request-Id: "
        + seen.request_id.encode()
        + b"\r\nCurrantcart-Server-Seal: s1\r\n\r\nall of it"
    )
    place.target.cut_after = True
    reply = await mesh.ask(place, PAY)
    assert (reply.status, reply.body) == (200, b"all of it")


async def test_an_error_answer_of_a_target_is_forwarded_unchanged(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = lambda seen: http_target.sealed(
        seen, status=500, body=b"its own words"
    )
    reply = await mesh.ask(place, fake_mesh.request())
    assert (reply.status, reply.body) == (500, b"its own words")
    assert reply.headers["currantcart-server-seal"] == "s1"


async def test_a_target_that_never_answers_costs_no_more_than_the_time_out(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    routes = [fake_mesh.route("pay", "grades", kind="upload", timeout=1.2)]
    mesh.store.operate("op/config", fake_mesh.document(2, routes))
    await mesh.settle()
    place.target.script = lambda seen: None
    started = mesh.loop.time()
    reply = await mesh.ask(place, PAY)
    assert reply.status == 504
    assert 1.1 < mesh.loop.time() - started < 1.3
    assert place.node.guard.queue.running == 0


async def test_a_payment_on_a_stream_that_is_lost_has_an_unknown_outcome(
    mesh: fake_mesh.Mesh,
) -> None:
    front, near, far = await two_targets(mesh)
    near.target.work_seconds = far.target.work_seconds = 1.0
    caller = await mesh.connect(front)
    caller.send(PAY)
    await mesh.settle(0.2)
    mesh.loop.drop_connections("a", "b")
    mesh.loop.drop_connections("a", "c")
    assert (await caller.reply()).status == 502
    assert len(near.target.seen) + len(far.target.seen) == 1


async def test_a_delayed_request_is_not_run_after_its_deadline(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a run after the caller got 504.

    The frame is delayed in a socket until after the deadline.
    """
    front, near, _ = await two_targets(mesh)
    link = near.node.peers.by_instance["a"].incoming
    assert link is not None
    held: list[bytes] = []
    receive = link.data_received
    link.data_received = held.append  # type: ignore[method-assign, assignment]
    caller = await mesh.connect(front)
    caller.send(
        fake_mesh.request("/pay/1", method="POST", body=b"fee", deadline=300)
    )
    assert (await caller.reply()).status == 504
    await mesh.settle(0.2)
    for data in held:
        receive(data)
    await mesh.settle(0.2)
    assert not near.target.seen


async def test_a_link_that_recovers_does_not_start_cancelled_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against work for callers that have disconnected.

    A link delays requests and their cancels, then delivers all at once.
    """
    front, near, far = await two_targets(mesh)
    far.node.guard.ready = False
    far.node.peers.publish()
    await mesh.settle(0.2)
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    near.target.seen.clear()
    link = near.node.peers.by_instance["a"].incoming
    assert link is not None
    held: list[bytes] = []
    receive = link.data_received
    link.data_received = held.append  # type: ignore[method-assign, assignment]
    callers = [await mesh.connect(front) for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.send(fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.3)
    for caller in callers:
        caller.leave()
    await mesh.settle(0.5)
    receive(b"".join(held))
    await mesh.settle(0.2)
    assert not near.target.seen


async def test_a_peer_that_receives_late_gets_no_new_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against requests to a peer that is cut off in one direction.

    Frames to the peer are queued while frames from it still arrive.
    """
    front, near, far = await two_targets(mesh)
    link = near.node.peers.by_instance["a"].incoming
    assert link is not None
    peer = front.node.peers.by_instance["b"]
    link.data_received = lambda data: None  # type: ignore[method-assign]
    for _ in range(5):
        await mesh.settle(0.3)
        assert peer.outgoing is not None
        peer.outgoing.received_at = link.received_at = mesh.clock.now()
    assert front.node.peers.link_to("b") is None
    reply = await mesh.ask(front, fake_mesh.request())
    assert reply.status == 200
    assert far.target.seen
    assert not near.target.seen


async def test_a_target_with_another_id_does_not_run_the_request(
    mesh: fake_mesh.Mesh,
) -> None:
    front, near, far = await two_targets(mesh)
    near.node.guard.target_id = "t-new"
    reply = await mesh.ask(front, PAY)
    assert reply.status == 200
    assert not near.target.seen
    assert far.target.seen


async def test_a_node_at_a_reused_address_replaces_its_predecessor(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a stale peer after an instance was replaced.

    An instance ends for good, and another one gets its address.
    """
    front = await mesh.add("a", service="other")
    gone = await mesh.add("b")
    await mesh.settle()
    mesh.kill(gone)
    del mesh.places["b"]
    await mesh.add("n", service="another")
    await mesh.settle(1.0)
    assert "b" not in front.node.peers.by_instance
    assert "n" in front.node.peers.by_instance


async def test_a_target_behind_a_silent_stream_does_not_look_idle(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against routing a burst to an unreachable target.

    A node is cut off without any error, and the load that it last reported
    is low.
    """
    front, near, far = await two_targets(mesh)
    link = near.node.peers.by_instance["a"].incoming
    assert link is not None
    far.target.work_seconds = 0.2
    waiting = []
    for number in range(40):
        if number == 10:
            link.data_received = lambda data: None  # type: ignore[method-assign]
        waiting.append(
            mesh.loop.create_task(
                mesh.ask(
                    front,
                    fake_mesh.request(
                        "/pay/1",
                        method="POST",
                        body=b"fee",
                        request_id=f"p{number}",
                    ),
                )
            )
        )
        await mesh.settle(0.04)
    statuses = [(await task).status for task in waiting]
    assert statuses[:9] == [200] * 9
    # 0.12 s without a frame, 0.2 s for the answer, a tick, and the time for
    # which the list of reachable targets is cached.
    assert statuses[21:] == [200] * 19
    reported = [line for line in mesh.lines if "event=peer_quiet" in line]
    assert len(reported) == 1
    assert "peer=b" in reported[0]


@pytest.mark.parametrize("service", ["other", "grades"])
async def test_an_unresponsive_target_is_used_when_it_is_the_only_one(
    mesh: fake_mesh.Mesh, service: str
) -> None:
    """Guards against refusing all requests when the only target is late.

    Lost packets delay the reply of its node, which then counts as
    unresponsive.
    """
    front = await mesh.add("a", service=service, report=False)
    await mesh.add("b")
    await mesh.settle()
    found = front.node.peers.link_to("b")
    assert found is not None
    found.probed_at = mesh.clock.now() - 300.0
    assert found.is_unresponsive(mesh.clock.now())
    front.node.peers.reachability.invalidate()
    reached = front.node.peers.reachability.reachable("grades")
    assert "b" in [target.instance for target in reached]
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
