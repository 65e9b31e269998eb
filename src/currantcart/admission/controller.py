"""Admission of calls to one target: run, wait or refuse.

Pure: it is handed the time and returns typed decisions; the node acts on them.
"""

from __future__ import annotations

import dataclasses
import enum

from currantcart.admission import limit, queue
from currantcart.graph import model as graph_model

QUEUE_PER_SLOT = 2.0
QUEUE_MIN = 8
STANDING_MS = 100.0
SHED_MEMORY_MS = 500.0
SERVICE_TIME_WEIGHT = 0.05
RETRY_AFTER_MS_MIN = 100.0
RETRY_AFTER_MS_MAX = 30_000.0


class Verdict(enum.Enum):
    """What becomes of an offered call."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class DropReason(enum.StrEnum):
    """Why a call was refused or dropped."""

    QUEUE_FULL = "queue_full"
    DOOMED = "doomed"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A waiting call that is given up."""

    waiting: queue.Waiting
    reason: DropReason


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Answer to an offered call.

    Attributes:
      verdict: What becomes of it.
      reason: Why it is refused; None otherwise.
      dropped: Waiting calls given up in its favour.
    """

    verdict: Verdict
    reason: DropReason | None = None
    dropped: tuple[Dropped, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """What a freed slot leads to.

    Attributes:
      started: Calls that run now.
      dropped: Calls that are given up.
    """

    started: tuple[queue.Waiting, ...] = ()
    dropped: tuple[Dropped, ...] = ()


class AdmissionController:
    """Admission state of one target.

    Attributes:
      limit: Adaptive limit on running calls.
      queue: Waiting calls.
      running: Calls at the target now.
      service_ms: Moving mean of the target's time for a call.
      enabled: False admits everything; only for baselines.
    """

    def __init__(self, *, slots: int, now: float, enabled: bool = True) -> None:
        self.limit = limit.ConcurrencyLimit(slots=slots, now=now)
        self.queue = queue.FairQueue()
        self.running = 0
        self.service_ms = 0.0
        self.enabled = enabled
        self.capacity = max(QUEUE_MIN, int(slots * QUEUE_PER_SLOT))
        self.shed_until: dict[int, float] = {}
        self.standing_since_ms: float | None = None

    def offer(self, call: queue.Waiting, now: float) -> Offer:
        """Decides on a new call."""
        if not self.enabled:
            self.running += 1
            return Offer(Verdict.RUN)
        if self.running < int(self.limit.value) and self.queue.size == 0:
            self.running += 1
            self.queue.charge(call.workspace)
            return Offer(Verdict.RUN)
        if self.is_doomed(call, now):
            self.note_shed(call.priority, now)
            return Offer(Verdict.REFUSE, reason=DropReason.DOOMED)
        if self.queue.size < self.capacity:
            self.queue.push(call)
            return Offer(Verdict.WAIT)
        return self.offer_to_full_queue(call, now)

    def offer_to_full_queue(self, call: queue.Waiting, now: float) -> Offer:
        """Decides whether a new call takes a waiting one's place."""
        self.queue.push(call)
        victim = self.queue.victim()
        self.queue.take(victim)
        self.note_shed(victim.priority, now)
        if victim is call:
            return Offer(Verdict.REFUSE, reason=DropReason.QUEUE_FULL)
        return Offer(
            Verdict.WAIT,
            dropped=(Dropped(victim, DropReason.QUEUE_FULL),),
        )

    def is_doomed(self, call: queue.Waiting, now: float) -> bool:
        """Tells whether a call cannot finish before its caller gives up."""
        ahead = self.queue.fair_wait(call.workspace, call.priority)
        wait_ms = self.wait_for(ahead + 1)
        return now + wait_ms + self.service_ms > call.deadline_ms

    def wait_for(self, ahead: float) -> float:
        """Returns the expected wait behind a number of calls, in ms."""
        return ahead * self.service_ms / max(1.0, self.limit.value)

    def finish(
        self, now: float, *, latency_ms: float | None, overloaded: bool = False
    ) -> Released:
        """Frees the slot of a call that ended.

        Args:
          now: Present time.
          latency_ms: Time of the target for a whole answer; None when the
            call was cut and says nothing about the target.
          overloaded: The target itself refused for overload.

        Returns:
          What runs or is given up now.
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
        started: list[queue.Waiting] = []
        dropped: list[Dropped] = []
        while self.queue.size and self.running < int(self.limit.value):
            chosen = self.queue.pop(newest_first=self.is_standing(now))
            if now + self.service_ms > chosen.deadline_ms:
                # Running it would spend a slot on an answer that nobody
                # waits for: under overload such work is what keeps goodput
                # at zero after the trigger has passed.
                self.note_shed(chosen.priority, now)
                dropped.append(Dropped(chosen, DropReason.DOOMED))
                continue
            self.running += 1
            started.append(chosen)
        self.note_standing(now)
        return Released(tuple(started), tuple(dropped))

    def abandon(self, call: queue.Waiting) -> None:
        """Removes a waiting call whose caller left."""
        self.queue.take(call)

    def expire(self, now: float) -> tuple[Dropped, ...]:
        """Gives up waiting calls that can no longer finish in time."""
        expired = [
            call
            for call in self.queue
            if now + self.service_ms > call.deadline_ms
        ]
        for call in expired:
            self.queue.take(call)
            self.note_shed(call.priority, now)
        self.note_standing(now)
        return tuple(Dropped(call, DropReason.EXPIRED) for call in expired)

    def note_standing(self, now: float) -> None:
        """Remembers since when the queue has not been empty."""
        if self.queue.size == 0:
            self.standing_since_ms = None
        elif self.standing_since_ms is None:
            self.standing_since_ms = now

    def is_standing(self, now: float) -> bool:
        """Tells whether the queue is a standing one, not a passing burst."""
        since = self.standing_since_ms
        return since is not None and now - since > STANDING_MS

    def note_shed(self, priority: int, now: float) -> None:
        """Remembers that a call of a priority was shed."""
        self.shed_until[priority] = now + SHED_MEMORY_MS

    def shed_level(self, now: float) -> int:
        """Returns the highest priority shed lately, or `NO_SHEDDING`."""
        return max(
            (level for level, until in self.shed_until.items() if until > now),
            default=graph_model.NO_SHEDDING,
        )

    def retry_after_ms(self, call: queue.Waiting) -> float:
        """Returns when a refused caller has a fair chance again, in ms."""
        ahead = self.queue.fair_wait(call.workspace, call.priority)
        wait_ms = self.wait_for(ahead + 1) + self.service_ms
        return min(RETRY_AFTER_MS_MAX, max(RETRY_AFTER_MS_MIN, wait_ms))
