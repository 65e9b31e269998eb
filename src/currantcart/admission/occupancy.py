"""What holds the slots of a target: calls of other targets, and roots.

The two differ widely in work, and calls go first. One mean of
both says little about how long a root waits: what stands before it may be long
roots, and calls that come later still pass it.
"""

from __future__ import annotations

import enum
import math

SMOOTHING = 0.05
START_SERVICE_MS = 50.0
SHARE_MS = 500.0
"""Time over which the part of the slots that calls hold is smoothed."""
CALLS_SHARE_MAX = 0.9


class Kind(enum.IntEnum):
    """Kinds of requests at a target."""

    CALL = 0
    ROOT = 1


class Occupancy:
    """Who holds slots, and for how long.

    Attributes:
      service_ms: Smoothed time that a request of a kind holds its slot.
      running: Requests of a kind that hold one.
      calls_share: Smoothed part of the slots that calls hold.
    """

    def __init__(self) -> None:
        self.service_ms = dict.fromkeys(Kind, START_SERVICE_MS)
        self.running = dict.fromkeys(Kind, 0)
        self.calls_share = 0.0
        self.at = 0.0

    def settle(self, now: float, slots: int) -> None:
        """Smooths the share of the calls up to now."""
        weight = 1.0 - math.exp(min(0.0, self.at - now) / SHARE_MS)
        present = self.running[Kind.CALL] / max(1, slots)
        self.calls_share += weight * (present - self.calls_share)
        self.at = now

    def start(self, kind: Kind, now: float, slots: int) -> None:
        """Takes that a request got a slot."""
        self.settle(now, slots)
        self.running[kind] += 1

    def end(
        self, kind: Kind, now: float, slots: int, *, held_ms: float | None
    ) -> None:
        """Takes that a slot is free again.

        Args:
          kind: Kind of the request that had it.
          now: Milliseconds of the node's clock.
          slots: Slots of the target.
          held_ms: How long it was held; None when it was not used.
        """
        self.settle(now, slots)
        self.running[kind] -= 1
        if held_ms is not None:
            before = self.service_ms[kind]
            self.service_ms[kind] += SMOOTHING * (held_ms - before)

    def mean_ms(self) -> float:
        """Returns the mean time of what holds slots now."""
        held = sum(self.running.values())
        if not held:
            return self.service_ms[Kind.CALL]
        total = sum(
            count * self.service_ms[kind]
            for kind, count in self.running.items()
        )
        return total / held

    def wait_ms(self, kind: Kind, ahead: dict[Kind, int], slots: int) -> float:
        """Returns how long a request waits when all slots are taken.

        Args:
          kind: Its kind.
          ahead: Requests of each kind that wait before it.
          slots: Slots of the target.
        """
        work = self.mean_ms() + sum(
            count * self.service_ms[other] for other, count in ahead.items()
        )
        left = 1.0
        if kind is Kind.ROOT:
            left -= min(CALLS_SHARE_MAX, self.calls_share)
        return work / (max(1, slots) * left)
