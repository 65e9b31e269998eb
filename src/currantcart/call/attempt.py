"""Outcomes of attempts, and the retries and answers that follow from them.

Whether a request may be retried, and whether its caller may get the answer
"not run", is decided here alone. A caller that is answered "not run" for a
request that runs later would send it again, and a payment would be made twice.
The transitions below rule this out.
"""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is known about one attempt."""

    NOT_HANDED_OVER = enum.auto()
    HANDED_OVER = enum.auto()
    NOT_EXECUTED = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()


class Event(enum.Enum):
    """What happens to an attempt.

    `REFUSE` is an explicit statement by the guard or the target that the
    request did not run and will not run. `LOSE` is any other end without a
    complete answer.
    """

    HAND_OVER = enum.auto()
    REFUSE = enum.auto()
    ANSWER = enum.auto()
    LOSE = enum.auto()


TRANSITIONS: dict[tuple[Outcome, Event], Outcome] = {
    (Outcome.NOT_HANDED_OVER, Event.HAND_OVER): Outcome.HANDED_OVER,
    (Outcome.NOT_HANDED_OVER, Event.LOSE): Outcome.NOT_EXECUTED,
    (Outcome.HANDED_OVER, Event.REFUSE): Outcome.NOT_EXECUTED,
    (Outcome.HANDED_OVER, Event.ANSWER): Outcome.ANSWERED,
    (Outcome.HANDED_OVER, Event.LOSE): Outcome.UNKNOWN,
}
FINAL = frozenset({Outcome.NOT_EXECUTED, Outcome.ANSWERED, Outcome.UNKNOWN})


def next_outcome(outcome: Outcome, event: Event) -> Outcome:
    """Returns the outcome after an event.

    An event without a transition leaves the outcome unchanged. A refusal that
    arrives after the stream was lost does not turn "unknown" into "not run",
    since the caller may already have been answered that the outcome is
    unknown.
    """
    return TRANSITIONS.get((outcome, event), outcome)


class AnswerKind(enum.Enum):
    """Kind of answer that the node gives without one from a target."""

    NOT_RUN = enum.auto()
    UNKNOWN = enum.auto()


def final_answer(outcomes: list[Outcome], *, idempotent: bool) -> AnswerKind:
    """Returns the kind of answer for a request that no target answered.

    Args:
      outcomes: The outcome of each attempt.
      idempotent: Whether the request may run more than once.
    """
    if idempotent or all(item is Outcome.NOT_EXECUTED for item in outcomes):
        return AnswerKind.NOT_RUN
    return AnswerKind.UNKNOWN


def may_retry(outcome: Outcome, *, idempotent: bool) -> bool:
    """Returns whether a request may be retried after an attempt."""
    if outcome is Outcome.NOT_EXECUTED:
        return True
    return outcome is Outcome.UNKNOWN and idempotent
