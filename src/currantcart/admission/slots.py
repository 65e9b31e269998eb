"""Who runs at a target, who waits and who is refused.

The guard is the only one that hands requests to its target, so the target's
slots are a local matter: it never gets more than it runs at once, and what
waits does so here, in order of importance, where it can still be refused as
"not run".
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
from typing import Generic, TypeVar

from currantcart.admission import occupancy

Item = TypeVar("Item")

SLOTS_USED = 0.93
"""Part of a target's slots that is used at once.

Targets slow down when they are nearly full, and a new connection may hold a
slot as well.
"""
WAIT_OF_OBJECTIVE = 0.45
"""Part of the latency objective that may be spent waiting.

The rest is for the work and the way back: an answer that comes after the
objective is worth less, and its slot would have served another.
"""
WAIT_OF_TIME_LEFT = 0.5
CALLS_PRIORITY = 0
"""Priority of a target's own call of which nothing is known.

Those of which the rank of their root is known have lower numbers and go before
it; all roots have higher ones.
"""
CALL_RANKS = 512
CALL_WAIT_OF_TIME_LEFT = 0.7
"""Part of the time left that a target's own call may wait.

Refused, it would fail the request above it and waste all that was done for
that one; so it waits for as long as it can still be answered.
"""
WORK_MARGIN = 1.25
"""Part of the mean work that a root's objective must leave for the work."""
LATE_WAIT_OF_OBJECTIVE = 0.1
"""Wait of a root that can no longer be answered within its objective."""
RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_MAX_MS = 2_000.0


def call_priority(rank: int | None) -> int:
    """Returns the priority of a target's own call by the rank of its root."""
    return CALLS_PRIORITY if rank is None else rank - CALL_RANKS


def root_rank(priority: int) -> int | None:
    """Returns the rank of the root of what has a priority, if it is known."""
    if priority == CALLS_PRIORITY:
        return None
    return priority if priority > CALLS_PRIORITY else priority + CALL_RANKS


def kind_of(priority: int) -> occupancy.Kind:
    """Returns what kind of request has a priority."""
    if priority <= CALLS_PRIORITY:
        return occupancy.Kind.CALL
    return occupancy.Kind.ROOT


class Verdict(enum.Enum):
    """What happens to a request that arrives."""

    RUN = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(slots=True)
class Ticket(Generic[Item]):
    """A request's place at a target.

    Attributes:
      item: The request.
      priority: Its rank; 0 is the most urgent.
      give_up_at: When it is refused if it still waits.
      started_at: When it got its slot; negative while it waits.
      gone: Whether it left the queue without a slot.
    """

    item: Item
    priority: int
    give_up_at: float
    started_at: float = -1.0
    gone: bool = False


