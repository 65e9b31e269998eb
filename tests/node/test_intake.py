"""Call contexts, the service graph and deadlines at the ingress node."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.fakes.world import World


@pytest.fixture
async def fleet(world: World) -> World:
    await world.start("grades-1", "grades")
    await world.start("permits-1", "permits", calls=("/grades/a",))
    await world.start("payments-1", "payments", calls=("/permits/status",))
    await world.settle()
    return world


async def context_of_running_call(fleet: World) -> tuple[str, Any]:
    """Starts a long call at permits-1; returns its context and its task."""
    node = fleet.places["permits-1"].node
    fleet.places["permits-1"].target.behaviour.work_ms = 1_000
    seen: list[str] = []
    begin = node.context.active.begin

    def spy(call: Any) -> str:
        seen.append(begin(call))
        return seen[-1]

    node.context.active.begin = spy  # type: ignore[method-assign]
    task = asyncio.create_task(fleet.call("permits-1", "/permits/status"))
    await asyncio.sleep(0.1)
    return seen[0], task


async def test_context_is_valid_at_its_node_while_its_call_runs(
    fleet: World,
) -> None:
    token, task = await context_of_running_call(fleet)
    here = await fleet.call("permits-1", "/grades/a", key=None, context=token)
    assert here.whole
    elsewhere = await fleet.call(
        "grades-1", "/grades/a", key=None, context=token
    )
    assert elsewhere.code == "context_invalid"
    await task
    later = await fleet.call("permits-1", "/grades/a", key=None, context=token)
    assert later.code == "context_invalid"


async def test_target_may_call_only_what_its_service_depends_on(
    fleet: World,
) -> None:
    token, _ = await context_of_running_call(fleet)
    reply = await fleet.call(
        "permits-1", "/payments/fees", key=None, context=token
    )
    assert (reply.status, reply.code) == (403, "not_a_dependency")


async def test_child_never_outlives_its_parent(fleet: World) -> None:
    """A parent with 200 ms left calls a service that takes a second."""
    fleet.places["grades-1"].target.behaviour.work_ms = 1_000
    reply = await fleet.call(
        "grades-1", "/permits/status", Currantcart_Timeout_Ms="200"
    )
    assert reply.code == "deadline_exceeded"
    assert reply.seconds < 0.25
    await asyncio.sleep(0.1)
    assert fleet.places["grades-1"].node.guard.admission.running == 0


async def test_target_that_drops_its_context_is_refused(fleet: World) -> None:
    reply = await fleet.call("permits-1", "/grades/a", key=None)
    assert (reply.status, reply.code) == (401, "key_missing")


async def test_dropped_call_is_refused_at_once_with_a_retry_delay(
    fleet: World,
) -> None:
    """A target is saturated for longer than its callers can wait.

    They must be refused at once, with a Retry-After, rather than at their
    deadlines.
    """
    target = fleet.places["grades-1"].target
    target.behaviour.work_ms = 2_000
    await fleet.call("grades-1", "/grades/a")
    replies = await asyncio.gather(
        *(
            fleet.call("grades-1", "/grades/a", Currantcart_Timeout_Ms="3000")
            for _ in range(60)
        )
    )
    refused = [reply for reply in replies if reply.code == "overloaded"]
    assert refused
    # Queued calls are dropped when their remaining time is the service time.
    given_up_at = 3.0 - 2.0
    assert all(reply.seconds < given_up_at + 0.05 for reply in refused)
    at_once = [reply for reply in refused if reply.seconds < 0.05]
    assert len(at_once) > len(refused) // 2
    assert all(int(reply.headers["Retry-After"]) >= 1 for reply in refused)
    assert all(reply.fields["not_run"] for reply in refused)
