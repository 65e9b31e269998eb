"""Checkers of recorded histories; each returns the violations that it finds.

Tests apply them to simulated histories, experiments to those of real processes.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Sequence


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request as its caller observed it.

    Attributes:
      request_id: Id in the request.
      service: Service that was called.
      status: HTTP status; 0 without an answer.
      answered_id: Id in the answer; empty without one.
      not_run: Whether the last answer says that the request did not run.
      important: Whether the request is a payment or a confirmation.
      attempts: Number of attempts that the caller made.
    """

    request_id: str
    service: str
    status: int
    answered_id: str
    not_run: bool
    important: bool = False
    attempts: int = 1


@dataclasses.dataclass(frozen=True)
class Ran:
    """One run at a target.

    Attributes:
      request_id: Id in the request.
      service: Service of the target.
      operation: Idempotency key; empty without one.
      leaked: Whether an API key reached the target.
      at: Start of the run in seconds.
    """

    request_id: str
    service: str
    operation: str = ""
    leaked: bool = False
    at: float = 0.0


def answers_are_own(asked: Iterable[Asked]) -> list[str]:
    """Checks that every answer with status 200 belongs to its request."""
    return [
        f"{one.request_id} got the answer to {one.answered_id or 'none'}"
        for one in asked
        if one.status == 200 and one.answered_id != one.request_id
    ]


def not_run_is_true(asked: Iterable[Asked], ran: Iterable[Ran]) -> list[str]:
    """Checks that no request ran whose only attempt was refused as not run."""
    runs = {(one.service, one.request_id) for one in ran}
    return [
        f"{one.request_id} was called not run and ran at {one.service}"
        for one in asked
        if one.not_run
        and one.attempts == 1
        and (one.service, one.request_id) in runs
    ]


def runs_are_bounded(ran: Iterable[Ran], *, most: int) -> list[str]:
    """Checks that no service ran a request more than `most` times."""
    counts = collections.Counter((one.service, one.request_id) for one in ran)
    return [
        f"{request_id} ran {count} times at {service}, allowed: {most}"
        for (service, request_id), count in counts.items()
        if count > most
    ]


def operations_ran_once(ran: Iterable[Ran]) -> list[str]:
    """Checks that no operation ran more than once at a service."""
    counts = collections.Counter(
        (one.service, one.operation) for one in ran if one.operation
    )
    return [
        f"operation {operation} ran {count} times at {service}"
        for (service, operation), count in counts.items()
        if count > 1
    ]


def keys_stayed_inside(ran: Iterable[Ran]) -> list[str]:
    """Checks that no target received an API key."""
    return [
        f"{one.request_id} reached {one.service} with a key"
        for one in ran
        if one.leaked
    ]


def important_shed_last(asked: Sequence[Asked]) -> list[str]:
    """Checks that no payment or confirmation failed while browsing was shed."""
    return [
        f"{one.request_id} was shed although important"
        for one in asked
        if one.important and one.status != 200
    ]


def nothing_after(ran: Iterable[Ran], *, left_at: float) -> list[str]:
    """Checks that no run began after `left_at`, in seconds."""
    return [
        f"{one.request_id} began {one.at - left_at:.3f} s after the leave"
        for one in ran
        if one.at > left_at
    ]


def rate_is_kept(
    times_ms: Sequence[float], *, rate: float, burst: float
) -> list[str]:
    """Checks that no interval has more calls than rate x duration + burst.

    Args:
      times_ms: Times of the admitted calls.
      rate: Calls per second.
      burst: Calls allowed above the rate.
    """
    times = sorted(times_ms)
    slack = 1e-6
    # The excess of an interval is the difference of two levels, where level =
    # count - rate x time. The worst interval that ends at a call begins at the
    # call with the lowest level so far, so only that one is kept, negated.
    violations = []
    lowest_negated = float("-inf")
    for count, time_ms in enumerate(times):
        level = count - rate * time_ms / 1_000
        lowest_negated = max(lowest_negated, -level)
        excess = level + 1 + lowest_negated - burst
        if excess > slack:
            violations.append(
                f"{excess:.3f} calls too many at {time_ms:.1f} ms"
            )
    return violations
