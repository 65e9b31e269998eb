"""Hands waiting requests back to the nodes of their callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.admission import hand_back, slots
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import job as job_module
from currantcart.routing import picker


def load_of(
    targets: Iterable[picker.Target], *, besides: str, now: float
) -> hand_back.Load:
    """Returns the load of the other targets of a service.

    A target whose load is not known, or that gets no requests for a while,
    counts neither as free nor as full.

    Args:
      targets: Targets of the service.
      besides: Instance of the target that is left out.
      now: Milliseconds of the node's clock.
    """
    load = hand_back.Load()
    for target in targets:
        if (
            target.instance != besides
            and target.ready
            and max(target.closed_until, target.cold_until) <= now
            and now - target.reported_at < hand_back.STATUS_AGE_MAX_MS
        ):
            busy = target.load() * target.limit
            load = load.add(busy=busy, limit=target.limit)
    return load


class HandBacks:
    """Hands waiting requests of one guard back.

    Attributes:
      queue: The target's slots and the queue of requests that wait for one.
      allowance: How many requests may be handed back.
      targets: Returns the reachable targets of the service; set by the node.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        queue: slots.SlotQueue[job_module.Job],
    ) -> None:
        self.context = context
        self.queue = queue
        self.allowance = hand_back.Allowance()
        self.targets: Callable[[], Iterable[picker.Target]] = lambda: ()

    @property
    def moves_max(self) -> int:
        """How often one request may be handed back; 0 if none is.

        At a target that limits its rate, slots do not tell how long a request
        waits. Its requests are placed elsewhere as `target_limited`.
        """
        rate = self.queue.rate
        if rate.is_limited or not rate.is_known:
            return 0
        return self.context.settings.hand_back.moves_max

    def others(self) -> hand_back.Load:
        """Returns the load of the other targets of the service."""
        return load_of(
            self.targets(),
            besides=self.context.settings.instance,
            now=self.context.now,
        )

    def sweep(self, soon_ms: float) -> None:
        """Hands back the requests that are better placed elsewhere.

        Args:
          soon_ms: Time until the next sweep.
        """
        moves_max, now = self.moves_max, self.context.now
        if not moves_max or not self.queue.waiting:
            return
        others = self.others()
        allowed = self.allowance.update(
            waiting=self.queue.waiting, others=others, now=now
        )
        if not allowed:
            return
        tickets = self.queue.in_order()
        usage = self.queue.occupancy
        waits = hand_back.expected_waits(
            tickets, usage, slot_count=self.queue.slots
        )
        waiting = [
            as_waiting(ticket.item, ticket.wait_until, expected_ms, now)
            for ticket, expected_ms in zip(tickets, waits, strict=True)
        ]
        causes = [
            hand_back.cause(
                request,
                work_ms=usage.service_ms[slots.kind_of(ticket.priority)],
                moves_max=moves_max,
                leaving=self.context.leaving,
            )
            for ticket, request in zip(tickets, waiting, strict=True)
        ]
        selected = hand_back.select(
            causes, waiting, allowed=allowed, soon_ms=soon_ms
        )
        # All of them leave the queue before the first reply: a reply may end
        # other requests, and so free slots.
        withdrawn = [
            index for index in selected if self.queue.withdraw(tickets[index])
        ]
        for index in withdrawn:
            cause = causes[index]
            assert cause is not None
            self.reply(tickets[index].item, cause, waits[index], others)

    def hand_back_new(self, job: job_module.Job) -> bool:
        """Hands back a request that the queue has refused on its arrival.

        Returns:
          Whether it is handed back.
        """
        now = self.context.now
        if job.opening.placed_before >= self.moves_max:
            return False
        others = self.others()
        waiting = self.queue.waiting + 1
        if not self.allowance.update(waiting=waiting, others=others, now=now):
            return False
        expected_ms = self.queue.expected_wait_ms(job.opening.priority, now)
        self.reply(job, hand_back.Cause.LATE, expected_ms, others)
        return True

    def reply(
        self,
        job: job_module.Job,
        cause: hand_back.Cause,
        expected_ms: float,
        others: hand_back.Load,
    ) -> None:
        """Replies that a request did not run and never will at this target.

        Args:
          job: The request; it has no place in the queue any more.
          cause: Why it is handed back.
          expected_ms: How long it would probably have waited.
          others: Load of the other targets.
        """
        reply = job.take_refusal()
        if reply is None:
            return
        now = self.context.now
        self.allowance.take()
        waited_ms = now - job.arrived_at
        self.context.counts.add("handed_back", cause)
        self.context.counts.observe("handed_back_wait_seconds", waited_ms)
        self.context.log.event(
            hand_back.CODE,
            id=job.opening.request_id,
            cause=cause,
            priority=job.opening.priority,
            waited_ms=round(waited_ms),
            expected_ms=round(expected_ms),
            free=round(others.free),
            waiting_elsewhere=round(others.waiting),
            **self.queue.load(),
            left_ms=round(job.expires_at - now),
        )
        reply.refused(
            hand_back.CODE,
            at_target=False,
            retry_after_ms=self.queue.retry_after_ms(now),
        )


def as_waiting(
    job: job_module.Job, wait_until: float, expected_ms: float, now: float
) -> hand_back.Waiting:
    """Returns what decides whether a waiting request is handed back.

    Args:
      job: The request.
      wait_until: When it is refused if it is still waiting.
      expected_ms: How long it will probably still wait.
      now: Milliseconds of the node's clock.
    """
    opening = job.opening
    return hand_back.Waiting(
        expected_ms=expected_ms,
        limit_ms=wait_until - now,
        objective_ms=opening.objective_ms,
        age_ms=opening.age_ms + now - job.arrived_at,
        placements=opening.placed_before,
    )
