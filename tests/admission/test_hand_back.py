"""Which waiting requests are handed back, and how many."""

from __future__ import annotations

import pytest

from currantcart.admission import hand_back, occupancy, slots

WORK_MS = 200.0


def waiting(
    *,
    expected_ms: float = 100.0,
    limit_ms: float = 450.0,
    objective_ms: float = 1_000.0,
    age_ms: float = 50.0,
    placements: int = 0,
) -> hand_back.Waiting:
    return hand_back.Waiting(
        expected_ms, limit_ms, objective_ms, age_ms, placements
    )


def cause(
    request: hand_back.Waiting, *, leaving: bool = False
) -> hand_back.Cause | None:
    return hand_back.cause(
        request, work_ms=WORK_MS, moves_max=2, leaving=leaving
    )


def test_a_request_that_is_served_soon_stays() -> None:
    assert cause(waiting()) is None


def test_a_request_that_would_be_refused_here_is_handed_back() -> None:
    assert cause(waiting(expected_ms=500.0)) is hand_back.Cause.LATE


def test_a_long_wait_is_handed_back_before_it_is_too_late() -> None:
    """Guards against a hand-back that comes too late for other targets."""
    assert cause(waiting(expected_ms=300.0)) is hand_back.Cause.WAIT


def test_a_request_that_is_late_everywhere_stays() -> None:
    """Guards against a move that costs time and gains nothing."""
    assert cause(waiting(expected_ms=300.0, age_ms=800.0)) is None


def test_the_request_of_a_node_that_ends_is_handed_back() -> None:
    assert cause(waiting(), leaving=True) is hand_back.Cause.LEAVING


@pytest.mark.parametrize("leaving", [False, True])
def test_a_request_that_was_placed_too_often_stays(*, leaving: bool) -> None:
    """Guards against requests that are passed around in place of waiting."""
    moved = waiting(expected_ms=900.0, placements=2)
    assert cause(moved, leaving=leaving) is None


def test_nothing_is_handed_back_while_all_others_are_full() -> None:
    others = hand_back.Load().add(busy=20, limit=18).add(busy=18, limit=18)
    allowance = hand_back.Allowance()
    assert others == hand_back.Load(free=0.0, waiting=2.0)
    assert allowance.update(waiting=10, others=others, now=0.0) == 0


def test_guards_with_queues_share_the_free_slots() -> None:
    """Guards against a rush of all full guards at the same free target."""
    full, limit, free = 5, 18, 12
    own = 10
    others = hand_back.Load().add(busy=limit - free, limit=limit)
    for _ in range(full - 1):
        others = others.add(busy=limit + own, limit=limit)
    allowed = [
        hand_back.Allowance().update(waiting=own, others=others, now=0.0)
        for _ in range(full)
    ]
    assert all(allowed)
    assert sum(allowed) <= free * hand_back.FREE_PART


def moved_within(count: int, *, waiting: int, others: hand_back.Load) -> int:
    """Returns how many requests go within `count` times `SHARE_MS`."""
    allowance = hand_back.Allowance()
    moved, now = 0, 0.0
    while now < count * hand_back.SHARE_MS:
        for _ in range(
            allowance.update(waiting=waiting, others=others, now=now)
        ):
            allowance.take()
            moved += 1
        now += 20.0
    return moved


def test_requests_handed_back_use_up_the_free_slots_of_old_statuses() -> None:
    """Guards against using the same free slot at each decision."""
    others = hand_back.Load(free=10.0)
    usable = 10.0 * hand_back.FREE_PART
    moved = moved_within(1, waiting=30, others=others)
    # What is usable at once, and as much again as accrues meanwhile.
    assert usable <= moved <= 2 * usable
    assert moved_within(9, waiting=30, others=others) <= 10 * usable


def test_shares_below_one_request_add_up() -> None:
    """Guards against idle slots that are too few for any one guard."""
    others = hand_back.Load(free=2.0, waiting=30.0)
    share = 10 / 40
    usable = 2.0 * hand_back.FREE_PART * share
    assert moved_within(1, waiting=10, others=others) == 0
    moved = moved_within(20, waiting=10, others=others)
    assert 20 * usable - 1 <= moved <= 21 * usable


def test_credit_is_lost_while_the_others_are_full() -> None:
    """Guards against hand-backs to full targets after a time with room."""
    allowance = hand_back.Allowance()
    room, full = hand_back.Load(free=20.0), hand_back.Load(waiting=5.0)
    assert allowance.update(waiting=10, others=room, now=0.0) == 15
    assert allowance.update(waiting=10, others=full, now=20.0) == 0
    # What has accrued in these 20 ms.
    assert allowance.update(waiting=10, others=room, now=40.0) == 1


def test_the_least_urgent_and_youngest_go_first() -> None:
    requests = [waiting(expected_ms=100.0 * number) for number in range(1, 7)]
    causes = [cause(request) for request in requests]
    assert hand_back.select(causes, requests, allowed=2, soon_ms=20.0) == [5, 4]
    chosen = hand_back.select(causes, requests, allowed=9, soon_ms=20.0)
    assert chosen == [5, 4, 3, 2]


def test_a_request_about_to_be_refused_goes_before_those_that_can_wait() -> (
    None
):
    requests = [
        waiting(expected_ms=100.0, limit_ms=10.0),
        waiting(expected_ms=300.0),
        waiting(expected_ms=400.0),
    ]
    causes = [cause(request) for request in requests]
    assert hand_back.select(causes, requests, allowed=2, soon_ms=20.0) == [0, 2]


def test_expected_waits_count_what_is_served_before() -> None:
    """Guards against handing back urgent calls for the roots behind them."""
    queue: slots.SlotQueue[str] = slots.SlotQueue()
    queue.configure(3)
    queue.occupancy.service_ms = {
        occupancy.Kind.CALL: 20.0,
        occupancy.Kind.ROOT: 200.0,
    }
    for name, priority in (
        ("running", 3), ("running too", 3), ("root", 3), ("later root", 3),
        ("call", slots.call_priority(3)),
    ):  # fmt: skip
        queue.offer(
            name,
            priority=priority,
            now=0.0,
            objective_ms=2_000.0,
            expires_at=5_000.0,
        )
    order = queue.in_order()
    assert [ticket.item for ticket in order] == ["call", "root", "later root"]
    waits = hand_back.expected_waits(
        order, queue.occupancy, slot_count=queue.slots
    )
    assert waits == [100.0, 110.0, 210.0]


def test_withdrawn_requests_are_not_in_the_order() -> None:
    queue: slots.SlotQueue[str] = slots.SlotQueue()
    queue.configure(1)
    tickets = [
        queue.offer(
            name,
            priority=3,
            now=0.0,
            objective_ms=2_000.0,
            expires_at=5_000.0,
        )[1]
        for name in ("running", "gone", "waits")
    ]
    queue.withdraw(tickets[1])
    assert queue.in_order() == [tickets[2]]
