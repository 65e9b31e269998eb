"""Tests the checks of the soak on the own interface, and a short run."""

from __future__ import annotations

import pytest

from bench import checkers, load
from bench.soak import own

SECONDS = 4.0


def outcome(
    kind: load.Kind, *, attempts: int = 1, not_run: int = 0, code: str = ""
) -> load.Outcome:
    return load.Outcome(
        "r1",
        "mill-1",
        kind.name,
        0.0,
        attempts=attempts,
        not_run_attempts=not_run,
        code=code,
    )


RAN = checkers.Ran("r1", "payments", operation="r1")


@pytest.mark.parametrize(
    ("seen", "ran"),
    [
        (outcome(own.ONCE, attempts=2), [RAN, RAN]),
        (outcome(own.CHARGE), [RAN, RAN]),
        (outcome(own.CHARGE, not_run=1), [RAN]),
        (outcome(own.ONCE, attempts=3, not_run=3), [RAN]),
        (outcome(own.BROWSE, code="crossed_answer"), []),
    ],
    ids=["once", "charge", "refused", "refused always", "crossed"],
)
def test_broken_promise_is_reported(
    seen: load.Outcome, ran: list[checkers.Ran]
) -> None:
    assert own.broken([seen], ran)


@pytest.mark.parametrize(
    ("seen", "ran"),
    [
        (outcome(own.ONCE, attempts=2, not_run=1), [RAN]),
        (outcome(own.CHARGE), [RAN]),
        (outcome(own.CHARGE, not_run=1), []),
        (outcome(own.BROWSE, attempts=2), [RAN, RAN]),
    ],
    ids=["run at last", "charge", "refused", "browse"],
)
def test_allowed_outcome_is_not_reported(
    seen: load.Outcome, ran: list[checkers.Ran]
) -> None:
    assert own.broken([seen], ran) == []


def test_no_promise_is_broken() -> None:
    result = own.run_own(1, SECONDS)
    assert result.broken == []
    assert result.sent > 0
