"""Decisions of a guard on several requests whose replies end other requests."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable
from typing import cast

import msgspec
import pytest

from bench.standins import http_target
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import frames
from currantcart.proxy.targets import guard, job
from currantcart.routing import picker
from tests.fakes import mesh as fake_mesh

DEADLINE_MS = 20_000.0
SLOTS = 3
REQUESTS = 24
SEEDS = 40


@dataclasses.dataclass
class Reply:
    """Reply of one request, which calls a function at its end.

    Attributes:
      ends: How the request ended; never more than one.
      on_end: Called with the request's id at its end.
    """

    name: str
    on_end: Callable[[str], None] = lambda _: None
    ends: list[str] = dataclasses.field(default_factory=list)

    def end(self, how: str) -> None:
        self.ends.append(how)
        self.on_end(self.name)

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        del status, head, body
        self.end("answered")

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        del code, retry_after_ms
        self.end("refused_at_target" if at_target else "refused")

    def lost(self, code: str, *, end_number: int = 0) -> None:
        del code, end_number
        self.end("lost")


class Driver:
    """A guard with its target, and the requests that were submitted to it."""

    def __init__(self, mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> None:
        self.mesh = mesh
        self.place = place
        self.guard: guard.Guard = place.node.guard
        self.replies: dict[str, Reply] = {}
        self.jobs: dict[str, job.Job] = {}
        context = place.node.context
        context.settings = msgspec.structs.replace(
            context.settings, hand_back=proxy_settings.HandBack(moves_max=2)
        )
        other = picker.Target(instance="z", failure_domain="far", service="s")
        other.ready, other.limit, other.reported_at = True, 500, math.inf
        self.guard.hand_backs.targets = lambda: [other]

    def submit(
        self, name: str, on_end: Callable[[str], None] = lambda _: None
    ) -> None:
        now = self.place.node.context.now
        opening = frames.Open(
            0, now, DEADLINE_MS, name, self.guard.target_id, 5, DEADLINE_MS,
            "POST", "/pay/1",
            f"Currantcart-Request-Id: {name}\r\n".encode(), b"fee", 0,
        )  # fmt: skip
        reply = self.replies[name] = Reply(name, on_end)
        self.jobs[name] = self.guard.submit(
            opening,
            expires_at=now + DEADLINE_MS,
            reply=cast(job.ReplyTo, reply),
        )

    def cancel(self, name: str) -> None:
        if name in self.jobs:
            self.guard.cancel(self.jobs[name])

    async def open_connection(self) -> None:
        """Opens an idle connection: the target gets at once what starts."""
        connections = self.guard.exchange.pool
        connections.dial(
            lambda opened: connections.give_back(opened, math.inf),
            lambda _: None,
        )
        await self.mesh.settle(0.005)

    def ran(self) -> list[str]:
        return [seen.request_id for seen in self.place.target.seen]

    def check(self) -> None:
        """Checks that no request that was refused as not run has run."""
        for name, reply in self.replies.items():
            assert len(reply.ends) <= 1, name
            if reply.ends == ["refused"]:
                assert name not in self.ran()
        assert len(self.ran()) == len(set(self.ran()))


@pytest.fixture
async def driver(mesh: fake_mesh.Mesh) -> Driver:
    place = await mesh.add("a", slots=SLOTS + 1)
    await mesh.settle()
    found = Driver(mesh, place)
    assert found.guard.queue.slots == SLOTS
    return found


async def test_a_request_that_a_hand_back_lets_start_is_not_handed_back(
    driver: Driver,
) -> None:
    """Guards against a payment that runs and is answered "not run"."""
    driver.place.target.work_seconds = 2.0
    for number in range(SLOTS):
        driver.submit(f"running-{number}")
    await driver.mesh.settle(0.005)
    await driver.open_connection()
    driver.submit("payment")
    driver.submit("read", lambda _: driver.cancel("running-0"))
    driver.place.node.context.leaving = True
    await driver.mesh.settle(1.0)
    assert driver.replies["read"].ends == ["refused"]
    assert driver.replies["payment"].ends == ["refused"]
    driver.check()
    assert driver.guard.queue.running == SLOTS - 1


async def test_a_refusal_needs_a_request_that_has_not_left(
    driver: Driver,
) -> None:
    """Guards against "not run" for a request that the target was handed."""
    driver.place.target.work_seconds = 0.2
    driver.submit("payment")
    await driver.mesh.settle(0.05)
    driver.guard.refuse(driver.jobs["payment"], "late")
    assert not driver.replies["payment"].ends
    await driver.mesh.settle(0.5)
    assert driver.replies["payment"].ends == ["answered"]


async def test_a_released_slot_is_given_away_after_the_whole_cancel(
    driver: Driver,
) -> None:
    """Guards against runs for a connection whose requests are all cancelled."""
    driver.place.target.work_seconds = 0.2
    names = [f"p{number}" for number in range(SLOTS * 2)]
    for name in names:
        driver.submit(name)
    await driver.open_connection()
    for name in names:
        driver.cancel(name)
    await driver.mesh.settle(0.5)
    assert sorted(driver.ran()) == names[:SLOTS]
    assert driver.guard.queue.running == driver.guard.queue.waiting == 0


async def test_a_sweep_that_queues_requests_again_sets_one_timer(
    driver: Driver,
) -> None:
    """Guards against timers that add up, each of which sweeps the queue."""
    driver.place.target.work_seconds = 5.0
    for number in range(SLOTS):
        driver.submit(f"running-{number}")
    driver.submit("late", lambda _: driver.submit("next"))
    driver.guard.queue.heap[0][2].wait_until = 0.0
    sweeps = 0
    sweep = driver.guard.sweep

    def counted() -> None:
        nonlocal sweeps
        sweeps += 1
        sweep()

    driver.guard.sweep = counted  # type: ignore[method-assign]
    await driver.mesh.settle(guard.SWEEP_SECONDS * 10.5)
    assert driver.replies["late"].ends == ["refused"]
    assert driver.guard.queue.waiting == 1
    # The first sweep was scheduled before it was counted.
    assert sweeps == 9


class Disorder:
    """Ends of requests that cancel, submit and refuse others at random."""

    def __init__(self, driver: Driver, rng: random.Random) -> None:
        self.driver = driver
        self.rng = rng
        self.submitted = 0

    def submit(self) -> None:
        if self.submitted < REQUESTS:
            self.submitted += 1
            self.driver.submit(f"p{self.submitted}", self.react)

    def react(self, name: str) -> None:
        del name
        for _ in range(self.rng.randrange(3)):
            self.act()

    def act(self) -> None:
        kind = self.rng.randrange(6)
        local = self.driver.guard
        if kind < 2:
            self.driver.cancel(f"p{self.rng.randrange(REQUESTS)}")
        elif kind == 2:
            self.submit()
        elif kind == 3:
            local.refuse_waiting("target_leaving")
        elif kind == 4:
            local.run_waiting()
        else:
            local.hand_backs.allowance.updated_at = 0.0
            local.hand_backs.sweep(soon_ms=20.0)

    def answer(self, seen: http_target.Seen) -> bytes | None:
        """Answers, rejects, answers twice or sends no answer."""
        kind = self.rng.randrange(8)
        if kind == 0:
            return None
        if kind == 1:
            return http_target.not_executed(seen)
        if kind == 2:
            return http_target.sealed(seen) * 2
        return http_target.sealed(seen)


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_no_order_of_ends_refuses_what_has_run(
    driver: Driver, seed: int
) -> None:
    """Guards against decisions that effects of their own replies overtake."""
    rng = random.Random(seed)
    disorder = Disorder(driver, rng)
    driver.place.target.work_seconds = 0.02
    driver.place.target.script = disorder.answer
    driver.place.node.context.leaving = rng.random() < 0.5
    for _ in range(REQUESTS):
        disorder.submit()
        if rng.random() < 0.3:
            await driver.mesh.settle(rng.random() * 0.05)
        if rng.random() < 0.3:
            disorder.act()
        driver.check()
    await driver.mesh.settle(DEADLINE_MS / 1_000)
    for name in driver.jobs:
        driver.cancel(name)
    await driver.mesh.settle(0.1)
    driver.check()
    assert driver.guard.queue.running == driver.guard.queue.waiting == 0
    assert not driver.guard.running
