"""Admission control for one target: run, queue or refuse a call.

It has no side effects: callers pass the time in, and the node acts on the typed
decisions that it returns.
"""

from __future__ import annotations

import dataclasses
import enum

from currantcart.admission import limit, queue
from currantcart.graph import model as graph_model

QUEUE_PLACES_PER_SLOT = 2.0
QUEUE_MIN = 8
STANDING_QUEUE_MS = 100.0
SHED_LEVEL_TTL_MS = 500.0
SERVICE_TIME_WEIGHT = 0.05
RETRY_AFTER_MS_MIN = 100.0
RETRY_AFTER_MS_MAX = 30_000.0


class Verdict(enum.Enum):
    """Decision on an offered call."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class DropReason(enum.StrEnum):
    """Why a call was refused or dropped."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "doomed"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A waiting call that is dropped."""

    waiting: queue.WaitingCall
    reason: DropReason


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Decision on an offered call, and the calls dropped for it.

    Attributes:
      verdict: Whether it runs, waits or is refused.
      reason: Why it is refused; None otherwise.
      dropped: Waiting calls that are dropped in its favour.
    """

    verdict: Verdict
    reason: DropReason | None = None
    dropped: tuple[Dropped, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Calls that leave the queue when a slot is freed.

    Attributes:
      started: Calls that start to run.
      dropped: Calls that are dropped.
    """

    started: tuple[queue.WaitingCall, ...] = ()
    dropped: tuple[Dropped, ...] = ()


class AdmissionController:
    """Admission state of one target.

    Attributes:
      limit: Adaptive limit on running calls.
      queue: Waiting calls.
      running: Calls that the target is running.
      service_ms: Moving mean of the target's service time, in ms.
      enabled: False admits every call; only for baseline measurements.
    """

    def __init__(self, *, slots: int, now: float, enabled: bool = True) -> None:
        self.limit = limit.ConcurrencyLimit(slots=slots, now=now)
        self.queue = queue.FairQueue()
        self.running = 0
        self.service_ms = 0.0
        self.enabled = enabled
        self.capacity = max(QUEUE_MIN, int(slots * QUEUE_PLACES_PER_SLOT))
        self.shed_until: dict[int, float] = {}
        self.standing_since_ms: float | None = None

    def offer(self, call: queue.WaitingCall, now: float) -> Offer:
        """Decides whether a new call runs, waits or is refused."""
        if not self.enabled:
            self.running += 1
            return Offer(Verdict.RUN)
        if self.running < int(self.limit.value) and self.queue.size == 0:
            self.running += 1
            self.queue.charge(call.workspace)
            return Offer(Verdict.RUN)
        if self.will_miss_deadline(call, now):
            self.record_shed(call.priority, now)
            return Offer(Verdict.REFUSE, reason=DropReason.DEADLINE_UNREACHABLE)
        if self.queue.size < self.capacity:
            self.queue.push(call)
            return Offer(Verdict.WAIT)
        return self.offer_to_full_queue(call, now)

    def offer_to_full_queue(self, call: queue.WaitingCall, now: float) -> Offer:
        """Decides whether a new call replaces a waiting one."""
        self.queue.push(call)
        victim = self.queue.victim()
        self.queue.remove(victim)
        self.record_shed(victim.priority, now)
        if victim is call:
            return Offer(Verdict.REFUSE, reason=DropReason.QUEUE_FULL)
        return Offer(
            Verdict.WAIT,
            dropped=(Dropped(victim, DropReason.QUEUE_FULL),),
        )

    def will_miss_deadline(self, call: queue.WaitingCall, now: float) -> bool:
        """Returns whether a call is expected to miss its deadline."""
        ahead = self.queue.calls_ahead(call.workspace, call.priority)
        wait_ms = self.expected_wait_ms(ahead + 1)
        return now + wait_ms + self.service_ms > call.deadline_ms

    def expected_wait_ms(self, ahead: float) -> float:
        """Returns the expected wait behind a number of calls, in ms."""
        return ahead * self.service_ms / max(1.0, self.limit.value)

    def finish(
        self, now: float, *, latency_ms: float | None, overloaded: bool = False
    ) -> Released:
        """Frees the slot of a call that ended.

        Args:
          now: Current time, in ms.
          latency_ms: Time of the target for a complete response; None if the
            call was cut off, so that it says nothing about the target.
          overloaded: Whether the target refused the call for overload.

        Returns:
          The calls that start to run or are dropped.
        """
        if overloaded:
            self.limit.cut_for_overload()
        elif latency_ms is not None:
            self.limit.record(latency_ms, running=self.running, now=now)
            weight = SERVICE_TIME_WEIGHT if self.service_ms else 1.0
            self.service_ms += (latency_ms - self.service_ms) * weight
        self.running -= 1
        return self.fill(now)

    def fill(self, now: float) -> Released:
        """Starts waiting calls while slots are free."""
        started: list[queue.WaitingCall] = []
        dropped: list[Dropped] = []
        while self.queue.size and self.running < int(self.limit.value):
            call = self.queue.pop(newest_first=self.is_standing(now))
            if now + self.service_ms > call.deadline_ms:
                # Running it would spend a slot on a response that nobody waits
                # for. Under overload, such work keeps goodput at zero after
                # the trigger has passed.
                self.record_shed(call.priority, now)
                dropped.append(Dropped(call, DropReason.DEADLINE_UNREACHABLE))
                continue
            self.running += 1
            started.append(call)
        self.update_standing(now)
        return Released(tuple(started), tuple(dropped))

    def abandon(self, call: queue.WaitingCall) -> None:
        """Removes a waiting call whose caller left."""
        self.queue.remove(call)

    def expire(self, now: float) -> tuple[Dropped, ...]:
        """Drops waiting calls that can no longer finish in time."""
        expired = [
            call
            for call in self.queue
            if now + self.service_ms > call.deadline_ms
        ]
        for call in expired:
            self.queue.remove(call)
            self.record_shed(call.priority, now)
        self.update_standing(now)
        return tuple(Dropped(call, DropReason.EXPIRED) for call in expired)

    def update_standing(self, now: float) -> None:
        """Records since when the queue has not been empty."""
        if self.queue.size == 0:
            self.standing_since_ms = None
        elif self.standing_since_ms is None:
            self.standing_since_ms = now

    def is_standing(self, now: float) -> bool:
        """Returns whether the queue is a standing one, not a passing burst."""
        since = self.standing_since_ms
        return since is not None and now - since > STANDING_QUEUE_MS

    def record_shed(self, priority: int, now: float) -> None:
        """Records that a call of a priority was shed."""
        self.shed_until[priority] = now + SHED_LEVEL_TTL_MS

    def shed_level(self, now: float) -> int:
        """Returns the highest priority shed recently, or `NO_SHEDDING`."""
        return max(
            (level for level, until in self.shed_until.items() if until > now),
            default=graph_model.NO_SHEDDING,
        )

    def retry_after_ms(self, call: queue.WaitingCall) -> float:
        """Returns the delay after which a refused caller may retry, in ms."""
        ahead = self.queue.calls_ahead(call.workspace, call.priority)
        wait_ms = self.expected_wait_ms(ahead + 1) + self.service_ms
        return min(RETRY_AFTER_MS_MAX, max(RETRY_AFTER_MS_MIN, wait_ms))
