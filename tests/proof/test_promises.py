"""Each guarantee under the failure that threatens it, and with its rule off.

Each scenario returns the violations that its checker finds. It runs twice: on
the unmodified code, where there must be none, and with the rule behind the
guarantee disabled, where the checker must find some. The second run shows that
the checker can fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from bench import checkers
from currantcart.call import allowance
from currantcart.graph import model as graph_model
from currantcart.http1 import client, headers
from currantcart.node import app, arrival, drain, gossip, incoming
from tests.fakes.world import World
from tests.proof import histories

Scenario = Callable[[World], Awaitable[list[str]]]
BreakRule = Callable[[pytest.MonkeyPatch], None]


async def late_answers(world: World) -> list[str]:
    """A target answers after its caller has given up.

    If the connection were reused, the late answer would be taken for the answer
    to the next call: one guest would read another guest's booking.
    """
    place = await world.start("grades-1", "grades", work_ms=300)
    await world.settle()
    early = [
        await world.call("grades-1", "/grades/a", Currantcart_Timeout_Ms="100")
        for _ in range(3)
    ]
    place.target.behaviour.work_ms = 250
    later = [await world.call("grades-1", "/grades/a") for _ in range(3)]
    assert [reply.code for reply in early] == ["deadline_exceeded"] * 3
    return checkers.answers_are_own(histories.asked("grades", early + later))


def reuse_any_connection(patch: pytest.MonkeyPatch) -> None:
    release = client.TargetPool.release
    patch.setattr(
        client.TargetPool,
        "release",
        lambda pool, connection, clean: release(pool, connection, clean=True),
    )
    patch.setattr(client.TargetConnection, "usable", True)


async def cut_target(world: World) -> list[str]:
    """The connection to a target breaks while it runs a call.

    The outcome is unknown then. A caller that receives "not run" would pay the
    fee a second time.
    """
    await world.start("payments-1", "payments", work_ms=100)
    await world.settle()
    calls = [
        asyncio.create_task(
            world.call("payments-1", "/payments/fees", method="POST")
        )
        for _ in range(4)
    ]
    await asyncio.sleep(0.05)
    world.loop.drop_connections("payments-1", "target-payments-1")
    replies = await asyncio.gather(*calls)
    ran = histories.ran(world, "payments")
    assert len(ran) >= 4
    return [
        *checkers.not_run_is_true(histories.asked("payments", replies), ran),
        *checkers.runs_are_bounded(ran, most=1),
    ]


def always_report_not_run(patch: pytest.MonkeyPatch) -> None:
    refusal = incoming.refusal

    def refuse_as_not_run(*arguments: Any, **options: Any) -> Any:
        return refusal(*arguments, **{**options, "not_run": True})

    patch.setattr(incoming, "refusal", refuse_as_not_run)


async def failing_deep_service(world: World) -> list[str]:
    """The deepest of three services fails every call with 502.

    If each hop retried independently, the attempts would multiply: one payment
    would become 27 calls to a service that is already failing.
    """
    for name in ("grades-1", "grades-2"):
        place = await world.start(name, "grades")
        place.target.behaviour.fail_ratio = 1.0
        place.target.behaviour.fail_status = 502
    await world.start("permits-1", "permits", calls=("/grades/a",))
    await world.start("payments-1", "payments", calls=("/permits/status",))
    await world.settle()
    for _ in range(5):
        await world.call("permits-1", "/payments/list")
    return checkers.runs_are_bounded(
        histories.ran(world, "grades", "permits"), most=3
    )


def keep_allowance_unlimited(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(allowance.Allowance, "lend", lambda self: self.remaining)
    patch.setattr(
        allowance.Allowance, "give_back", lambda self, unused, lent: None
    )


async def flood_of_browsing(world: World) -> list[str]:
    """A workspace browses at ten times the capacity of the target, and pays.

    If payments waited in the same queue without priority, a maker's fee would
    time out behind the browsing.
    """
    await world.start("payments-1", "payments", slots=4, work_ms=40)
    await world.start("grades-1", "grades")
    await world.settle()

    async def send_paced(path: str, count: int, gap: float, key: str) -> Any:
        calls = []
        for _ in range(count):
            calls.append(
                asyncio.create_task(
                    world.call("grades-1", path, method="POST", key=key)
                )
            )
            await asyncio.sleep(gap)
        return await asyncio.gather(*calls)

    browsing, paying = await asyncio.gather(
        send_paced("/payments/list", 2_000, 0.001, "cck_test"),
        send_paced("/payments/fees", 80, 0.025, "cck_test"),
    )
    assert any(reply.code == "overloaded" for reply in browsing)
    return checkers.important_shed_last(
        histories.asked("payments", paying, important=True)
    )


def ignore_priorities(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        graph_model,
        "priority",
        lambda importance, workspace_importance, depth: 0,
    )


async def key_on_the_way(world: World) -> list[str]:
    """A caller sends its key with a request.

    If the key were forwarded, a target could use it for requests of its own.
    """
    await world.start("grades-1", "grades")
    await world.start("permits-1", "permits", calls=("/grades/a",))
    await world.settle()
    reply = await world.call("grades-1", "/permits/status")
    assert reply.whole
    return checkers.keys_stayed_inside(
        histories.ran(world, "permits", "grades")
    )


def forward_authorization(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(headers, "FROM_CALLER_STRIPPED", headers.HOP_BY_HOP)


async def send_traffic_during_leave(world: World) -> tuple[list[Any], float]:
    """Sends steady traffic while one of two instances stops.

    Returns:
      The replies, and the time at which the instance began to leave.
    """
    leaving = await world.start("grades-1", "grades", work_ms=50)
    await world.start("grades-2", "grades", work_ms=50)
    await world.start("permits-1", "permits")
    await world.settle()
    left_at = world.loop.time() + 0.5

    async def leave() -> None:
        await asyncio.sleep(0.5)
        leaving.node.request_stop()
        await drain.drain(leaving.node)
        await leaving.node.stop()

    async def send() -> list[Any]:
        calls = []
        for _ in range(300):
            calls.append(
                asyncio.create_task(world.call("permits-1", "/grades/a"))
            )
            await asyncio.sleep(0.01)
        return await asyncio.gather(*calls)

    _, replies = await asyncio.gather(leave(), send())
    return replies, left_at


async def leaving_target(world: World) -> list[str]:
    """An instance leaves while other nodes still send it calls.

    Calls that it still receives would be aborted when it stops, and a batch of
    paper bags would stay uncertified.
    """
    replies, left_at = await send_traffic_during_leave(world)
    assert [reply.code for reply in replies if not reply.whole] == []
    target = world.places["grades-1"].target
    ran = [
        checkers.Ran(entry["id"], "grades", at=entry["at"])
        for entry in target.history
    ]
    return checkers.nothing_after(ran, left_at=left_at + 0.01)


def leave_without_announcement(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(gossip.Gossip, "announce", lambda self: None)
    patch.setattr(arrival, "precheck", arrival.check_view)


async def upload_over_a_shutdown(world: World) -> list[str]:
    """A slow upload is in progress when the node of its target stops.

    If the node did not wait for it, the upload would be aborted.
    """
    place = await world.start("grades-1", "grades")
    await world.settle()
    chunks = [(0.2, b"x" * 50_000) for _ in range(20)]
    upload = asyncio.create_task(
        world.call("grades-1", "/grades/a", method="POST", chunks=chunks)
    )
    await asyncio.sleep(1.0)
    place.node.request_stop()
    await drain.drain(place.node)
    await place.node.stop()
    reply = await upload
    return [] if reply.whole else [f"the upload ended with {reply.code}"]


def stop_without_waiting(patch: pytest.MonkeyPatch) -> None:
    async def return_at_once(node: app.Node) -> None:
        del node

    patch.setattr(drain, "finish_calls", return_at_once)


CASES: list[tuple[Scenario, BreakRule]] = [
    (late_answers, reuse_any_connection),
    (cut_target, always_report_not_run),
    (failing_deep_service, keep_allowance_unlimited),
    (flood_of_browsing, ignore_priorities),
    (key_on_the_way, forward_authorization),
    (leaving_target, leave_without_announcement),
    (upload_over_a_shutdown, stop_without_waiting),
]
NAMES = [scenario.__name__ for scenario, _ in CASES]


@pytest.mark.parametrize("scenario", [case[0] for case in CASES], ids=NAMES)
async def test_promise_holds(world: World, scenario: Scenario) -> None:
    assert await scenario(world) == []


@pytest.mark.parametrize(("scenario", "break_rule"), CASES, ids=NAMES)
async def test_checker_sees_the_broken_rule(
    world: World,
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    break_rule: BreakRule,
) -> None:
    break_rule(monkeypatch)
    assert await scenario(world) != []
