"""Generated histories: calls and failures at any time, also concurrent ones.

Guards against failures that break a guarantee only together or at a certain
moment: a connection that is cut while a retry is in flight, or an instance that
leaves while another one fails. Each history runs on real nodes in memory, and
the checkers examine what callers and targets recorded. The last tests break a
rule on purpose and require that the checkers find it.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import checkers
from currantcart import errors
from currantcart.http1 import client
from currantcart.node import dispatch, drain
from tests.fakes import loop as fake_loop
from tests.fakes.world import Reply, World
from tests.proof import histories

LAYOUT = (
    ("grades-1", "grades", ()),
    ("grades-2", "grades", ()),
    ("permits-1", "permits", ("/grades/a",)),
    ("payments-1", "payments", ("/permits/status",)),
)
NAMES = tuple(name for name, _, _ in LAYOUT)
PATHS = (
    ("GET", "/grades/a"),
    ("GET", "/permits/status"),
    ("POST", "/payments/fees"),
    ("GET", "/payments/list"),
)
FAULTS = ("cut target", "cut node", "slow", "fail", "leave", "kill target")
RETRIES = 2
REPLY_SECONDS_MAX = 10.5
SETTLE_SECONDS = 12.0


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that a history makes.

    Attributes:
      at: Seconds after which it is made.
      via: Index in `NAMES` of the node that it is sent to.
      path: Index in `PATHS`.
      timeout_ms: Time-out that it carries.
      streamed: Whether a POST streams its body.
    """

    at: float
    via: int
    path: int
    timeout_ms: int
    streamed: bool


@dataclasses.dataclass(frozen=True)
class Fault:
    """A failure that a history injects.

    Attributes:
      at: Seconds after which it is injected.
      kind: One of `FAULTS`.
      where: Index in `NAMES` of the node that it affects.
    """

    at: float
    kind: str
    where: int


CALLS = st.builds(
    Call,
    at=st.floats(0, 2),
    via=st.integers(0, len(NAMES) - 1),
    path=st.integers(0, len(PATHS) - 1),
    timeout_ms=st.sampled_from([30, 100, 1_000, 10_000]),
    streamed=st.booleans(),
)
FAULT_LIST = st.lists(
    st.builds(
        Fault,
        at=st.floats(0, 2),
        kind=st.sampled_from(FAULTS),
        where=st.integers(0, len(NAMES) - 1),
    ),
    max_size=3,
)


