"""Slot occupancy of a target, by calls of other targets and by root requests.

The two kinds differ widely in work, and calls are served first. A common mean
would predict the wait of a root badly: the requests ahead of it may be long
roots, and calls that arrive later still overtake it.
"""

from __future__ import annotations

import enum
import math

SMOOTHING = 0.05
INITIAL_SERVICE_MS = 50.0
CALLS_SHARE_SMOOTHING_MS = 500.0
"""Time constant for smoothing the share of the slots that calls hold."""
CALLS_SHARE_MAX = 0.9


class Kind(enum.IntEnum):
    """Kind of a request at a target: a target's call, or a root request."""

    CALL = 0
    ROOT = 1


class Occupancy:
    """Slot usage by kind of request.

    Attributes:
      service_ms: Smoothed time that a request of each kind holds its slot.
      running: Requests of each kind that hold a slot.
      calls_share: Smoothed share of the slots that calls hold.
      updated_at: When `calls_share` was updated last.
    """

    def __init__(self) -> None:
        self.service_ms = dict.fromkeys(Kind, INITIAL_SERVICE_MS)
        self.running = dict.fromkeys(Kind, 0)
        self.calls_share = 0.0
        self.updated_at = 0.0

    def update_calls_share(self, now: float, slots: int) -> None:
        """Updates the smoothed share of the slots that calls hold."""
        weight = 1.0 - math.exp(
            min(0.0, self.updated_at - now) / CALLS_SHARE_SMOOTHING_MS
        )
        current = self.running[Kind.CALL] / max(1, slots)
        self.calls_share += weight * (current - self.calls_share)
        self.updated_at = now

    def start(self, kind: Kind, now: float, slots: int) -> None:
        """Records that a request got a slot."""
        self.update_calls_share(now, slots)
        self.running[kind] += 1

    def end(
        self, kind: Kind, now: float, slots: int, *, held_ms: float | None
    ) -> None:
        """Records that a slot is free again.

        Args:
          kind: Kind of the request that held it.
          now: Milliseconds of the node's clock.
          slots: Slots of the target.
          held_ms: How long it was held; None if it was not used.
        """
        self.update_calls_share(now, slots)
        self.running[kind] -= 1
        if held_ms is not None:
            before = self.service_ms[kind]
            self.service_ms[kind] += SMOOTHING * (held_ms - before)

    def mean_ms(self) -> float:
        """Returns the mean service time of the requests that hold slots."""
        held = sum(self.running.values())
        if not held:
            return self.service_ms[Kind.CALL]
        total = sum(
            count * self.service_ms[kind]
            for kind, count in self.running.items()
        )
        return total / held

    def wait_ms(self, kind: Kind, ahead: dict[Kind, int], slots: int) -> float:
        """Returns how long a request waits if all slots are in use, in ms.

        Args:
          kind: Kind of the request.
          ahead: Waiting requests of each kind that are served before it.
          slots: Slots of the target.
        """
        work = self.mean_ms() + sum(
            count * self.service_ms[other] for other, count in ahead.items()
        )
        available_share = 1.0
        if kind is Kind.ROOT:
            available_share -= min(CALLS_SHARE_MAX, self.calls_share)
        return work / (max(1, slots) * available_share)
