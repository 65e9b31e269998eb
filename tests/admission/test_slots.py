"""Slots and queue of a target."""

from __future__ import annotations

import heapq
import random

from currantcart.admission import occupancy, slots


def queue(count: int = 10) -> slots.SlotQueue[str]:
    made: slots.SlotQueue[str] = slots.SlotQueue()
    made.configure(count)
    return made


def offer(
    made: slots.SlotQueue[str],
    item: str,
    *,
    priority: int = 5,
    now: float = 0.0,
    objective_ms: float = 1_000.0,
) -> tuple[slots.Verdict, slots.Ticket[str]]:
    return made.offer(
        item,
        priority=priority,
        now=now,
        objective_ms=objective_ms,
        expires_at=now + 4_000,
    )


def test_a_target_never_gets_more_than_its_slots() -> None:
    made = queue(10)
    verdicts = [offer(made, str(number))[0] for number in range(20)]
    assert verdicts.count(slots.Verdict.RUN) == 9


def test_the_most_urgent_is_next() -> None:
    made = queue(1)
    _, first = offer(made, "running")
    offer(made, "later", priority=7)
    offer(made, "sooner", priority=3)
    made.release(first, 10.0)
    ticket = made.next(10.0)
    assert ticket is not None
    assert ticket.item == "sooner"


def test_what_would_wait_too_long_is_refused_at_once() -> None:
    made = queue(1)
    made.occupancy.service_ms = dict.fromkeys(occupancy.Kind, 300.0)
    offer(made, "running")
    assert offer(made, "first")[0] is slots.Verdict.WAIT
    assert offer(made, "second")[0] is slots.Verdict.REFUSE


def test_what_has_waited_too_long_is_given_up() -> None:
    made = queue(1)
    offer(made, "running")
    offer(made, "waiting")
    assert not made.overdue(400.0)
    assert [ticket.item for ticket in made.overdue(460.0)] == ["waiting"]
    assert made.waiting == 0


def test_a_withdrawn_request_gets_no_slot() -> None:
    made = queue(1)
    _, first = offer(made, "running")
    _, second = offer(made, "gone")
    made.withdraw(second)
    made.withdraw(second)
    made.release(first, 5.0)
    assert made.next(5.0) is None
    assert (made.running, made.waiting) == (0, 0)


def play(priorities: dict[str, int]) -> tuple[dict[str, int], dict[str, int]]:
    """Plays ten seconds at a target that has half the room it needs.

    Ten slots of 50 ms bear 180 requests a second; roots ask for 200 and
    targets' own calls for 160.

    Returns:
      Requests by kind, and those that got a slot.
    """
    rng = random.Random(9)
    made = queue(10)
    asked = {"call": 0, "root": 0}
    served = {"call": 0, "root": 0}
    ends: list[tuple[float, int, slots.Ticket[str]]] = []
    number = 0

    def start(ticket: slots.Ticket[str], now: float) -> None:
        nonlocal number
        number += 1
        served[ticket.item] += 1
        heapq.heappush(ends, (now + 50.0, number, ticket))

    for step in range(10_000):
        now = float(step)
        while ends and ends[0][0] <= now:
            made.release(heapq.heappop(ends)[2], now)
            following = made.next(now)
            if following is not None:
                start(following, now)
        made.overdue(now)
        for kind, per_second in (("call", 160), ("root", 200)):
            if rng.random() < per_second / 1_000:
                asked[kind] += 1
                verdict, ticket = offer(
                    made, kind, priority=priorities[kind], now=now
                )
                if verdict is slots.Verdict.RUN:
                    start(ticket, now)
    return asked, served


def test_calls_of_targets_go_before_roots_when_there_is_room_for_half() -> None:
    """A chain of calls fails with any one of them."""
    asked, served = play({"call": 0, "root": 5})
    assert served["call"] >= 0.98 * asked["call"]
    asked, served = play({"call": 5, "root": 5})
    assert served["call"] < 0.7 * asked["call"]
