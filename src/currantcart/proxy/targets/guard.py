"""Admission to the local target; all requests to it pass through the guard."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from currantcart.admission import pressure, slots, target_rate
from currantcart.call import lineage, origin
from currantcart.proxy import context as proxy_context
from currantcart.proxy import evidence
from currantcart.proxy.streams import frames
from currantcart.proxy.targets import (
    connectivity,
    hand_backs,
    overload,
    statements,
    target_end,
    target_exchange,
    target_usage,
    trials,
    warm_up,
)
from currantcart.proxy.targets import job as job_module

LATE_MS = 40.0
"""Time left below which a request to the target is refused."""
SWEEP_SECONDS = 0.02
LIMITED_WAIT_MS = 100.0
"""Longest wait at a target with a rate limit, before others were tried.

Other targets of the service often have room at once.
"""


class Guard:
    """Admission to one target, and the exchange with it.

    Attributes:
      target_id: The target's id; empty while none is known.
      born: Incarnation of the target: start time of its process, in
        milliseconds since 1970.
      slot_count: Requests that the target runs concurrently, as it reports.
      ready: Whether the target accepts requests.
      warm_up: Whether the target is cold, and what it bears then.
      connectivity: Whether the target accepts connections.
      ends: Detects that the target's process has ended.
      statements: What the target states about itself in its answers.
      queue: The target's slots and the queue of requests that wait for one.
      running: Requests that hold a slot, by object identity.
      by_request: The same requests, by request id.
      exchange: Connections to the target.
      overload: Overload level of the target.
      hand_backs: Hands waiting requests back to be placed elsewhere.
      usage: Demand on the target by workspace.
      on_leaving: Called with the target's id and incarnation when it states
        that it is leaving; set by the node.
      publish: Sends the node's status to its peers; set by the node.
      sweeping: Timer of the next sweep; None while no request waits.
      starting: Scheduled start of waiting requests; None if none is scheduled.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        self.context = context
        self.loop = context.loop
        self.target_id = ""
        self.born = 0
        self.slot_count = 1
        self.ready = False
        self.queue: slots.SlotQueue[job_module.Job] = slots.SlotQueue(
            target_rate.TargetRate()
            if context.settings.first_start
            else target_rate.unknown(),
            fair=context.settings.fair_shares.enabled,
        )
        self.running: dict[int, job_module.Job] = {}
        self.by_request: dict[str, job_module.Job] = {}
        self.exchange = target_exchange.TargetExchange(context, self)
        self.connectivity = connectivity.Connectivity(
            context,
            connections=self.exchange.pool,
            is_used=lambda: self.ready,
            on_change=self.handle_connectivity,
        )
        self.ends = target_end.EndDetector(
            context,
            connections=self.exchange.pool,
            running=self.running.values,
            on_refused=lambda: self.mark_unreachable(refused=True),
        )
        self.warm_up = warm_up.WarmUp(context, connections=self.exchange.pool)
        self.statements = statements.Statements(context)
        self.overload = overload.Overload(context, queue=self.queue)
        self.hand_backs = hand_backs.HandBacks(context, queue=self.queue)
        self.usage = target_usage.TargetUsage(context)
        self.on_leaving: Callable[[str, int], object] = lambda _id, _born: None
        self.publish: Callable[[], None] = lambda: None
        self.sweeping: asyncio.TimerHandle | None = None
        self.starting: asyncio.Handle | None = None

    def set_target(
        self,
        *,
        target_id: str,
        slot_count: int,
        ready: bool,
        cold_ms: float,
        born: int,
    ) -> None:
        """Applies a report of the target and starts requests that wait.

        Args:
          target_id: Id of the target.
          slot_count: Requests that it runs concurrently.
          ready: Whether it accepts requests; if not, those that wait are
            refused.
          cold_ms: Remaining warm-up time.
          born: Start of its incarnation, in milliseconds since 1970.
        """
        if (target_id, born) != (self.target_id, self.born):
            self.record_end("new_incarnation")
        if target_id != self.target_id:
            self.exchange.reset()
        if (target_id, born) != (self.target_id, self.born):
            self.statements.reset()
            self.exchange.reset_speed()
            self.queue.rate.forget_limit(self.context.now)
        self.target_id = target_id
        self.born = born
        self.slot_count = slot_count
        self.ready = ready
        self.connectivity.mark_up()
        self.warm_up.set_remaining(cold_ms)
        self.queue.configure(slot_count)
        if not ready:
            self.refuse_waiting("target_leaving")
        self.run_waiting()

    def mark_unreachable(self, *, refused: bool) -> None:
        """Stops admission to a target that accepts no connections.

        Args:
          refused: Whether it refuses them, so that its process has ended.
        """
        if refused:
            self.record_end("refused")
        self.connectivity.mark_down()

    def record_end(self, cause: str) -> None:
        """Records that the target's process has ended.

        One that has left, or whose failure domain is evacuated, has ended as
        announced.
        """
        if self.ready and not self.is_evacuated:
            self.ends.record_end(target_id=self.target_id, cause=cause)
        else:
            self.ends.forget()

    def record_unanswered(self, job: job_module.Job) -> None:
        """Records a request that left the target without an answer."""
        self.ends.record_unanswered(job)

    def report_lost(self, job: job_module.Job) -> None:
        """Replies that the outcome is unknown, since the connection ended."""
        self.ends.report_lost(job, is_up=self.connectivity.up)

    def handle_connectivity(self) -> None:
        """Publishes that the target is down or up again.

        A target that is up again has probably started anew, and is cold until
        its report says otherwise.
        """
        up = self.connectivity.up
        self.context.log.event(
            "target_up" if up else "target_down", target=self.target_id
        )
        if up:
            self.warm_up.assume_cold(self.target_id)
        else:
            self.refuse_waiting("target_unreachable")
        self.publish()

    def mark_target_leaving(self) -> None:
        """Stops admission to a target that leaves, as another source reports.

        The sources are peers, the target's answers and the record of the
        previous process.
        """
        self.ready = False
        self.refuse_waiting("target_leaving")

    def state(self) -> frames.TargetState:
        """Returns the target's state as published to peers."""
        state = frames.TargetState(
            target_id=self.target_id,
            ready=self.is_open,
            limit=self.limit(),
            busy=self.busy,
            cold_ms=math.ceil(self.warm_up.remaining_ms()),
            pressure=pressure.quantize(self.overload.pressure()),
            leaving=bool(self.target_id) and not self.ready,
            born=self.born,
            work_ms=math.ceil(self.exchange.work_time.reported_ms),
            usage=self.usage.update(own_level=self.overload.gauge.level),
        )
        if self.context.settings.placement.by_completion:
            now = self.context.now
            state.work_by_kind = self.exchange.work_by_kind.report(now)
            state.slow_now = self.exchange.pace.slow_now(now)
        return state

    @property
    def admits(self) -> bool:
        """Whether the target accepts requests and connections."""
        return self.ready and self.connectivity.up

    @property
    def is_open(self) -> bool:
        """Whether peers may place requests on the target."""
        return self.admits and not self.context.leaving

    @property
    def is_evacuated(self) -> bool:
        """Whether the target's failure domain is evacuated."""
        own = self.context.settings.failure_domain
        return own in self.context.evacuations.domains

    def life_cycle(self) -> tuple[str, int, bool, bool, float]:
        """Returns what is published at once when it has changed.

        These are the target's id and incarnation, whether it accepts requests,
        whether peers may place on it, and its stated limit.
        """
        return (
            self.target_id,
            self.born,
            self.ready,
            self.is_open,
            self.statements.limit,
        )

    def limit(self) -> int:
        """Returns the requests that the target is given concurrently.

        A target with a rate limit is given as many as its rate comes to: peers
        then place on it in that proportion, and its overload weighs no more.
        """
        per_second = min(self.statements.limit, self.warm_up.rate_limit())
        if per_second == math.inf:
            return self.queue.slots
        concurrent = per_second * self.exchange.work_time.reported_ms / 1e3
        return max(1, min(self.queue.slots, round(concurrent)))

    @property
    def busy(self) -> int:
        """Number of requests that run or wait."""
        return self.queue.running + self.queue.waiting

    def load(self) -> dict[str, int]:
        """Returns the numbers of running and waiting requests and of slots."""
        return self.queue.load()

    def update_overload(self) -> bool:
        """Updates the overload level.

        Returns:
          Whether the change is large enough to be published at once.
        """
        return self.overload.update(
            in_use=self.admits and not self.is_evacuated
        )

    def submit(
        self,
        opening: frames.Open,
        *,
        expires_at: float,
        reply: job_module.ReplyTo,
    ) -> job_module.Job:
        """Starts, queues or refuses a request.

        Args:
          opening: The request with its complete body.
          expires_at: Deadline of the request, on this node's clock.
          reply: Receives the outcome, possibly before this method returns.

        Returns:
          The request, for `cancel`.
        """
        now = self.context.now
        job = job_module.Job(opening, expires_at, now, reply)
        reason = self.refusal_reason(job, now)
        if reason:
            self.refuse(job, reason)
            return job
        self.overload.record_objective(opening.objective_ms)
        self.usage.record(opening)
        verdict, job.ticket = self.queue.offer(
            job,
            priority=opening.priority,
            now=now,
            objective_ms=opening.objective_ms,
            expires_at=expires_at,
            age_ms=opening.age_ms,
            wait_ms_max=self.wait_ms_max(opening),
            workspace=opening.workspace,
            weight=opening.weight,
        )
        if verdict is not slots.Verdict.REFUSE:
            self.overload.gauge.count_offer(refused=False)
        if verdict is slots.Verdict.RUN:
            self.start(job)
        elif verdict is slots.Verdict.REFUSE:
            if not self.hand_backs.hand_back_new(job):
                self.refuse_for_load(job, "queue_full")
        elif self.sweeping is None:
            self.sweeping = self.loop.call_later(SWEEP_SECONDS, self.sweep)
        return job

    def wait_ms_max(self, opening: frames.Open) -> float:
        """Returns how long a request may wait whatever its objective allows."""
        if self.queue.rate.is_limited and not opening.placed_before:
            return LIMITED_WAIT_MS
        return math.inf

    def refusal_reason(self, job: job_module.Job, now: float) -> str:
        """Returns why a request cannot run; empty if it can.

        The deadline is checked at the point where the request would start: a
        delayed request must not start after its caller has received the
        response that it did not run.
        """
        if not self.ready:
            return "no_target"
        if self.is_evacuated:
            return "domain_evacuated"
        if not self.connectivity.up:
            return "target_unreachable"
        if self.warm_up.slow_start.wait_ms(now):
            return "target_cold"
        if job.opening.target_id != self.target_id:
            return "another_target"
        if job.expires_at - now < LATE_MS:
            return "too_late"
        return trials.refusal_reason(self.context, job, self.running.values())

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent to the target."""
        self.warm_up.slow_start.record(now)
        self.context.counts.add("target_requests")

    def record_answer(
        self, job: job_module.Job, answer: job_module.AnswerHead
    ) -> None:
        """Applies what an answer of the target states about it.

        Peers are told before the answer is passed on: of a leave they tell the
        next process of this node, which has not seen the answer.
        """
        self.ends.record_answer(job)
        if not answer.refused:
            evidence.record_answer(self.context, job.opening.fingerprint)
        rate = self.queue.rate
        was_limited = rate.is_limited
        if not self.statements.record(job, answer):
            return
        rate.set_limit(self.statements.limit, self.context.now)
        if rate.is_limited != was_limited:
            self.publish()
        if self.statements.leaving and self.ready:
            self.on_leaving(self.target_id, self.born)

    def start(self, job: job_module.Job) -> None:
        """Sends a request that holds a slot to the target."""
        self.running[id(job)] = job
        self.by_request[job.opening.request_id] = job
        self.exchange.start(job)

    def lineage_of(self, request_id: str) -> lineage.Lineage:
        """Returns the lineage of a call that the local target makes.

        Args:
          request_id: Id of the call, built from the id of the request that
            makes it.
        """
        parent = self.by_request.get(lineage.parent_id(request_id))
        return parent.lineage() if parent is not None else lineage.UNKNOWN

    def origin_of(self, request_id: str, expires_at: float) -> origin.Origin:
        """Returns whether a request without a key is a call of the target.

        Args:
          request_id: Id of the request.
          expires_at: When it expires.
        """
        parent = self.by_request.get(lineage.parent_id(request_id))
        return origin.of(
            expires_at=expires_at,
            has_parent=parent is not None and parent.handed_at >= 0,
            at_work=(
                job.expires_at
                for job in self.running.values()
                if job.handed_at >= 0
            ),
        )

    def cancel(self, job: job_module.Job) -> None:
        """Cancels a request whose caller no longer waits for it."""
        if job.reply is None:
            return
        job.reply = None
        ticket = job.ticket
        if ticket is None or ticket.discarded:
            return
        if ticket.started_at < 0:
            self.queue.withdraw(ticket)
            return
        self.exchange.abort(job)
        self.free(job)

    def free(self, job: job_module.Job) -> None:
        """Releases a request's slot, for which another request may wait.

        Does nothing if the slot was released before.
        """
        if self.running.pop(id(job), None) is None:
            return
        self.by_request.pop(job.opening.request_id, None)
        assert job.ticket is not None
        self.queue.release(job.ticket, self.context.now)
        if self.queue.waiting and self.starting is None:
            self.starting = self.loop.call_soon(self.run_next)

    def run_next(self) -> None:
        """Starts the requests that wait for slots that were released.

        Runs in a turn of the event loop of its own: slots are released in the
        middle of replies, of cancels of a whole connection and of other
        decisions about several requests, and none of them may start then.
        """
        self.starting = None
        self.run_waiting()

    def run_waiting(self) -> None:
        """Starts waiting requests while slots are free."""
        if not self.ready:
            return
        now = self.context.now
        while True:
            ticket = self.queue.start_next(now)
            if ticket is None:
                return
            job = ticket.item
            reason = self.refusal_reason(job, now)
            if reason:
                self.queue.release_unused(ticket, now)
                self.refuse(job, reason)
            else:
                self.start(job)

    def refuse(
        self, job: job_module.Job, code: str, *, at_target: bool = False
    ) -> None:
        """Replies that a request did not run and will not run.

        Args:
          job: The request.
          code: Reason of the refusal.
          at_target: Whether the target refused it, rather than this guard.
        """
        reply = job.take_refusal(at_target=at_target)
        if reply is None:
            return
        now = self.context.now
        after = max(
            self.queue.retry_after_ms(now),
            self.warm_up.slow_start.wait_ms(now),
        )
        if code == trials.QUARANTINED:
            after = self.context.quarantine.left_ms(
                job.opening.fingerprint, now
            )
        self.context.counts.add("guard_refusals", code)
        self.context.log.event(
            "refused_at_target" if at_target else "refused_by_guard",
            id=job.opening.request_id,
            code=code,
            priority=job.opening.priority,
            **self.load(),
            left_ms=round(job.expires_at - self.context.now),
        )
        reply.refused(code, at_target=at_target, retry_after_ms=after)

    def refuse_for_load(self, job: job_module.Job, code: str) -> None:
        """Refuses a request for which the target has no room.

        A target that limits its rate refuses even where the others of its
        service have room. There only the refusal of a request that another
        target has refused before shows overload.

        Args:
          job: The request.
          code: Reason of the refusal at a target without a limit.
        """
        is_limited = self.queue.rate.is_limited
        placed_before = bool(job.opening.placed_before)
        fair = bool(job.opening.workspace) and self.queue.is_shared(
            job.opening.priority
        )
        if placed_before if is_limited else not (fair and placed_before):
            self.overload.gauge.count_offer(refused=True, fair=fair)
        self.refuse(job, "target_limited" if is_limited else code)

    def refuse_waiting(self, code: str) -> None:
        """Refuses all waiting requests."""
        for ticket in self.queue.withdraw_all():
            self.refuse(ticket.item, code)

    def sweep(self) -> None:
        """Starts requests that the target's rate allows by now.

        Hands back those that are better placed elsewhere, and refuses those
        that have exceeded their longest wait.
        """
        self.sweeping = None
        self.run_waiting()
        self.hand_backs.sweep(soon_ms=SWEEP_SECONDS * 1_000)
        for ticket in self.queue.remove_overdue(self.context.now):
            self.refuse_for_load(ticket.item, "waited_too_long")
        # A refused request that was placed here again may have set the timer.
        if self.queue.waiting and self.sweeping is None:
            self.sweeping = self.loop.call_later(SWEEP_SECONDS, self.sweep)