class SlotQueue(Generic[Item]):
    """The slots of one target and the queue before them.

    Attributes:
      slots: Requests that may run at once.
      running: Requests that run.
      waiting: Requests that wait.
      occupancy: What holds the slots.
    """

    def __init__(self) -> None:
        self.slots = 0
        self.running = 0
        self.waiting = 0
        self.occupancy = occupancy.Occupancy()
        self.heap: list[tuple[int, int, Ticket[Item]]] = []
        self.ranks: dict[int, int] = {}
        self.numbers = itertools.count()

    def configure(self, slots: int) -> None:
        """Takes what the target says it runs at once."""
        self.slots = max(1, int(slots * SLOTS_USED))

    def expected_wait_ms(self, priority: int) -> float:
        """Returns how long a new request of a priority would wait."""
        if self.running < self.slots:
            return 0.0
        ahead = dict.fromkeys(occupancy.Kind, 0)
        for rank, count in self.ranks.items():
            if rank <= priority:
                ahead[kind_of(rank)] += count
        return self.occupancy.wait_ms(kind_of(priority), ahead, self.slots)

    def patience_ms(
        self,
        priority: int,
        *,
        objective_ms: float,
        age_ms: float,
        left_ms: float,
    ) -> float:
        """Returns how long a request may wait here.

        A root that waits until its answer is late takes a slot from one that
        could still be answered in time, so its work is taken off its
        objective first, and so is what it has waited elsewhere.

        Args:
          priority: Its priority.
          objective_ms: Its latency objective.
          age_ms: How long its caller has waited already.
          left_ms: How long its caller waits from now on.
        """
        if priority <= CALLS_PRIORITY:
            return left_ms * CALL_WAIT_OF_TIME_LEFT
        work_ms = self.occupancy.service_ms[occupancy.Kind.ROOT] * WORK_MARGIN
        in_time = min(
            objective_ms * WAIT_OF_OBJECTIVE, objective_ms - age_ms - work_ms
        )
        late = objective_ms * LATE_WAIT_OF_OBJECTIVE
        return min(max(in_time, late), left_ms * WAIT_OF_TIME_LEFT)

    def offer(
        self,
        item: Item,
        *,
        priority: int,
        now: float,
        objective_ms: float,
        expires_at: float,
        age_ms: float = 0.0,
    ) -> tuple[Verdict, Ticket[Item]]:
        """Decides on a request that arrives.

        Args:
          item: The request.
          priority: Its rank.
          now: Milliseconds of the node's clock.
          objective_ms: Its latency objective.
          expires_at: When nobody waits for it any more.
          age_ms: How long its caller has waited already.
        """
        patience = self.patience_ms(
            priority,
            objective_ms=objective_ms,
            age_ms=age_ms,
            left_ms=expires_at - now,
        )
        ticket = Ticket(item, priority, now + patience)
        if self.running < self.slots and self.waiting == 0:
            self.take_slot(ticket, now)
            return Verdict.RUN, ticket
        if self.expected_wait_ms(priority) > patience:
            ticket.gone = True
            return Verdict.REFUSE, ticket
        heapq.heappush(self.heap, (priority, next(self.numbers), ticket))
        self.waiting += 1
        self.ranks[priority] = self.ranks.get(priority, 0) + 1
        return Verdict.WAIT, ticket

    def withdraw(self, ticket: Ticket[Item]) -> None:
        """Takes a request out of the queue."""
        if not ticket.gone and ticket.started_at < 0:
            ticket.gone = True
            self.leave(ticket)

    def leave(self, ticket: Ticket[Item]) -> None:
        """Counts a request out of the queue."""
        self.waiting -= 1
        self.ranks[ticket.priority] -= 1

    def take_slot(self, ticket: Ticket[Item], now: float) -> None:
        """Gives a slot to a request."""
        self.running += 1
        ticket.started_at = now
        self.occupancy.start(kind_of(ticket.priority), now, self.slots)

    def release(self, ticket: Ticket[Item], now: float) -> None:
        """Frees the slot of a request that has ended."""
        self.running -= 1
        self.occupancy.end(
            kind_of(ticket.priority),
            now,
            self.slots,
            held_ms=now - ticket.started_at,
        )

    def forfeit(self, ticket: Ticket[Item], now: float) -> None:
        """Frees the slot of a request that did not start after all."""
        self.running -= 1
        self.occupancy.end(
            kind_of(ticket.priority), now, self.slots, held_ms=None
        )

    def next(self, now: float) -> Ticket[Item] | None:
        """Gives a free slot to the most urgent request that waits."""
        while self.heap and self.running < self.slots:
            ticket = heapq.heappop(self.heap)[2]
            if ticket.gone:
                continue
            self.leave(ticket)
            self.take_slot(ticket, now)
            return ticket
        return None

    def overdue(self, now: float) -> list[Ticket[Item]]:
        """Takes out the requests that have waited for too long."""
        late = [
            entry[2]
            for entry in self.heap
            if not entry[2].gone and entry[2].give_up_at <= now
        ]
        for ticket in late:
            self.withdraw(ticket)
        if late:
            self.heap = [entry for entry in self.heap if not entry[2].gone]
            heapq.heapify(self.heap)
        return late

    def retry_after_ms(self) -> float:
        """Returns when coming back may help: when the queue has drained."""
        mean = self.occupancy.mean_ms()
        drained = (self.waiting + 1) * mean / max(1, self.slots)
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, drained))
