"""Tests of the slots and the queue of a target."""

from __future__ import annotations

import heapq
import math
import random

from currantcart.admission import occupancy, slots, target_rate


def queue(count: int = 10) -> slots.SlotQueue[str]:
    slot_queue: slots.SlotQueue[str] = slots.SlotQueue()
    slot_queue.configure(count)
    return slot_queue


def offer(
    slot_queue: slots.SlotQueue[str],
    item: str,
    *,
    priority: int = 5,
    now: float = 0.0,
    objective_ms: float = 1_000.0,
) -> tuple[slots.Verdict, slots.Ticket[str]]:
    return slot_queue.offer(
        item,
        priority=priority,
        now=now,
        objective_ms=objective_ms,
        expires_at=now + 4_000,
    )


def test_a_target_never_runs_more_than_its_slots() -> None:
    slot_queue = queue(10)
    verdicts = [offer(slot_queue, str(number))[0] for number in range(20)]
    assert verdicts.count(slots.Verdict.RUN) == 9


def test_the_most_urgent_is_next() -> None:
    slot_queue = queue(1)
    _, first = offer(slot_queue, "running")
    offer(slot_queue, "later", priority=7)
    offer(slot_queue, "sooner", priority=3)
    slot_queue.release(first, 10.0)
    ticket = slot_queue.start_next(10.0)
    assert ticket is not None
    assert ticket.item == "sooner"


def test_a_request_that_would_wait_too_long_is_refused_at_once() -> None:
    slot_queue = queue(1)
    slot_queue.occupancy.service_ms = dict.fromkeys(occupancy.Kind, 300.0)
    offer(slot_queue, "running")
    assert offer(slot_queue, "first")[0] is slots.Verdict.WAIT
    assert offer(slot_queue, "second")[0] is slots.Verdict.REFUSE


def test_a_request_that_has_waited_too_long_is_removed() -> None:
    slot_queue = queue(1)
    offer(slot_queue, "running")
    offer(slot_queue, "waiting")
    assert not slot_queue.remove_overdue(400.0)
    assert [ticket.item for ticket in slot_queue.remove_overdue(460.0)] == [
        "waiting"
    ]
    assert slot_queue.waiting == 0


def test_a_limited_target_starts_the_most_urgent_when_its_rate_allows() -> None:
    slot_queue = queue(10)
    slot_queue.rate.set_limit(20.0, 0.0)
    assert offer(slot_queue, "later", priority=7)[0] is slots.Verdict.WAIT
    assert offer(slot_queue, "sooner", priority=3)[0] is slots.Verdict.WAIT
    assert slot_queue.start_next(49.0) is None
    ticket = slot_queue.start_next(50.0)
    assert ticket is not None
    assert ticket.item == "sooner"
    assert slot_queue.start_next(50.0) is None


def test_a_limited_target_refuses_at_once_what_would_wait_longer() -> None:
    """Another target of the service may have room."""
    slot_queue = queue(10)
    slot_queue.rate.set_limit(15.0, 0.0)
    verdicts = [
        slot_queue.offer(
            "r",
            priority=5,
            now=0.0,
            objective_ms=1_000.0,
            expires_at=4_000.0,
            wait_ms_max=100.0,
        )[0]
        for _ in range(2)
    ]
    assert verdicts == [slots.Verdict.WAIT, slots.Verdict.REFUSE]
    assert slot_queue.retry_after_ms(0.0) >= 130.0


def test_requests_wait_for_the_first_answer_of_a_target() -> None:
    """Refused for the assumed rate, a call with 0.4 s left fails its chain."""
    slot_queue = slots.SlotQueue[str](target_rate.unknown())
    slot_queue.configure(100)
    verdicts = [
        offer(slot_queue, "call", objective_ms=300.0)[0] for _ in range(50)
    ]
    assert slots.Verdict.REFUSE not in verdicts
    slot_queue.rate.set_limit(math.inf, 30.0)
    started = 0
    while slot_queue.start_next(30.0) is not None:
        started += 1
    assert started == verdicts.count(slots.Verdict.WAIT)


def test_a_withdrawn_request_gets_no_slot() -> None:
    slot_queue = queue(1)
    _, first = offer(slot_queue, "running")
    _, second = offer(slot_queue, "gone")
    slot_queue.withdraw(second)
    slot_queue.withdraw(second)
    slot_queue.release(first, 5.0)
    assert slot_queue.start_next(5.0) is None
    assert (slot_queue.running, slot_queue.waiting) == (0, 0)


def simulate(
    priorities: dict[str, int],
) -> tuple[dict[str, int], dict[str, int]]:
    """Simulates 10 s at a target with half the capacity that it needs.

    Ten slots of 50 ms serve 180 requests a second; the demand is 200 roots and
    160 calls of targets a second.

    Returns:
      Requests by kind, and how many of them got a slot.
    """
    rng = random.Random(9)
    slot_queue = queue(10)
    offered = {"call": 0, "root": 0}
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
            slot_queue.release(heapq.heappop(ends)[2], now)
            following = slot_queue.start_next(now)
            if following is not None:
                start(following, now)
        slot_queue.remove_overdue(now)
        for kind, per_second in (("call", 160), ("root", 200)):
            if rng.random() < per_second / 1_000:
                offered[kind] += 1
                verdict, ticket = offer(
                    slot_queue, kind, priority=priorities[kind], now=now
                )
                if verdict is slots.Verdict.RUN:
                    start(ticket, now)
    return offered, served


def test_calls_of_targets_are_served_before_roots_under_overload() -> None:
    """Guards against chains that fail because one of their calls is refused."""
    offered, served = simulate({"call": 0, "root": 5})
    assert served["call"] >= 0.98 * offered["call"]
    offered, served = simulate({"call": 5, "root": 5})
    assert served["call"] < 0.7 * offered["call"]