class History:
    """One history while it runs.

    Attributes:
      world: Nodes that it runs on.
      replies: Calls that have ended, with their replies.
      leaving: Tasks that drain the nodes that leave.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.replies: list[tuple[Call, Reply]] = []
        self.leaving: set[asyncio.Task[int]] = set()

    async def make_call(self, call: Call) -> None:
        await asyncio.sleep(call.at)
        method, path = PATHS[call.path]
        chunks = [(0.02, b"x" * 40_000)] * 3
        streamed = call.streamed and method == "POST"
        reply = await self.world.call(
            NAMES[call.via],
            path,
            method=method,
            chunks=chunks if streamed else None,
            Currantcart_Timeout_Ms=str(call.timeout_ms),
        )
        self.replies.append((call, reply))

    async def inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        name = NAMES[fault.where]
        place = self.world.places[name]
        behaviour = place.target.behaviour
        if fault.kind == "cut target":
            self.world.loop.drop_connections(name, f"target-{name}")
        elif fault.kind == "cut node":
            other = NAMES[(fault.where + 1) % len(NAMES)]
            self.world.loop.drop_connections(name, other)
        elif fault.kind == "slow":
            behaviour.work_ms = 400
        elif fault.kind == "fail":
            behaviour.fail_ratio, behaviour.fail_status = 0.7, 502
        elif fault.kind == "leave":
            place.node.request_stop()
            self.leaving.add(asyncio.create_task(drain.drain(place.node)))
        else:
            self.world.loop.kill(f"target-{name}")

    def violations(self) -> list[str]:
        found: list[str] = []
        services = ("grades", "permits", "payments")
        ran = histories.ran(self.world, *services)
        for call, reply in self.replies:
            service = PATHS[call.path][1].split("/")[1]
            asked = histories.asked(service, [reply])
            found += checkers.answers_are_own(asked)
            found += checkers.not_run_is_true(asked, ran)
            found += self.check_reply(call, reply)
        found += checkers.runs_are_bounded(ran, most=1 + RETRIES)
        found += checkers.keys_stayed_inside(ran)
        fees = {
            reply.request_id
            for call, reply in self.replies
            if PATHS[call.path][1] == "/payments/fees"
        }
        found += checkers.runs_are_bounded(
            [
                r
                for r in ran
                if r.service == "payments" and r.request_id in fees
            ],
            most=1,
        )
        for name in NAMES:
            found += self.leftovers(name)
        return found

    def check_reply(self, call: Call, reply: Reply) -> list[str]:
        left = self.world.places[NAMES[call.via]].node.context.draining
        if reply.status == 0 and not left:
            return [f"{reply.request_id} got no answer: {reply.code}"]
        if reply.seconds > REPLY_SECONDS_MAX:
            return [f"{reply.request_id} took {reply.seconds} s"]
        known = {"", *errors.Code}
        if reply.status and reply.code not in known:
            return [f"{reply.request_id} got the code {reply.code}"]
        return []

    def leftovers(self, name: str) -> list[str]:
        """Returns what a node has not released after all calls have ended."""
        node = self.world.places[name].node
        held = {
            "running": node.guard.admission.running,
            "waiting": node.guard.admission.queue.size,
            "leased": node.guard.pool.leased,
            "active": len(node.context.active.calls),
            "tasks": len(node.guard.running),
            "in flight": sum(
                c.in_flight for c in node.context.router.candidates.values()
            ),
            "calls": sum(len(s.calls) for s in node.links.streams.values()),
        }
        return [f"{name} holds {n} {what}" for what, n in held.items() if n]


def run_history(calls: Sequence[Call], faults: Sequence[Fault]) -> list[str]:
    """Runs one history on new nodes and returns the violations."""

    async def run() -> list[str]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, fake_loop.MemoryLoop)
        world = World(loop)
        for name, service, below in LAYOUT:
            await world.start(name, service, calls=below, drain_ms=5_000)
        await world.settle()
        history = History(world)
        await asyncio.gather(
            *(history.make_call(call) for call in calls),
            *(history.inject(fault) for fault in faults),
        )
        await asyncio.sleep(SETTLE_SECONDS)
        found = history.violations()
        await world.stop()
        return found

    with asyncio.Runner(loop_factory=fake_loop.MemoryLoop) as runner:
        return runner.run(run())


@given(st.lists(CALLS, min_size=1, max_size=12), FAULT_LIST)
def test_no_history_breaks_a_promise(
    calls: list[Call], faults: list[Fault]
) -> None:
    assert run_history(calls, faults) == []


BUSY_CALLS = [Call(0.1 * n, 2, 2, 10_000, streamed=False) for n in range(10)]
CUT_CONNECTIONS = [Fault(0.111, "cut target", 3), Fault(0.5, "cut target", 2)]


def test_checker_sees_a_false_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """A call that reached a target is reported as not run.

    Its caller would send it again, and it would run twice.
    """
    original = dispatch.Dispatch.fail

    def fail_as_not_run(
        self: dispatch.Dispatch, code: errors.Code, detail: str
    ) -> None:
        self.handed_over = False
        original(self, code, detail)

    monkeypatch.setattr(dispatch.Dispatch, "fail", fail_as_not_run)
    assert run_history(BUSY_CALLS, CUT_CONNECTIONS) != []


def test_checker_sees_a_leaked_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection to a target is never returned to its pool.

    The pool would run out of connections after a while.
    """
    monkeypatch.setattr(
        client.TargetPool, "release", lambda pool, connection, clean: None
    )
    assert run_history(BUSY_CALLS, []) != []
