"""Tests the outcome of an attempt for every event in every state."""

from __future__ import annotations

import itertools

import pytest

from currantcart.call import attempt

EVENTS = list(attempt.Event)
OUTCOMES = list(attempt.Outcome)


def histories(length: int) -> list[tuple[attempt.Event, ...]]:
    return list(itertools.product(EVENTS, repeat=length))


@pytest.mark.parametrize("history", histories(4))
def test_final_outcome_does_not_change(
    history: tuple[attempt.Event, ...],
) -> None:
    """An event may arrive after the caller has been answered."""
    outcome = attempt.Outcome.NOT_HANDED_OVER
    for event in history:
        before, outcome = outcome, attempt.next_outcome(outcome, event)
        if before in attempt.FINAL:
            assert outcome is before


@pytest.mark.parametrize("history", histories(4))
def test_only_attempts_not_handed_over_or_refused_are_not_executed(
    history: tuple[attempt.Event, ...],
) -> None:
    outcome = attempt.Outcome.NOT_HANDED_OVER
    handed, refused = False, False
    for event in history:
        if outcome not in attempt.FINAL:
            if event is attempt.Event.HAND_OVER:
                handed = True
            if event is attempt.Event.REFUSE and handed:
                refused = True
        outcome = attempt.next_outcome(outcome, event)
    if outcome is attempt.Outcome.NOT_EXECUTED:
        assert not handed or refused


@pytest.mark.parametrize(
    "outcomes", list(itertools.product(OUTCOMES, repeat=3))
)
def test_one_unknown_attempt_makes_a_non_idempotent_request_unknown(
    outcomes: tuple[attempt.Outcome, ...],
) -> None:
    final = attempt.final_answer(list(outcomes), idempotent=False)
    not_run = all(item is attempt.Outcome.NOT_EXECUTED for item in outcomes)
    assert (final is attempt.AnswerKind.NOT_RUN) == not_run


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_non_idempotent_request_is_retried_only_if_it_did_not_run(
    outcome: attempt.Outcome,
) -> None:
    retried = attempt.may_retry(outcome, idempotent=False)
    assert retried == (outcome is attempt.Outcome.NOT_EXECUTED)


def test_idempotent_request_is_retried_after_a_lost_attempt() -> None:
    assert attempt.may_retry(attempt.Outcome.UNKNOWN, idempotent=True)
    assert not attempt.may_retry(attempt.Outcome.ANSWERED, idempotent=True)
