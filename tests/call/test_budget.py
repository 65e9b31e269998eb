"""Tests the retry budget that all nodes share."""

from __future__ import annotations

import random

from currantcart.call import budget


def new_budget() -> budget.RetryBudget:
    return budget.RetryBudget(ratio=0.2, slack=48, window_ms=10_000)


def check_windows(requests: list[float], retries: list[float]) -> None:
    """Asserts that no window got more retries than all nodes may send."""
    for start in range(0, 20_000, 250):
        end = start + 10_000
        sent = sum(start <= at < end for at in retries)
        asked = sum(start <= at < end for at in requests)
        assert sent <= 0.2 * asked + 48


def test_without_requests_a_node_keeps_to_its_share_of_the_slack() -> None:
    node_budget = new_budget()
    retried = sum(
        node_budget.take(float(at), share=1 / 12) for at in range(100)
    )
    assert retried == 3


def test_retries_are_proportional_to_requests() -> None:
    node_budget = new_budget()
    retried = 0
    for at in range(0, 40_000, 10):
        now = float(at)
        node_budget.count_request(now)
        if at >= 30_000 and node_budget.take(now, share=0.0):
            retried += 1
    assert 180 <= retried <= 200


def test_a_node_that_has_just_started_may_retry() -> None:
    node_budget = new_budget()
    for at in range(1_000):
        node_budget.count_request(float(at))
    retried = sum(node_budget.take(1_000.0, share=0.0) for _ in range(1_000))
    assert 80 <= retried <= 200


def test_no_window_gets_more_than_all_nodes_together_may_send() -> None:
    """Guards against each node using the complete slack."""
    rng = random.Random(3)
    nodes = [new_budget() for _ in range(12)]
    requests: list[float] = []
    retries: list[float] = []
    for step in range(30_000):
        now = step * 1.0
        for node in nodes:
            if rng.random() < 0.01:
                node.count_request(now)
                requests.append(now)
            if rng.random() < 0.05 and node.take(now, share=1 / 12):
                retries.append(now)
    check_windows(requests, retries)


def test_counts_of_a_past_window_expire() -> None:
    node_budget = new_budget()
    assert node_budget.take(0.0, share=1 / 24)
    assert not node_budget.take(9_000.0, share=1 / 24)
    assert node_budget.take(12_000.0, share=1 / 24)


def test_a_long_burst_of_retries_stays_within_the_ratio() -> None:
    """Guards against requests that still count outside the window."""
    rng = random.Random(1)
    node_budget = new_budget()
    requests: list[float] = []
    retries: list[float] = []
    now = 12_345_678.0
    for _ in range(40_000):
        now += rng.expovariate(1.0)
        node_budget.count_request(now)
        requests.append(now)
        if rng.random() < 0.55 and node_budget.take(now, share=1 / 13):
            retries.append(now)
    for start in range(int(requests[0]), int(now) - 10_000, 500):
        sent = sum(start <= at < start + 10_000 for at in retries)
        asked = sum(start <= at < start + 10_000 for at in requests)
        assert sent <= 0.2 * asked + 4


def test_requests_that_fail_early_do_not_lower_the_budget_at_once() -> None:
    """Guards against a budget that shrinks as failing chains call less."""
    node_budget = new_budget()
    retried = 0
    for at in range(10_000):
        node_budget.count_request(float(at))
    for at in range(10_000, 20_000, 5):
        for _ in range(4):
            node_budget.count_request(float(at))
            retried += node_budget.take(float(at), share=0.0)
    retried += sum(node_budget.take(20_000.0, share=0.0) for _ in range(4_000))
    assert 0.2 * 8_000 < retried <= 0.2 * 10_000


def test_retries_after_the_last_requests_stay_within_all_windows() -> None:
    """All retries of a past window, sent at once, exceed the next window's."""
    node_budget = new_budget()
    requests = [float(at) for at in range(10_000)]
    requests += [float(at) for at in range(10_000, 20_000, 5) for _ in range(4)]
    for at in requests:
        node_budget.count_request(at)
    retries = [
        20_000.0 for _ in range(4_000) if node_budget.take(20_000.0, share=0.0)
    ]
    for start in range(0, 25_000, 250):
        sent = sum(start <= at < start + 10_000 for at in retries)
        most = max(
            sum(first <= at < first + 10_000 for at in requests)
            for first in (start, start - 5_000, start - 10_000)
        )
        assert sent <= 0.2 * most + 48


def test_callers_that_move_to_another_node_count_once() -> None:
    """Guards against callers whose requests count at two nodes."""
    one, two = new_budget(), new_budget()
    requests: list[float] = []
    retries: list[float] = []
    for at in range(30_000):
        now = float(at)
        node = one if at < 10_000 else two
        node.count_request(now)
        requests.append(now)
        for asking in (one, two):
            if asking.take(now, share=0.5):
                retries.append(now)
    check_windows(requests, retries)


def test_a_small_fault_gets_all_the_retries_that_it_needs() -> None:
    """Guards against pacing retries for which the budget suffices."""
    node_budget = new_budget()
    for at in range(0, 60_000, 50):
        now = float(at)
        node_budget.count_request(now)
        if at % 20_000 in (19_000, 19_100, 19_200):
            for _ in range(3):
                assert node_budget.take(now, share=0.0)


def test_a_fault_of_some_seconds_gets_nearly_all_retries() -> None:
    """Guards against saving retries in case the fault lasts longer."""
    rng = random.Random(8)
    node_budget = new_budget()
    for at in range(10_000):
        node_budget.count_request(float(at))
    asked = given = 0
    for at in range(10_000, 14_000):
        node_budget.count_request(float(at))
        if rng.random() < 0.24:
            asked += 1
            given += node_budget.take(float(at), share=0.0)
    assert given > 0.95 * asked
