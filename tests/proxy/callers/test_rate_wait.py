"""Requests that wait for a token: one failure each."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from currantcart.proxy import settings as proxy_settings
from currantcart.telemetry import exposition
from tests.fakes import mesh as fake_mesh

RATE, BURST = 5.0, 2.0


async def start_place(
    mesh: fake_mesh.Mesh,
    *,
    rate: float = RATE,
    rate_queue: proxy_settings.RateQueue | None = None,
) -> fake_mesh.Place:
    """Starts a node whose workspace has no tokens left."""
    mesh.store.operate(
        "op/config", fake_mesh.document(2, rate=rate, burst=BURST)
    )
    place = await mesh.add("a")
    await mesh.settle()
    use_rate_queue(place, rate_queue or proxy_settings.RateQueue(enabled=True))
    for number in range(int(BURST)):
        await mesh.ask(place, fake_mesh.request(request_id=f"b{number}"))
    place.target.seen.clear()
    return place


def use_rate_queue(
    place: fake_mesh.Place, rate_queue: proxy_settings.RateQueue
) -> None:
    place.node.use_settings(
        msgspec.structs.replace(
            place.node.context.settings, rate_queue=rate_queue
        )
    )


async def wait_for_token(
    mesh: fake_mesh.Mesh,
    place: fake_mesh.Place,
    data: bytes | None = None,
) -> fake_mesh.Caller:
    """Returns a caller whose request waits."""
    caller = await mesh.connect(place)
    caller.send(data or fake_mesh.request(request_id="waits"))
    await mesh.settle(0.01)
    assert place.node.callers.rate_wait.queue.requests == 1
    return caller


def assert_no_trace(place: fake_mesh.Place) -> None:
    """Asserts that nothing waits and no memory is held."""
    callers = place.node.callers
    assert not callers.rate_wait.exchanges
    assert callers.rate_wait.timer is None
    assert callers.rate_wait.queue.requests == 0
    assert callers.rate_wait.queue.size == 0
    assert place.node.context.held.held == 0


def admitted(place: fake_mesh.Place) -> int:
    return place.node.quotas.buckets["mill"].admitted


def logged(mesh: fake_mesh.Mesh, event: str) -> list[str]:
    return [line for line in mesh.lines if f"event={event} " in line]


async def test_a_waiting_request_runs_when_a_token_comes(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    caller = await wait_for_token(mesh, place)
    assert not place.target.seen
    assert (await caller.reply()).status == 200
    (seen,) = place.target.seen
    assert seen.headers["currantcart-tenant"] == "mill"
    assert admitted(place) == before + 1
    assert_no_trace(place)
    await mesh.settle(0.1)
    (line,) = logged(mesh, "rate_granted")
    assert "id=waits workspace=mill rank=" in line
    text = exposition.render(place.node.context.counts).decode()
    assert 'rate_decisions_total{decision="granted"} 1.0' in text
    assert 'rate_wait_seconds_count{decision="granted"} 1.0' in text
    assert "currantcart_rate_waiting 0.0" in text


async def test_headers_are_sent_once_after_the_second_check(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against header lines that both checks add."""
    place = await start_place(mesh)
    caller = await wait_for_token(mesh, place)
    exchange = next(iter(place.node.callers.rate_wait.exchanges.values()))
    await caller.reply()
    lines = b"".join(exchange.head.lines).lower()
    assert lines.count(b"currantcart-tenant:") == 1
    assert lines.count(b"currantcart-caller-service:") == 1


