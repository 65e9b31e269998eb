"""Each promise under the failure that threatens it, and broken on purpose.

Each scenario returns the violations that its checker finds. It runs twice:
on the product, where there must be none, and with the rule that keeps the
promise broken, where the checker must find some.
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
Break = Callable[[pytest.MonkeyPatch], None]


async def late_answers(world: World) -> list[str]:
    """A target answers after its caller gave up.

    If the connection were used again, the late answer would be taken for the
    next call's: a guest reads another guest's booking.
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

    Whether it ran is unknown then. A caller that is told "not run" pays the
    fee again.
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


def always_say_not_run(patch: pytest.MonkeyPatch) -> None:
    refusal = incoming.refusal

    def lying(*arguments: Any, **options: Any) -> Any:
        return refusal(*arguments, **{**options, "not_run": True})

    patch.setattr(incoming, "refusal", lying)


async def failing_deep_service(world: World) -> list[str]:
    """The deepest of three services fails every call with 502.

    Each hop that retries on its own multiplies the load: one payment becomes
    27 calls to a service that is already in trouble.
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


def never_use_up_allowance(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(allowance.Allowance, "lend", lambda self: self.remaining)
    patch.setattr(
        allowance.Allowance, "give_back", lambda self, unused, lent: None
    )


async def flood_of_browsing(world: World) -> list[str]:
    """A workspace browses at ten times what the target can serve, and pays.

    If payments waited in the same line, a maker's fee would time out behind
    another's browsing.
    """
    await world.start("payments-1", "payments", slots=4, work_ms=40)
    await world.start("grades-1", "grades")
    await world.settle()

    async def paced(path: str, count: int, gap: float, key: str) -> Any:
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
        paced("/payments/list", 2_000, 0.001, "cck_test"),
        paced("/payments/fees", 80, 0.025, "cck_test"),
    )
    assert any(reply.code == "overloaded" for reply in browsing)
    return checkers.important_shed_last(
        histories.asked("payments", paying, important=True)
    )


def ignore_importance(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        graph_model,
        "priority",
        lambda importance, workspace_importance, depth: 0,
    )


async def key_on_the_way(world: World) -> list[str]:
    """A caller shows its key; a target that saw it could use it elsewhere."""
    await world.start("grades-1", "grades")
    await world.start("permits-1", "permits", calls=("/grades/a",))
    await world.settle()
    reply = await world.call("grades-1", "/permits/status")
    assert reply.whole
    return checkers.keys_stayed_inside(
        histories.ran(world, "permits", "grades")
    )


def pass_authorization_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(headers, "FROM_CALLER_STRIPPED", headers.HOP_BY_HOP)


async def traffic_over_a_leave(world: World) -> tuple[list[Any], float]:
    """Steady traffic while one of two instances is told to stop."""
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
    """An instance leaves while others still send it calls.

    Work that it gets now is cut when it is gone, and a lot of paper bags
    stands uncertified at the market gate.
    """
    replies, left_at = await traffic_over_a_leave(world)
    assert [reply.code for reply in replies if not reply.whole] == []
    target = world.places["grades-1"].target
    ran = [
        checkers.Ran(entry["id"], "grades", at=entry["at"])
        for entry in target.history
    ]
    return checkers.nothing_after(ran, left_at=left_at + 0.01)


def leave_without_a_word(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(gossip.Gossip, "announce", lambda self: None)
    patch.setattr(arrival, "precheck", arrival.check_key)


async def upload_over_a_shutdown(world: World) -> list[str]:
    """A slow upload is under way when its target's node is told to stop."""
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


def do_not_wait(patch: pytest.MonkeyPatch) -> None:
    async def at_once(node: app.Node) -> None:
        del node

    patch.setattr(drain, "finish_calls", at_once)


CASES: list[tuple[Scenario, Break]] = [
    (late_answers, reuse_any_connection),
    (cut_target, always_say_not_run),
    (failing_deep_service, never_use_up_allowance),
    (flood_of_browsing, ignore_importance),
    (key_on_the_way, pass_authorization_on),
    (leaving_target, leave_without_a_word),
    (upload_over_a_shutdown, do_not_wait),
]
NAMES = [scenario.__name__ for scenario, _ in CASES]


@pytest.mark.parametrize("scenario", [case[0] for case in CASES], ids=NAMES)
async def test_promise_holds(world: World, scenario: Scenario) -> None:
    assert await scenario(world) == []


@pytest.mark.parametrize(("scenario", "broken"), CASES, ids=NAMES)
async def test_checker_sees_the_broken_rule(
    world: World,
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    broken: Break,
) -> None:
    broken(monkeypatch)
    assert await scenario(world) != []
