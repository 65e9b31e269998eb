"""Decides which waiting requests a guard hands back to be placed elsewhere.

A request that waits at a full target has not run. While other targets of its
service have free slots, it is handed back to the node of its caller, early
enough to be served elsewhere within its objective.

The free slots of the others are known from statuses that are some time old, and
every guard with a queue sees the same ones. A guard therefore takes a part of
them only, its share of all requests that wait at the service's targets, and
takes them again only after about the time for which a request holds a slot.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence

from currantcart.admission import occupancy, slots

CODE = "handed_back"
"""Code of the refusal of a request that is handed back."""
WAIT_OF_OBJECTIVE = 0.25
"""Share of the objective that a request waits rather than being handed back.

What its caller has waited before counts as well.
"""
WAIT_MIN_MS = 60.0
"""Expected wait up to which a request stays, since a move takes time too."""
FREE_PART = 0.75
"""Part of the free slots elsewhere that all guards together hand back to.

The rest is left for arrivals that the statuses do not show yet.
"""
SHARE_MS = 300.0
"""Time in which a guard may take its share of the free slots once.

About as long as a request holds a slot: after that the slot is free again, and
the next status shows it.
"""
STATUS_AGE_MAX_MS = 1_200.0
"""Age from which a reported load is not used."""
MOVE_MS = 30.0
"""Time to hand a request back and to send it to another target."""
WORK_FACTOR = 1.25
"""Multiple of the mean service time that the objective must leave elsewhere."""


class Cause(enum.StrEnum):
    """Why a request is handed back.

    `LATE`: it would be refused here. `WAIT`: it would be served later here than
    elsewhere. `LEAVING`: the node ends.
    """

    LATE = "late"
    WAIT = "wait"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of the targets of a service, as last reported.

    Attributes:
      free: Free slots of all of them together.
      waiting: Requests that wait at those without a free slot.
    """

    free: float = 0.0
    waiting: float = 0.0

    def add(self, *, busy: float, limit: int) -> Load:
        """Returns the load with that of one more target."""
        spare = limit - busy
        return Load(
            self.free + max(0.0, spare), self.waiting + max(0.0, -spare)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A waiting request.

    Attributes:
      expected_ms: How long it will probably still wait.
      limit_ms: How long it may still wait before it is refused.
      objective_ms: Its latency objective.
      age_ms: How long its caller has waited so far.
      placements: How often it was placed elsewhere before.
    """

    expected_ms: float
    limit_ms: float
    objective_ms: float
    age_ms: float
    placements: int = 0


class Allowance:
    """How many requests one guard may hand back.

    A guard with a queue may take its share of the free slots within
    `SHARE_MS`. Shares are often below one request, so they accrue.

    Attributes:
      credit: Requests that may be handed back, including a part of one.
      updated_at: Time as of which `credit` holds.
    """

    def __init__(self) -> None:
        self.credit = 0.0
        self.updated_at = -math.inf

    def update(self, *, waiting: int, others: Load, now: float) -> int:
        """Returns how many requests may be handed back now.

        Args:
          waiting: Requests that wait at this guard.
          others: Load of the other targets of the service.
          now: Milliseconds of the node's clock.
        """
        since_ms = min(SHARE_MS, now - self.updated_at)
        self.updated_at = now
        if not waiting or not others.free:
            self.credit = 0.0
            return 0
        share = waiting / (waiting + others.waiting)
        usable = FREE_PART * others.free * share
        accrued = self.credit + usable * since_ms / SHARE_MS
        self.credit = min(accrued, max(1.0, usable))
        return int(self.credit)

    def take(self) -> None:
        """Counts a request that is handed back."""
        self.credit -= 1.0


def expected_waits(
    tickets: Iterable[slots.Ticket[slots.Item]],
    usage: occupancy.Occupancy,
    *,
    slot_count: int,
) -> list[float]:
    """Returns how long waiting requests will probably still wait, in ms.

    Args:
      tickets: The requests, in the order in which they are served.
      usage: Slot usage of the target.
      slot_count: Slots of the target.
    """
    ahead = dict.fromkeys(occupancy.Kind, 0)
    waits = []
    for ticket in tickets:
        kind = slots.kind_of(ticket.priority)
        waits.append(usage.wait_ms(kind, ahead, slot_count))
        ahead[kind] += 1
    return waits


def cause(
    request: Waiting, *, work_ms: float, moves_max: int, leaving: bool = False
) -> Cause | None:
    """Returns why a request should be placed elsewhere; None if it stays.

    Args:
      request: The request.
      work_ms: Usual service time of such a request.
      moves_max: How often one request may be handed back.
      leaving: Whether the node beside the target ends.
    """
    if request.placements >= moves_max:
        return None
    if leaving:
        return Cause.LEAVING
    if request.expected_ms > request.limit_ms:
        return Cause.LATE
    if request.expected_ms <= WAIT_MIN_MS:
        return None
    left_ms = request.objective_ms - request.age_ms
    in_time_elsewhere = left_ms > MOVE_MS + work_ms * WORK_FACTOR
    whole_ms = request.age_ms + request.expected_ms
    if in_time_elsewhere and (
        whole_ms > request.objective_ms * WAIT_OF_OBJECTIVE
    ):
        return Cause.WAIT
    return None


def select(
    causes: Sequence[Cause | None],
    waiting: Sequence[Waiting],
    *,
    allowed: int,
    soon_ms: float,
) -> list[int]:
    """Returns which requests are handed back.

    Those that would be refused within `soon_ms` go first, since the others can
    be handed back later; then the least urgent and youngest.

    Args:
      causes: Why each request should be placed elsewhere, in the order in
        which they are served.
      waiting: The same requests.
      allowed: How many may be handed back.
      soon_ms: Time until the next decision.

    Returns:
      Positions of the selected requests.
    """
    found = [index for index, item in enumerate(causes) if item is not None]
    found.sort(key=lambda index: (waiting[index].limit_ms > soon_ms, -index))
    return found[:allowed]
