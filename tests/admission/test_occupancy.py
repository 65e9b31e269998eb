"""Tests of slot occupancy, and of the wait predicted from it."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from currantcart.admission import occupancy, slots

CALL, ROOT = occupancy.Kind.CALL, occupancy.Kind.ROOT


def recorded(kind: occupancy.Kind, held_ms: float) -> occupancy.Occupancy:
    """Returns an occupancy with 300 recorded requests of one kind."""
    tracked = occupancy.Occupancy()
    now = 0.0
    for _ in range(300):
        tracked.start(kind, now, 10)
        now += held_ms
        tracked.end(kind, now, 10, held_ms=held_ms)
    return tracked


def test_each_kind_has_its_own_mean() -> None:
    tracked = recorded(ROOT, 240.0)
    assert tracked.service_ms[ROOT] == pytest.approx(240.0, rel=0.01)
    assert tracked.service_ms[CALL] == occupancy.INITIAL_SERVICE_MS


def test_a_slot_that_was_not_used_does_not_count_as_service_time() -> None:
    tracked = occupancy.Occupancy()
    tracked.start(ROOT, 0.0, 10)
    tracked.end(ROOT, 900.0, 10, held_ms=None)
    assert tracked.service_ms[ROOT] == occupancy.INITIAL_SERVICE_MS
    assert tracked.running[ROOT] == 0


def test_a_root_waits_for_the_requests_ahead_of_it() -> None:
    tracked = recorded(ROOT, 240.0)
    alone = tracked.wait_ms(ROOT, {CALL: 0, ROOT: 0}, 10)
    behind = tracked.wait_ms(ROOT, {CALL: 0, ROOT: 10}, 10)
    assert behind - alone == pytest.approx(240.0, rel=0.01)


def test_calls_that_arrive_later_overtake_a_root() -> None:
    """Calls hold 8 of 10 slots for long enough to settle their share."""
    tracked = occupancy.Occupancy()
    for _ in range(8):
        tracked.start(CALL, 0.0, 10)
    tracked.update_calls_share(5_000.0, 10)
    root = tracked.wait_ms(ROOT, {CALL: 0, ROOT: 0}, 10)
    call = tracked.wait_ms(CALL, {CALL: 0, ROOT: 0}, 10)
    assert root == pytest.approx(5 * call, rel=0.01)


class Fleet:
    """Simulated targets that serve short calls and long roots.

    A root that one target refuses is offered to the next. Calls use two thirds
    of the slots, and roots demand twice the remaining capacity.
    """

    TARGETS, SLOTS = 3, 12
    CALL_MS, ROOT_MS, OBJECTIVE_MS, DEADLINE_MS = 15.0, 240.0, 600.0, 2_500.0
    CALLS_PER_MS, ROOTS_PER_MS = 1.5, 0.09

    def __init__(self, *, send_age: bool) -> None:
        self.rng = random.Random(5)
        self.send_age = send_age
        self.queues: list[slots.SlotQueue[tuple[float, list[int]]]] = [
            slots.SlotQueue() for _ in range(self.TARGETS)
        ]
        for queue in self.queues:
            queue.configure(self.SLOTS)
        self.ends: list[
            tuple[float, int, int, slots.Ticket[tuple[float, list[int]]]]
        ] = []
        self.numbers = itertools.count()
        self.ended = {"in time": 0, "late": 0, "refused": 0}

    def offer(
        self, target: int, item: tuple[float, list[int]], now: float, rank: int
    ) -> None:
        """Offers a request to a target, and to the others if it is refused."""
        started_at, _ = item
        verdict, ticket = self.queues[target].offer(
            item,
            priority=rank,
            now=now,
            objective_ms=self.OBJECTIVE_MS,
            expires_at=started_at + self.DEADLINE_MS,
            age_ms=now - started_at if self.send_age else 0.0,
        )
        if verdict is slots.Verdict.RUN:
            self.start(target, ticket, now)
        elif verdict is slots.Verdict.REFUSE:
            self.refused(target, item, now, rank)

    def refused(
        self, target: int, item: tuple[float, list[int]], now: float, rank: int
    ) -> None:
        """Offers a request to a target that has not refused it yet."""
        item[1].append(target)
        untried = [n for n in range(self.TARGETS) if n not in item[1]]
        if untried:
            self.offer(untried[0], item, now, rank)
        elif rank > 0:
            self.ended["refused"] += 1

    def start(
        self,
        target: int,
        ticket: slots.Ticket[tuple[float, list[int]]],
        now: float,
    ) -> None:
        """Runs a request that has a slot."""
        work = self.CALL_MS if ticket.priority <= 0 else self.ROOT_MS
        work *= self.rng.uniform(0.7, 1.3)
        entry = (now + work, next(self.numbers), target, ticket)
        heapq.heappush(self.ends, entry)

    def finish(self, now: float) -> None:
        """Ends the requests that are finished and starts waiting ones."""
        while self.ends and self.ends[0][0] <= now:
            _, _, target, ticket = heapq.heappop(self.ends)
            queue = self.queues[target]
            queue.release(ticket, now)
            if ticket.priority > 0:
                elapsed_ms = now - ticket.item[0]
                late = elapsed_ms > self.OBJECTIVE_MS
                self.ended["late" if late else "in time"] += 1
            following = queue.start_next(now)
            if following is not None:
                self.start(target, following, now)

    def simulate(self) -> dict[str, int]:
        """Simulates 20 s and returns how many roots ended in which way."""
        for step in range(20_000):
            now = float(step)
            self.finish(now)
            for target, queue in enumerate(self.queues):
                for ticket in queue.remove_overdue(now):
                    self.refused(target, ticket.item, now, ticket.priority)
            for rank, rate in (
                (0, self.CALLS_PER_MS),
                (5, self.ROOTS_PER_MS),
            ):
                due = int(rate) + (self.rng.random() < rate % 1)
                for _ in range(due):
                    target = self.rng.randrange(self.TARGETS)
                    self.offer(target, (now, []), now, rank)
        return self.ended


def test_served_roots_are_served_in_time() -> None:
    """Guards against queueing roots too long behind a flood of calls."""
    ended = Fleet(send_age=True).simulate()
    assert ended["late"] < 0.05 * ended["in time"]


def test_more_roots_are_in_time_if_their_age_is_sent() -> None:
    with_age, without_age = (
        Fleet(send_age=True).simulate(),
        Fleet(send_age=False).simulate(),
    )
    assert with_age["in time"] > without_age["in time"]
