"""Checkers of recorded histories; each returns the violations it finds.

They serve the tests, on histories in memory, and the experiments, on those of
real processes.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Sequence


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request as its caller saw it.

    Attributes:
      request_id: Id that it carried.
      service: Service that it called.
      status: HTTP status; 0 without an answer.
      answered_id: Id in the answer; empty without one.
      not_run: Whether the final answer says that it did not run.
      important: Whether it is a payment or a confirmation.
      attempts: Attempts that the caller made.
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
      request_id: Id that came with the call.
      service: Service of the target.
      operation: Idempotency key; empty without one.
      leaked: Whether a key reached the target.
      at: Seconds at which it began.
    """

    request_id: str
    service: str
    operation: str = ""
    leaked: bool = False
    at: float = 0.0


def answers_are_own(asked: Iterable[Asked]) -> list[str]:
    """Every good answer is the whole answer to its own request."""
    return [
        f"{one.request_id} got the answer to {one.answered_id or 'none'}"
        for one in asked
        if one.status == 200 and one.answered_id != one.request_id
    ]


def not_run_is_true(asked: Iterable[Asked], ran: Iterable[Ran]) -> list[str]:
    """Nothing ran of a request whose only attempt was refused as not run."""
    runs = {(one.service, one.request_id) for one in ran}
    return [
        f"{one.request_id} was called not run and ran at {one.service}"
        for one in asked
        if one.not_run
        and one.attempts == 1
        and (one.service, one.request_id) in runs
    ]


def runs_are_bounded(ran: Iterable[Ran], *, most: int) -> list[str]:
    """No service ran one request more often than its allowance lets it."""
    counts = collections.Counter((one.service, one.request_id) for one in ran)
    return [
        f"{request_id} ran {count} times at {service}, allowed: {most}"
        for (service, request_id), count in counts.items()
        if count > most
    ]


def operations_ran_once(ran: Iterable[Ran]) -> list[str]:
    """No operation ran more than once at a service."""
    counts = collections.Counter(
        (one.service, one.operation) for one in ran if one.operation
    )
    return [
        f"operation {operation} ran {count} times at {service}"
        for (service, operation), count in counts.items()
        if count > 1
    ]


def keys_stayed_inside(ran: Iterable[Ran]) -> list[str]:
    """No target saw a key."""
    return [
        f"{one.request_id} reached {one.service} with a key"
        for one in ran
        if one.leaked
    ]


def important_shed_last(asked: Sequence[Asked]) -> list[str]:
    """While browsing is shed, no payment or confirmation is."""
    return [
        f"{one.request_id} was shed although important"
        for one in asked
        if one.important and one.status != 200
    ]


def nothing_after(ran: Iterable[Ran], *, left_at: float) -> list[str]:
    """A target that left got no new work after a moment."""
    return [
        f"{one.request_id} began {one.at - left_at:.3f} s after the leave"
        for one in ran
        if one.at > left_at
    ]


def rate_is_kept(
    times_ms: Sequence[float], *, rate: float, burst: float
) -> list[str]:
    """No span of time holds more admitted calls than rate x time + burst."""
    times = sorted(times_ms)
    slack = 1e-6
    # The worst span ending at a call begins at the call that leaves most
    # room: keep the least of (rate x time - count) seen so far.
    found = []
    best = float("-inf")
    for count, time_ms in enumerate(times):
        level = count - rate * time_ms / 1_000
        best = max(best, -level)
        over = level + 1 + best - burst
        if over > slack:
            found.append(f"{over:.3f} calls too many at {time_ms:.1f} ms")
    return found
