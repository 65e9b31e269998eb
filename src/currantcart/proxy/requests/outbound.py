"""Routes requests from the node that received them to a target and back."""

from __future__ import annotations

from collections.abc import Callable

from currantcart import isolation
from currantcart.admission import pressure, retry_after, slots
from currantcart.call import attempt, fingerprint, lineage
from currantcart.http1 import status as status_module
from currantcart.proxy import context as proxy_context
from currantcart.proxy import evidence
from currantcart.proxy.requests import (
    attempts,
    completion,
    ingress,
    intake,
    moves,
    pending,
    placement,
    suspects,
)
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import retries as retries_module
from currantcart.proxy.streams import peers as peers_module
from currantcart.proxy.targets import guard
from currantcart.workspace import quota, usage

GUARDS_MAX = 3
"""Number of guards that may refuse a request before it fails."""
PLACEMENTS_MAX = 6
"""The same for guards whose targets get no requests, or few, for a while.

They tell nothing of the load of the others, so more of them are tried.
"""
CLOSED = frozenset({"domain_evacuated", "target_cold", "target_unreachable"})
"""Refusals of all requests for a while."""
UNAVAILABLE = CLOSED | {"target_limited"}
"""Refusals whatever the load of the service: another target may have room.

A target with a rate limit refuses the less urgent requests, so it is not closed
to all of them.
"""
UNREADY_RETRY_MS = 400.0


