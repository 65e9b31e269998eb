"""Decides which requests run at a target, wait for a slot or are refused.

All requests to a target pass its guard, so its slots are managed locally. The
target never gets more requests than it runs concurrently, nor more per second
than it has stated. The others wait here in order of importance, where they can
still be refused as "not run".
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import math
from typing import Generic, TypeVar

from currantcart.admission import fair_share, occupancy, target_rate
from currantcart.workspace import usage

Item = TypeVar("Item")

USED_SLOTS_SHARE = 0.93
"""Share of a target's slots that is used.

Targets slow down when nearly all slots are in use, and a new connection may
hold a slot as well.
"""
WAIT_OF_OBJECTIVE = 0.45
"""Share of the latency objective that may be spent waiting.

The rest is for the work and the response. A response after the objective has
less value, and its slot could have served another request.
"""
WAIT_OF_TIME_LEFT = 0.5
CALLS_PRIORITY = 0
"""Priority of a call made by a target if the rank of its root is unknown.

Calls with a known root rank have lower numbers and are served before it; all
roots have higher numbers.
"""
CALL_RANKS = 512
CALL_WAIT_OF_TIME_LEFT = 0.7
"""Share of the time left that a call made by a target may wait.

A refused call fails its parent request and wastes the work done for it, so a
call waits for as long as it can still be answered.
"""
WORK_FACTOR = 1.25
"""Multiple of the mean service time that a root's objective must allow for."""
LATE_WAIT_OF_OBJECTIVE = 0.1
"""Share of the objective that a root may wait if it can no longer meet it."""
RETRY_AFTER_MIN_MS = 100.0
RETRY_AFTER_MAX_MS = 2_000.0
PRIORITIES_MAX = 64
"""Priorities for which the usage by workspace is kept."""


def call_priority(rank: int | None) -> int:
    """Returns the priority of a target's call by the rank of its root."""
    return CALLS_PRIORITY if rank is None else rank - CALL_RANKS


def root_rank(priority: int) -> int | None:
    """Returns the rank of the root for a priority, or None if not known."""
    if priority == CALLS_PRIORITY:
        return None
    return priority if priority > CALLS_PRIORITY else priority + CALL_RANKS


def kind_of(priority: int) -> occupancy.Kind:
    """Returns the kind of a request from its priority."""
    if priority <= CALLS_PRIORITY:
        return occupancy.Kind.CALL
    return occupancy.Kind.ROOT


class Verdict(enum.Enum):
    """Decision on a request that arrives."""

    RUN = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(slots=True)
class Ticket(Generic[Item]):
    """State of a request at a target.

    Attributes:
      item: The request.
      priority: Its priority; the lowest number is the most urgent.
      wait_until: When it is refused if it is still waiting.
      started_at: When it got its slot; negative while it waits.
      discarded: Whether it was refused, or left the queue without a slot.
      workspace: Workspace that it belongs to; empty if none is known.
      weight: Weight of the workspace in fair shares.
      tag: Its place among the requests of its priority; the lowest goes first.
      number: Its place among those with the same tag.
      overtakes: Whether it went before one that waited already.
    """

    item: Item
    priority: int
    wait_until: float
    started_at: float = -1.0
    discarded: bool = False
    workspace: str = ""
    weight: float = usage.WEIGHT_DEFAULT
    tag: float = 0.0
    number: int = 0
    overtakes: bool = False

    def entry(self) -> Entry[Item]:
        """Returns its entry in the heap of waiting requests."""
        return (self.priority, (self.tag, self.number), self)


Entry = tuple[int, tuple[float, int], Ticket[Item]]
"""Priority of a waiting request, its place within it, and the request."""


