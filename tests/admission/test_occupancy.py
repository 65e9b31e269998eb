"""What holds a target's slots, and how long the next request waits."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from currantcart.admission import occupancy, slots

CALL, ROOT = occupancy.Kind.CALL, occupancy.Kind.ROOT


def held(kind: occupancy.Kind, held_ms: float) -> occupancy.Occupancy:
    """Returns an occupancy that has learnt how long a kind takes."""
    made = occupancy.Occupancy()
    now = 0.0
    for _ in range(300):
        made.start(kind, now, 10)
        now += held_ms
        made.end(kind, now, 10, held_ms=held_ms)
    return made


def test_each_kind_has_its_own_mean() -> None:
    made = held(ROOT, 240.0)
    assert made.service_ms[ROOT] == pytest.approx(240.0, rel=0.01)
    assert made.service_ms[CALL] == occupancy.START_SERVICE_MS


def test_a_slot_that_was_not_used_says_nothing_about_the_work() -> None:
    made = occupancy.Occupancy()
    made.start(ROOT, 0.0, 10)
    made.end(ROOT, 900.0, 10, held_ms=None)
    assert made.service_ms[ROOT] == occupancy.START_SERVICE_MS
    assert made.running[ROOT] == 0


def test_a_root_waits_for_the_work_of_what_is_before_it() -> None:
    made = held(ROOT, 240.0)
    alone = made.wait_ms(ROOT, {CALL: 0, ROOT: 0}, 10)
    behind = made.wait_ms(ROOT, {CALL: 0, ROOT: 10}, 10)
    assert behind - alone == pytest.approx(240.0, rel=0.01)


def test_calls_that_come_later_pass_a_root() -> None:
    """Calls hold most of the slots for as long as one looks."""
    made = occupancy.Occupancy()
    for _ in range(8):
        made.start(CALL, 0.0, 10)
    made.settle(5_000.0, 10)
    root = made.wait_ms(ROOT, {CALL: 0, ROOT: 0}, 10)
    call = made.wait_ms(CALL, {CALL: 0, ROOT: 0}, 10)
    assert root == pytest.approx(5 * call, rel=0.01)


class Fleet:
    """Targets that serve short calls and long roots.

    A root that one target's queue refuses goes on to the next. Calls hold
    two thirds of the slots, and roots ask for twice what is left.
    """

    TARGETS, SLOTS = 3, 12
    CALL_MS, ROOT_MS, OBJECTIVE_MS, DEADLINE_MS = 15.0, 240.0, 600.0, 2_500.0
    CALLS_PER_MS, ROOTS_PER_MS = 1.5, 0.09

    def __init__(self, *, tell_age: bool) -> None:
        self.rng = random.Random(5)
        self.tell_age = tell_age
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
        self, place: int, item: tuple[float, list[int]], now: float, rank: int
    ) -> None:
        """Offers a request to a target, and to the others if refused."""
        begun, _ = item
        verdict, ticket = self.queues[place].offer(
            item,
            priority=rank,
            now=now,
            objective_ms=self.OBJECTIVE_MS,
            expires_at=begun + self.DEADLINE_MS,
            age_ms=now - begun if self.tell_age else 0.0,
        )
        if verdict is slots.Verdict.RUN:
            self.start(place, ticket, now)
        elif verdict is slots.Verdict.REFUSE:
            self.refused(place, item, now, rank)

    def refused(
        self, place: int, item: tuple[float, list[int]], now: float, rank: int
    ) -> None:
        """Goes on to a target that has not refused it yet."""
        item[1].append(place)
        left = [n for n in range(self.TARGETS) if n not in item[1]]
        if left:
            self.offer(left[0], item, now, rank)
        elif rank > 0:
            self.ended["refused"] += 1

    def start(
        self,
        place: int,
        ticket: slots.Ticket[tuple[float, list[int]]],
        now: float,
    ) -> None:
        """Runs a request that has a slot."""
        work = self.CALL_MS if ticket.priority <= 0 else self.ROOT_MS
        work *= self.rng.uniform(0.7, 1.3)
        entry = (now + work, next(self.numbers), place, ticket)
        heapq.heappush(self.ends, entry)

    def finish(self, now: float) -> None:
        """Ends what is done by now, and starts what waits."""
        while self.ends and self.ends[0][0] <= now:
            _, _, place, ticket = heapq.heappop(self.ends)
            queue = self.queues[place]
            queue.release(ticket, now)
            if ticket.priority > 0:
                took = now - ticket.item[0]
                late = took > self.OBJECTIVE_MS
                self.ended["late" if late else "in time"] += 1
            following = queue.next(now)
            if following is not None:
                self.start(place, following, now)

    def play(self) -> dict[str, int]:
        """Plays twenty seconds; returns how roots ended."""
        for step in range(20_000):
            now = float(step)
            self.finish(now)
            for place, queue in enumerate(self.queues):
                for ticket in queue.overdue(now):
                    self.refused(place, ticket.item, now, ticket.priority)
            for rank, rate in (
                (0, self.CALLS_PER_MS),
                (5, self.ROOTS_PER_MS),
            ):
                due = int(rate) + (self.rng.random() < rate % 1)
                for _ in range(due):
                    place = self.rng.randrange(self.TARGETS)
                    self.offer(place, (now, []), now, rank)
        return self.ended


def test_a_root_that_is_served_is_served_in_time() -> None:
    """Long roots share a small service with a flood of calls."""
    ended = Fleet(tell_age=True).play()
    assert ended["late"] < 0.05 * ended["in time"]


def test_more_roots_are_in_time_when_guards_know_how_long_one_has_waited() -> (
    None
):
    told, untold = Fleet(tell_age=True).play(), Fleet(tell_age=False).play()
    assert told["in time"] > untold["in time"]