class Outbound:
    """Routes the requests of this node's callers to targets.

    Attributes:
      calls: Requests that have not ended.
      ingress: Sheds root requests when services further down are saturated.
      attempts: Sends requests to guards.
      placement: Selects their targets.
      pending: Requests that wait until a target is known.
      retries: Decides which requests are retried.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        local_guard: guard.Guard,
        quotas: quota.Quotas,
    ) -> None:
        self.context = context
        self.guard = local_guard
        self.quotas = quotas
        self.peers: peers_module.Peers | None = None
        self.placement = placement.Placement(context)
        self.calls: set[call_module.Call] = set()
        self.ingress = ingress.IngressShedder(
            context, pressure_on=self.pressure_on, usage_on=self.usage_on
        )
        self.attempts = attempts.Attempts(
            context, local_guard=local_guard, handler=self
        )
        self.pending = pending.PendingRequests(
            context, dispatch=self.dispatch, on_error=self.fail
        )
        self.retries = retries_module.Retries(
            context, node_count=self.node_count
        )

    def node_count(self) -> int:
        """Returns how many nodes are known, this one included.

        Returns 0 until the store has named them.
        """
        assert self.peers is not None
        if not self.peers.members_listed:
            return 0
        return len(self.peers.by_instance) + 1

    # Arrival.

    def begin(
        self,
        request: intake.Request,
        answer: Callable[[int, bytes, bytes], None],
    ) -> call_module.Call | None:
        """Routes a complete request; returns None if it has already ended.

        Args:
          request: The request.
          answer: Receives status, head and body of the final answer.
        """
        now = self.context.now
        route = request.route
        service = route.pick_service(self.context.rng)
        left = min(request.deadline_ms, route.timeout_ms)
        call = call_module.Call(
            request, service, answer, now, request.head_received_at + left
        )
        self.calls.add(call)
        try:
            self.admit(call)
        except Exception as error:
            self.fail(call, error)
        return None if call.done else call

    def admit(self, call: call_module.Call) -> None:
        """Dispatches a new request, or ends it without an attempt."""
        now, request = self.context.now, call.request
        if call.expires_at - now < guard.LATE_MS:
            self.finish(call, 504, "deadline_exceeded")
            return
        call.fingerprint = fingerprint.of(
            workspace=request.workspace,
            route=request.route.name,
            method=request.method,
            path=request.path,
            body=request.body,
        )
        self.set_lineage(call)
        if suspects.is_quarantined(self.context, call):
            self.refuse_quarantined(call)
            return
        if request.internal:
            self.ingress.record_called(call.service)
        elif by := self.ingress.shed_by(call):
            self.reject(call, f"shed_for_{by}")
            return
        if not self.retries.admit(call):
            self.reject(call, "retry_budget_exhausted")
            return
        call.timer = self.context.loop.call_later(
            (call.expires_at - now) / 1_000, self.expire, call
        )
        self.dispatch(call)

    def set_lineage(self, call: call_module.Call) -> None:
        """Sets what a request inherits from the root of its call chain."""
        request = call.request
        if not request.internal:
            call.lineage = self.root_lineage(request)
            return
        call.lineage = self.guard.lineage_of(request.request_id)
        request.priority = slots.call_priority(call.lineage.rank)

    def root_lineage(self, request: intake.Request) -> lineage.Lineage:
        """Returns the lineage of a root request."""
        catalog = self.context.catalog
        if not (
            self.context.settings.fair_shares.enabled
            and request.workspace
            and catalog is not None
        ):
            return lineage.Lineage(rank=request.priority)
        return lineage.Lineage(
            rank=request.priority,
            workspace=request.workspace,
            weight=catalog.weight_of(request.workspace),
        )

    def usage_on(self, service: str) -> dict[int, usage.Demand]:
        """Returns the demand on a service, as its targets' nodes report it."""
        assert self.peers is not None
        return self.peers.reachability.usage_on(service)

    def pressure_on(self, service: str) -> pressure.Pressure:
        """Returns the pressure on a service and on those that it calls."""
        assert self.peers is not None
        return self.peers.reachability.pressure_on(service)

    # Attempts.

    def dispatch(self, call: call_module.Call) -> None:
        """Sends a request to the best target, holds it, or ends it."""
        assert self.peers is not None
        now = self.context.now
        if call.service == self.peers.local_target.service:
            self.refresh_local_load(now)
        if suspects.is_quarantined(self.context, call):
            self.refuse_quarantined(call)
            return
        reachability = self.peers.reachability
        if suspects.risks_last_target(
            self.context,
            call,
            known=self.peers.by_service.get(call.service, ()),
            reachable=reachability.reachable(call.service),
        ):
            self.give_up(call)
            return
        chosen = self.placement.choose(call, reachability)
        if chosen is None:
            if reachability.is_evacuated(call.service):
                call.last_code = "domain_evacuated"
                self.give_up(call)
            elif not self.pending.hold(call):
                self.give_up(call)
            return
        self.attempts.begin(call, chosen)
        if chosen is self.peers.local_target:
            self.attempts.hand_to_local(call, now)
            return
        peer_link = self.peers.link_to(chosen.instance)
        if peer_link is None:
            # Its stream became silent after the candidates were listed.
            self.attempts.apply_event(call, attempt.Event.LOSE)
            self.attempts.end_attempt(call, failed=False)
            self.dispatch(call)
            return
        self.attempts.hand_to_peer(call, peer_link, now)

    def refresh_local_target(self) -> None:
        """Updates the local target's routing state from the local guard."""
        assert self.peers is not None
        self.peers.update_target(self.peers.local_target, self.guard.state())

    def refresh_local_load(self, now: float) -> None:
        """Updates what changes with each request at the local target.

        The rest, which costs more to work out, is as of the last tick.
        """
        assert self.peers is not None
        target = self.peers.local_target
        known = (target.target_id, target.ready)
        if known != (self.guard.target_id, self.guard.is_open):
            self.refresh_local_target()
        else:
            target.update_load(
                busy=self.guard.busy, limit=self.guard.limit(), now=now
            )

    # Results.

    def answered(
        self, call: call_module.Call, status: int, head: bytes, body: bytes
    ) -> None:
        """Ends a request with its target's answer."""
        failed = status >= status_module.SERVER_ERROR
        self.attempts.apply_event(call, attempt.Event.ANSWER)
        evidence.record_answer(self.context, call.fingerprint)
        if not failed:
            self.placement.record_end(call, answered=True)
        completion.count_end(self.context, call, f"{status // 100}xx")
        self.attempts.end_attempt(call, failed=failed)
        self.remove(call)
        self.ingress.record_end(call, failed=failed)
        if failed:
            self.log_end(call, "target_failed", status)
        else:
            completion.log_answer(self.context, call, status)
        call.answer(status, head, body)

    def refused(
        self,
        call: call_module.Call,
        code: str,
        *,
        at_target: bool,
        retry_after_ms: float,
    ) -> None:
        """Handles a refusal: the request did not run and never will.

        Refused by a guard, it is sent to another one, up to `GUARDS_MAX`;
        refused by a target, it needs a retry. A request that was handed back
        is sent to another one without counting as refused.

        Args:
          call: The request.
          code: Why it was refused.
          at_target: Whether the target itself refused it.
          retry_after_ms: When a retry may succeed; 0 when it isn't known.
        """
        self.context.counts.add("attempts", call.service, code)
        self.attempts.apply_event(call, attempt.Event.REFUSE)
        if code in CLOSED and call.target is not None:
            call.target.closed_until = self.context.now + retry_after_ms
        self.attempts.end_attempt(call, failed=at_target)
        call.last_code = code
        call.retry_after_ms = max(call.retry_after_ms, retry_after_ms)
        if at_target:
            self.retry(call)
            return
        if code in suspects.FINAL:
            self.give_up(call)
            return
        if not moves.take(self.context, call, code):
            call.refusing_guards += code not in UNAVAILABLE
        if (
            call.refusing_guards < GUARDS_MAX
            and len(call.outcomes) - call.moves < PLACEMENTS_MAX
        ):
            self.dispatch(call)
        else:
            self.give_up(call)

    def lost(
        self, call: call_module.Call, code: str, *, end_number: int = 0
    ) -> None:
        """Handles an attempt that may have run, without an answer.

        An idempotent request may be retried. For any other the caller learns
        that the outcome is unknown.

        Args:
          call: The request.
          code: Why it was lost.
          end_number: Number of the end of the target, if it has ended.
        """
        self.context.counts.add("attempts", call.service, code)
        self.attempts.apply_event(call, attempt.Event.LOSE)
        suspects.record_lost(self.context, call, code, end_number)
        self.attempts.end_attempt(call, failed=True)
        call.last_code = code
        self.retry(call)

    def retry(self, call: call_module.Call) -> None:
        """Sends a request to another target, if route and budget allow."""
        call.handed_to_targets += 1
        if suspects.is_quarantined(self.context, call):
            self.give_up(call)
        elif self.retries.take_retry(call):
            self.dispatch(call)
        else:
            self.give_up(call)

    # Ending.

    def give_up(self, call: call_module.Call) -> None:
        """Ends a request without an answer of a target with 503 or 502.

        503 means that it did not run or may run again, 502 that its outcome is
        unknown.
        """
        self.end_unanswered(call, idempotent=call.request.route.idempotent)

    def end_unanswered(
        self, call: call_module.Call, *, idempotent: bool
    ) -> None:
        """Ends a request without an answer of a target.

        Args:
          call: The request.
          idempotent: Whether it is answered 503 even if it may have run.
        """
        final = attempt.final_answer(call.outcomes, idempotent=idempotent)
        if final is attempt.AnswerKind.NOT_RUN:
            call.retry_after_ms = call.retry_after_ms or UNREADY_RETRY_MS
            self.finish(call, 503, call.last_code)
        else:
            self.finish(call, 502, call.last_code)

    def fail(self, call: call_module.Call, error: Exception) -> None:
        """Ends a request whose handling has raised an error.

        Its caller would wait until its own deadline otherwise, and a shutdown
        for the request.
        """
        isolation.report(self.context.loop, error, "request")
        if call.done:
            return
        isolation.run(self.context.loop, self.attempts.cancel, call)
        call.last_code = intake.INTERNAL_ERROR.code
        self.end_unanswered(call, idempotent=False)

    def end_all(self) -> None:
        """Ends all requests in progress, as the node ends.

        A complete answer costs a caller less than a connection that is closed
        without one: 503 for what never ran, 502 for all else.
        """
        for call in list(self.calls):
            # The answer to another one may have closed its connection.
            if not call.done:
                isolation.run(self.context.loop, self.attempts.cancel, call)
                call.last_code = "draining"
                self.end_unanswered(call, idempotent=False)

    def refuse_quarantined(self, call: call_module.Call) -> None:
        """Ends a request that would be sent, but has ended too many targets."""
        self.context.counts.add("quarantine_refusals", call.service)
        self.give_up(call)

    def reject(self, call: call_module.Call, code: str) -> None:
        """Rejects a request before any attempt, with a Retry-After."""
        after = retry_after.delay_ms(
            objective_ms=call.request.route.objective_ms
        )
        call.retry_after_ms = intake.jitter(after, self.context.rng)
        self.finish(call, 503, code)

    def expire(self, call: call_module.Call) -> None:
        """Ends a request whose deadline has passed."""
        if not call.done:
            loop = self.context.loop
            if call.target is not None:
                isolation.run(
                    loop, self.placement.record_end, call, answered=False
                )
            isolation.run(loop, self.attempts.cancel, call)
            self.finish(call, 504, "deadline_exceeded")

    def finish(self, call: call_module.Call, status: int, code: str) -> None:
        """Ends a request with an answer that the node generates.

        A request that did not run returns its token of the workspace's rate
        limit.
        """
        completion.count_end(self.context, call, code)
        self.remove(call)
        isolation.run(self.context.loop, self.log_end, call, code, status)
        not_run = all(
            item is attempt.Outcome.NOT_EXECUTED for item in call.outcomes
        )
        if not_run and call.request.workspace:
            self.quotas.give_back(call.request.workspace)
        after = call.retry_after_ms if status == 503 else 0.0
        head, body = intake.local_answer(code, retry_after_ms=after)
        call.answer(status, head, body)

    def log_end(self, call: call_module.Call, code: str, status: int) -> None:
        """Logs a request that failed, with the targets that were known."""
        assert self.peers is not None
        known = self.peers.by_service.get(call.service, [])
        completion.log_end(
            self.context, call, code=code, status=status, known=known
        )

    def remove(self, call: call_module.Call) -> None:
        """Marks a request as done, and removes it with its timer."""
        call.done = True
        self.calls.discard(call)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def cancel(self, call: call_module.Call) -> None:
        """Cancels a request whose caller has disconnected."""
        if not call.done:
            completion.count_end(self.context, call, "caller_left")
            completion.log_left(self.context, call)
            self.attempts.cancel(call)
            self.remove(call)