class SlotQueue(Generic[Item]):
    """Slots of one target, and the queue of requests that wait for one.

    Attributes:
      slots: Requests that may run concurrently.
      running: Requests that are running.
      waiting: Requests that are waiting.
      rate: Requests per second that the target accepts.
      occupancy: Slot usage by kind of request.
      fair: Whether requests of the same priority are ordered by what their
        workspaces were given before. Calls of targets are always served in
        order of arrival: a call that is refused wastes the work done for its
        root.
      tags: Order by workspace, by priority.
    """

    def __init__(
        self,
        rate: target_rate.TargetRate | None = None,
        *,
        fair: bool = False,
    ) -> None:
        self.slots = 0
        self.running = 0
        self.waiting = 0
        self.rate = rate or target_rate.TargetRate()
        self.occupancy = occupancy.Occupancy()
        self.fair = fair
        self.tags: dict[int, fair_share.Tags] = {}
        self.heap: list[Entry[Item]] = []
        self.ranks: dict[int, int] = {}
        self.numbers = itertools.count()

    def configure(self, slots: int) -> None:
        """Sets the slots from the number that the target announces."""
        self.slots = max(1, int(slots * USED_SLOTS_SHARE))

    def load(self) -> dict[str, int]:
        """Returns the numbers of running and waiting requests and of slots."""
        return {
            "running": self.running,
            "waiting": self.waiting,
            "slots": self.slots,
        }

    def expected_wait_ms(
        self, priority: int, now: float, *, behind: int = 0
    ) -> float:
        """Returns the expected wait of a new request, in ms.

        Args:
          priority: Priority of the request.
          now: Milliseconds of the node's clock.
          behind: Waiting requests of its priority that go after it.
        """
        ahead = sum(self.ahead_of(priority).values()) - behind
        rate_wait_ms = self.rate.expected_wait_ms(now, ahead=ahead)
        return max(rate_wait_ms, self.slot_wait_ms(priority, behind=behind))

    def slot_wait_ms(self, priority: int, *, behind: int = 0) -> float:
        """Returns the expected wait of a new request for a slot, in ms."""
        if self.running < self.slots:
            return 0.0
        ahead = self.ahead_of(priority)
        ahead[kind_of(priority)] -= behind
        return self.occupancy.wait_ms(kind_of(priority), ahead, self.slots)

    def ahead_of(self, priority: int) -> dict[occupancy.Kind, int]:
        """Returns how many requests wait before one of a priority, by kind."""
        ahead = dict.fromkeys(occupancy.Kind, 0)
        for rank, count in self.ranks.items():
            if rank <= priority:
                ahead[kind_of(rank)] += count
        return ahead

    def wait_limit_ms(
        self,
        priority: int,
        *,
        objective_ms: float,
        age_ms: float,
        left_ms: float,
    ) -> float:
        """Returns how long a request may wait for a slot, in ms.

        A root whose response is late takes a slot from one that could still be
        answered in time. The expected work of a root, and the time that it has
        already waited elsewhere, are therefore subtracted from its objective.

        Args:
          priority: Priority of the request.
          objective_ms: Latency objective of the request.
          age_ms: How long its caller has waited so far.
          left_ms: How long its caller continues to wait.
        """
        if priority <= CALLS_PRIORITY:
            return left_ms * CALL_WAIT_OF_TIME_LEFT
        work_ms = self.occupancy.service_ms[occupancy.Kind.ROOT] * WORK_FACTOR
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
        wait_ms_max: float = math.inf,
        workspace: str = "",
        weight: float = 0.0,
    ) -> tuple[Verdict, Ticket[Item]]:
        """Decides whether a request runs, waits or is refused.

        Args:
          item: The request.
          priority: Priority of the request.
          now: Milliseconds of the node's clock.
          objective_ms: Latency objective of the request.
          expires_at: When its caller stops waiting.
          age_ms: How long its caller has waited so far.
          wait_ms_max: Longest wait in any case.
          workspace: Workspace that it belongs to; empty if none is known.
          weight: Weight of the workspace in fair shares; 0 if not given.

        Returns:
          The decision, and the ticket of the request.
        """
        wait_limit = self.wait_limit_ms(
            priority,
            objective_ms=objective_ms,
            age_ms=age_ms,
            left_ms=expires_at - now,
        )
        wait_limit = min(wait_limit, wait_ms_max)
        ticket = Ticket(
            item,
            priority,
            now + wait_limit,
            workspace=workspace,
            weight=usage.valid_weight(weight),
            number=next(self.numbers),
        )
        tags = self.tags_of(priority)
        if tags is not None:
            ticket.tag = tags.next_tag(workspace)
        if self.waiting == 0 and self.may_start(now):
            self.assign_slot(ticket, now)
            return Verdict.RUN, ticket
        if self.expected_wait_of(ticket, tags, now) > wait_limit:
            ticket.discarded = True
            return Verdict.REFUSE, ticket
        if tags is not None:
            tags.add_waiting(workspace, ticket.weight, ticket.tag)
        heapq.heappush(self.heap, ticket.entry())
        self.waiting += 1
        self.ranks[priority] = self.ranks.get(priority, 0) + 1
        return Verdict.WAIT, ticket

    def expected_wait_of(
        self, ticket: Ticket[Item], tags: fair_share.Tags | None, now: float
    ) -> float:
        """Returns the expected wait of a request that has just arrived.

        One of a workspace above its share is overtaken by later ones. Without
        this, it would be accepted, and refused only after a long wait.

        Args:
          ticket: The request.
          tags: Order by workspace of its priority; None without one.
          now: Milliseconds of the node's clock.
        """
        if tags is None:
            return self.expected_wait_ms(ticket.priority, now)
        behind = tags.behind(ticket.tag)
        ticket.overtakes = behind > 0
        wait_ms = self.expected_wait_ms(ticket.priority, now, behind=behind)
        return tags.expected_wait_ms(ticket.tag, wait_ms, now)

    def is_shared(self, priority: int) -> bool:
        """Returns whether a priority is served by usage of the workspaces."""
        return self.fair and priority > CALLS_PRIORITY

    def tags_of(self, priority: int) -> fair_share.Tags | None:
        """Returns the order by workspace of a priority, if there is one."""
        if not self.is_shared(priority):
            return None
        tags = self.tags.get(priority)
        if tags is None:
            if len(self.tags) >= PRIORITIES_MAX:
                self.tags = {
                    known: tags
                    for known, tags in self.tags.items()
                    if self.ranks.get(known)
                }
            tags = self.tags[priority] = fair_share.Tags()
        return tags

    def use_fair(self, *, fair: bool) -> None:
        """Turns the order by workspace on or off; arrival decides if off."""
        if fair == self.fair:
            return
        self.fair = fair
        self.tags.clear()
        self.rebuild()

    def rebuild(self) -> None:
        """Removes discarded requests from the heap, and orders it again.

        A workspace is not charged for requests that were not served: those of
        it that still wait move up.
        """
        waiting = [entry[2] for entry in self.heap if not entry[2].discarded]
        for tags in self.tags.values():
            tags.reset_waiting()
        for ticket in sorted(waiting, key=lambda ticket: ticket.number):
            tags_of_rank = self.tags_of(ticket.priority)
            ticket.tag = 0.0
            if tags_of_rank is not None:
                ticket.tag = tags_of_rank.next_tag(ticket.workspace)
                tags_of_rank.add_waiting(
                    ticket.workspace, ticket.weight, ticket.tag
                )
        self.heap = [ticket.entry() for ticket in waiting]
        heapq.heapify(self.heap)

    def may_start(self, now: float) -> bool:
        """Returns whether a slot is free and the rate allows a request."""
        return self.running < self.slots and not self.rate.wait_ms(now)

    def withdraw(self, ticket: Ticket[Item]) -> bool:
        """Removes a waiting request from the queue.

        Returns:
          Whether it was still waiting. If not, it has started or ended, and
          nothing may be concluded from its place in the queue.
        """
        if ticket.discarded or ticket.started_at >= 0:
            return False
        ticket.discarded = True
        self.count_out(ticket)
        return True

    def withdraw_all(self) -> list[Ticket[Item]]:
        """Removes and returns all waiting requests."""
        return [ticket for _, _, ticket in self.heap if self.withdraw(ticket)]

    def count_out(self, ticket: Ticket[Item]) -> None:
        """Updates the counts for a request that leaves the queue."""
        self.waiting -= 1
        self.ranks[ticket.priority] -= 1
        tags = self.tags_of(ticket.priority)
        if tags is not None:
            tags.remove_waiting(ticket.tag)

    def assign_slot(self, ticket: Ticket[Item], now: float) -> None:
        """Assigns a slot to a request."""
        self.running += 1
        self.rate.take(now)
        ticket.started_at = now
        tags = self.tags_of(ticket.priority)
        if tags is not None:
            tags.serve(
                ticket.workspace,
                ticket.weight,
                ticket.tag,
                now,
                overtakes=ticket.overtakes,
            )
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

    def release_unused(self, ticket: Ticket[Item], now: float) -> None:
        """Frees the slot of a request that did not start."""
        self.running -= 1
        self.rate.give_back()
        self.occupancy.end(
            kind_of(ticket.priority), now, self.slots, held_ms=None
        )

    def start_next(self, now: float) -> Ticket[Item] | None:
        """Assigns a free slot to the most urgent waiting request.

        Returns:
          Its ticket; None if none may start or no request waits.
        """
        while self.heap and self.may_start(now):
            ticket = heapq.heappop(self.heap)[2]
            if ticket.discarded:
                continue
            self.count_out(ticket)
            self.assign_slot(ticket, now)
            return ticket
        return None

    def in_order(self) -> list[Ticket[Item]]:
        """Returns the waiting requests in the order in which they start."""
        return [
            entry[-1] for entry in sorted(self.heap) if not entry[-1].discarded
        ]

    def remove_overdue(self, now: float) -> list[Ticket[Item]]:
        """Removes and returns the requests that have waited too long."""
        late = [
            entry[2]
            for entry in self.heap
            if not entry[2].discarded and entry[2].wait_until <= now
        ]
        for ticket in late:
            self.withdraw(ticket)
        if late:
            self.rebuild()
        return late

    def retry_after_ms(self, now: float) -> float:
        """Returns the delay until the queue should have drained, in ms."""
        mean_ms = self.occupancy.mean_ms()
        drained_ms = max(
            (self.waiting + 1) * mean_ms / max(1, self.slots),
            self.rate.expected_wait_ms(now, ahead=self.waiting),
        )
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, drained_ms))
