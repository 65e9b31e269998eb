"""The outcome of an attempt, over every event in every state."""

from __future__ import annotations

import itertools

import pytest

from currantcart.call import attempt

EVENTS = list(attempt.Event)
OUTCOMES = list(attempt.Outcome)


def histories(length: int) -> list[tuple[attempt.Event, ...]]:
    return list(itertools.product(EVENTS, repeat=length))


@pytest.mark.parametrize("history", histories(4))
def test_what_is_known_at_the_end_is_final(
    history: tuple[attempt.Event, ...],
) -> None:
    """A late word about an attempt comes after its caller was answered."""
    outcome = attempt.Outcome.NOT_HANDED_OVER
    for event in history:
        before, outcome = outcome, attempt.after(outcome, event)
        if before in attempt.FINAL:
            assert outcome is before


@pytest.mark.parametrize("history", histories(4))
def test_not_run_is_only_told_of_what_was_not_handed_over_or_was_refused(
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
        outcome = attempt.after(outcome, event)
    if outcome is attempt.Outcome.NOT_EXECUTED:
        assert not handed or refused


@pytest.mark.parametrize(
    "outcomes", list(itertools.product(OUTCOMES, repeat=3))
)
def test_one_unknown_attempt_makes_a_request_that_must_not_repeat_unknown(
    outcomes: tuple[attempt.Outcome, ...],
) -> None:
    final = attempt.final_answer(list(outcomes), idempotent=False)
    sure = all(item is attempt.Outcome.NOT_EXECUTED for item in outcomes)
    assert (final is attempt.Final.NOT_RUN) == sure


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_only_what_surely_did_not_run_is_handed_over_again(
    outcome: attempt.Outcome,
) -> None:
    again = attempt.may_retry(outcome, idempotent=False)
    assert again == (outcome is attempt.Outcome.NOT_EXECUTED)


def test_what_may_repeat_is_handed_over_again_after_a_loss() -> None:
    assert attempt.may_retry(attempt.Outcome.UNKNOWN, idempotent=True)
    assert not attempt.may_retry(attempt.Outcome.ANSWERED, idempotent=True)
