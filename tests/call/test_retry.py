"""Tests what follows a failed attempt."""

from __future__ import annotations

import pytest

from currantcart import errors
from currantcart.call import allowance, retry

Code = errors.Code


@pytest.mark.parametrize(
    ("code", "not_run", "idempotent", "replayable", "expected"),
    [
        (Code.TARGET_FAILED, False, True, True, retry.Next.RETRY),
        (Code.TARGET_FAILED, False, False, True, retry.Next.STOP),
        (Code.PEER_LOST, False, False, True, retry.Next.STOP),
        (Code.DRAINING, True, False, True, retry.Next.REROUTE),
        (Code.DRAINING, True, False, False, retry.Next.STOP),
        (Code.PEER_UNREACHABLE, True, False, True, retry.Next.REROUTE),
        (Code.OVERLOADED, True, True, True, retry.Next.STOP),
        (Code.DEADLINE_EXCEEDED, False, True, True, retry.Next.STOP),
    ],
)
def test_next_step_after_a_refusal(
    code: Code,
    not_run: bool,
    idempotent: bool,
    replayable: bool,
    expected: retry.Next,
) -> None:
    attempts = retry.Attempts(idempotent=idempotent, replayable=replayable)
    following = attempts.after_refusal(
        code=code,
        not_run=not_run,
        remaining=allowance.Allowance(1),
        budget=allowance.RetryBudget(),
    )
    assert following is expected


def test_reroutes_are_bounded() -> None:
    attempts = retry.Attempts(idempotent=True, replayable=True)
    decisions = [
        attempts.after_refusal(
            code=Code.DRAINING,
            not_run=True,
            remaining=allowance.Allowance(5),
            budget=allowance.RetryBudget(),
        )
        for _ in range(3)
    ]
    assert decisions == [
        retry.Next.REROUTE,
        retry.Next.REROUTE,
        retry.Next.STOP,
    ]


def test_exhausted_node_budget_leaves_the_allowance_unused() -> None:
    attempts = retry.Attempts(idempotent=True, replayable=True)
    held = allowance.Allowance(1)
    following = attempts.after_status(
        502, remaining=held, budget=allowance.RetryBudget(burst=0)
    )
    assert (following, held.remaining) == (retry.Next.STOP, 1)