async def test_the_deadline_counts_from_the_arrival(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    place.target.work_seconds = 3.0
    began = mesh.clock.now()
    caller = await wait_for_token(
        mesh, place, fake_mesh.request(deadline=1_000)
    )
    assert (await caller.reply()).status == 504
    assert mesh.clock.now() - began == pytest.approx(1_000, abs=20)


async def test_a_request_that_gets_no_token_in_time_is_refused_at_once(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh, rate=0.5)
    began = mesh.clock.now()
    reply = await mesh.ask(place, fake_mesh.request(deadline=900))
    assert mesh.clock.now() - began < 20
    assert reply.status == 429
    assert reply.body == b"rate_exceeded\n"
    assert 0 < float(reply.headers["retry-after"]) <= 0.3
    assert not place.target.seen
    assert_no_trace(place)
    await mesh.settle(0.1)
    line = logged(mesh, "rate_refused")[-1]
    assert "id=r1 workspace=mill rank=" in line
    assert "waited_ms=0 tokens=" in line


async def test_a_disconnected_caller_leaves_no_trace(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    caller = await wait_for_token(
        mesh,
        place,
        fake_mesh.request("/pay/1", method="POST", body=b"x" * 1_000),
    )
    assert place.node.callers.rate_wait.queue.size == 1_000
    caller.leave()
    await mesh.settle(0.01)
    assert_no_trace(place)
    await mesh.settle(1.0)
    assert not place.target.seen
    assert admitted(place) == before
    assert len(logged(mesh, "caller_left")) == 1


async def test_pipelined_requests_go_on_after_one_that_waited(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against requests that are stuck behind one that waited."""
    place = await start_place(mesh)
    caller = await wait_for_token(mesh, place)
    caller.send(fake_mesh.request("/inner/2", request_id="r2"))
    caller.send(
        fake_mesh.request("/pay/3", method="POST", body=b"3", request_id="r3")
    )
    assert [(await caller.reply(n)).status for n in (1, 2, 3)] == [200] * 3
    paths = [seen.path for seen in place.target.seen]
    assert paths == ["/inner/2", "/read/1", "/pay/3"]
    assert_no_trace(place)


async def test_a_refused_request_lets_those_behind_it_go_on(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    caller = await wait_for_token(mesh, place)
    caller.send(fake_mesh.request("/inner/2", request_id="r2"))
    mesh.store.operate(
        "op/config", fake_mesh.document(3, rate=0.1, burst=BURST)
    )
    assert (await caller.reply(1)).status == 429
    assert (await caller.reply(2)).status == 200
    assert_no_trace(place)


async def test_a_shutdown_rejects_what_waits(mesh: fake_mesh.Mesh) -> None:
    """Guards against requests that are cut off when the process ends."""
    place = await start_place(mesh, rate=0.001)
    draining = mesh.loop.create_task(place.node.drain())
    await mesh.settle(2.2)
    place.node.context.draining = False
    place.node.quotas.configure({"mill": (4.0, BURST)}, mesh.clock.now())
    caller = await wait_for_token(mesh, place)
    place.node.context.draining = True
    reply = await caller.reply()
    assert reply.status == 503
    assert reply.body == b"draining\n"
    assert float(reply.headers["retry-after"]) > 0
    assert not place.target.seen
    assert await draining == 0
    assert_no_trace(place)


async def test_a_draining_node_holds_no_new_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    place.node.context.draining = True
    reply = await mesh.ask(place, fake_mesh.request())
    assert reply.status == 429
    assert_no_trace(place)


async def test_a_killed_node_has_taken_no_token_for_what_waited(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    caller = await wait_for_token(mesh, place)
    mesh.kill(place)
    assert (await caller.reply()).status == 0
    assert admitted(place) == before
    assert not place.target.seen


async def test_a_withdrawn_key_is_rejected_at_the_grant(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    caller = await wait_for_token(mesh, place)
    mesh.store.operate(
        "op/config",
        fake_mesh.document(3, keys=("key-two",), rate=RATE, burst=BURST),
    )
    reply = await caller.reply()
    assert reply.status == 401
    assert not place.target.seen
    assert admitted(place) == before
    assert_no_trace(place)


async def test_a_stale_configuration_rejects_at_the_grant(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a withdrawn key that a partitioned node still accepts."""
    place = await start_place(mesh)
    caller = await wait_for_token(mesh, place)
    before = admitted(place)
    place.node.callers.intake.revoke_ms = 0.0
    reply = await caller.reply()
    assert reply.status == 503
    assert reply.body == b"config_stale\n"
    assert not place.target.seen
    assert admitted(place) == before
    assert_no_trace(place)


async def test_a_raised_limit_grants_at_once(mesh: fake_mesh.Mesh) -> None:
    place = await start_place(mesh, rate=4.0)
    caller = await wait_for_token(mesh, place)
    began = mesh.clock.now()
    mesh.store.operate(
        "op/config", fake_mesh.document(3, rate=1_000.0, burst=BURST)
    )
    assert (await caller.reply()).status == 200
    assert mesh.clock.now() - began < 100


async def test_a_removed_limit_grants_at_once(mesh: fake_mesh.Mesh) -> None:
    place = await start_place(mesh, rate=4.0)
    caller = await wait_for_token(mesh, place)
    mesh.store.operate("op/config", fake_mesh.document(3))
    assert (await caller.reply()).status == 200
    assert_no_trace(place)


async def test_requests_beyond_the_bounds_are_refused(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(
        mesh,
        rate_queue=proxy_settings.RateQueue(
            enabled=True, requests_max=1, bytes_max=100
        ),
    )
    await wait_for_token(mesh, place)
    reply = await mesh.ask(place, fake_mesh.request(request_id="r2"))
    assert reply.status == 429


async def test_a_body_beyond_the_bound_is_not_held(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(
        mesh, rate_queue=proxy_settings.RateQueue(enabled=True, bytes_max=100)
    )
    data = fake_mesh.request("/pay/1", method="POST", body=b"x" * 101)
    assert (await mesh.ask(place, data)).status == 429
    assert_no_trace(place)


async def test_a_paused_process_does_not_run_what_is_past_its_deadline(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    caller = await wait_for_token(mesh, place)
    rate_wait = place.node.callers.rate_wait
    (waiter,) = rate_wait.exchanges
    waiter.grant_by = waiter.expires_at = mesh.clock.now() - 1.0
    rate_wait.sweep()
    assert (await caller.reply()).status == 504
    assert not place.target.seen
    assert_no_trace(place)


async def test_a_returned_token_wakes_a_waiting_request(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh, rate=4.0)
    caller = await wait_for_token(mesh, place)
    began = mesh.clock.now()
    place.node.quotas.give_back("mill")
    assert (await caller.reply()).status == 200
    assert mesh.clock.now() - began < 50


async def test_a_request_that_did_not_run_returns_its_token(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    caller = await wait_for_token(mesh, place)
    place.node.guard.refuse_waiting("domain_evacuated")
    await mesh.deregister(place)
    assert (await caller.reply()).status == 503
    assert admitted(place) == before


async def test_calls_of_targets_take_no_token(mesh: fake_mesh.Mesh) -> None:
    place = await start_place(mesh)
    before = admitted(place)
    await wait_for_token(mesh, place)
    assert (await mesh.ask(place, fake_mesh.request("/inner/1"))).status == 200
    assert admitted(place) == before


async def test_a_disabled_queue_refuses_as_before(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await start_place(
        mesh, rate_queue=proxy_settings.RateQueue(enabled=False)
    )
    reply = await mesh.ask(place, fake_mesh.request())
    assert reply.status == 429
    assert 0.3 <= float(reply.headers["retry-after"]) <= 0.5
    assert not place.node.callers.rate_wait.queue.lines
    assert not logged(mesh, "rate_refused")


async def test_a_workspace_with_tokens_is_not_counted_by_rank(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against costs for workspaces that are within their limits."""
    mesh.store.operate(
        "op/config", fake_mesh.document(2, rate=100.0, burst=100.0)
    )
    place = await mesh.add("a")
    await mesh.settle()
    use_rate_queue(place, proxy_settings.RateQueue(enabled=True))
    assert (await mesh.ask(place, fake_mesh.request())).status == 200
    assert not place.node.callers.rate_wait.queue.lines
    assert not place.node.callers.rate_wait.times.by_route


async def test_granted_request_whose_check_fails_is_answered(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that waits for ever after an error."""
    place = await start_place(mesh)
    mesh.loop.set_exception_handler(lambda loop, details: None)
    rate_wait = place.node.callers.rate_wait
    check = rate_wait.check

    def fail_once(*args: Any) -> Any:
        monkeypatch.setattr(rate_wait, "check", check)
        raise ValueError("odd value")

    monkeypatch.setattr(rate_wait, "check", fail_once)
    first = await wait_for_token(mesh, place)
    async with asyncio.timeout(20.0):
        assert (await first.reply()).status == 503
    second = await wait_for_token(
        mesh, place, fake_mesh.request(request_id="waits-too")
    )
    async with asyncio.timeout(20.0):
        assert (await second.reply()).status == 200
    first.leave()
    second.leave()
    await mesh.settle(0.1)
    assert_no_trace(place)
