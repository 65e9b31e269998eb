"""A request from its caller to a target and back, seen from its first node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.admission import pressure, returns
from currantcart.call import attempt, budget
from currantcart.catalog import model as catalog_model
from currantcart.http1 import status as status_module
from currantcart.proxy import call as call_module
from currantcart.proxy import context as proxy_context
from currantcart.proxy import (
    edge,
    endings,
    frames,
    guard,
    intake,
    link,
    local_reply,
    peers,
)
from currantcart.routing import picker
from currantcart.workspace import quota

GUARDS_MAX = 3
"""Guards that may refuse a request before its caller is told."""
RETURN_MARGIN_MS = 25.0
"""Taken off the time that a target gets, for its answer's way back."""
UNREADY_RETRY_MS = 400.0
PARK_SWEEP_SECONDS = 0.03
PARK_OF_OBJECTIVE = 0.125
"""Part of the objective for which a request waits while no target is known.

After a restart or a cut, targets come back within a heartbeat; asking the
caller to come back costs it more than that.
"""


class Outbound:
    """Routes the requests of this node's callers.

    Attributes:
      calls: Requests on their way.
      edge: Sheds requests for which there is no room below.
      parked: Those that wait for a target to become known.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        own_guard: guard.Guard,
        quotas: quota.Quotas,
    ) -> None:
        settings = context.settings
        self.context = context
        self.guard = own_guard
        self.quotas = quotas
        self.peers: peers.Peers | None = None
        self.picker = picker.Picker(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            rng=context.rng,
        )
        self.budgets: dict[str, budget.RetryBudget] = {}
        self.calls: set[call_module.Call] = set()
        self.parked: list[call_module.Call] = []
        self.edge = edge.Edge(context, pressure_on=self.pressure_on)
        self.park_timer: asyncio.TimerHandle | None = None

    # Taking a request.

    def begin(
        self,
        request: intake.Request,
        answer: Callable[[int, bytes, bytes], None],
    ) -> call_module.Call | None:
        """Takes a whole request; returns None if it was answered at once."""
        now = self.context.now
        route = request.route
        service = route.pick_service(self.context.rng)
        left = min(request.deadline_ms, route.timeout_ms)
        call = call_module.Call(
            request, service, answer, now, request.begun_at + left
        )
        self.calls.add(call)
        if call.expires_at - now < guard.LATE_MS:
            self.finish(call, 504, "deadline_exceeded")
            return None
        if request.internal:
            self.edge.note_called(service)
        elif by := self.edge.shed_by(call):
            after = returns.return_after_ms(
                objective_ms=request.route.objective_ms
            )
            call.retry_after_ms = intake.spread(after, self.context.rng)
            self.finish(call, 503, f"shed_for_{by}")
            return None
        self.budget_of(service).note_request(now)
        call.timer = self.context.loop.call_later(
            (call.expires_at - now) / 1_000, self.expire, call
        )
        self.dispatch(call)
        return None if call.done else call

    def pressure_on(self, service: str) -> pressure.Pressure:
        """Returns how full a service and those below it are."""
        assert self.peers is not None
        return self.peers.reach.pressure_on(service)

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.context.settings.bounds
            found = self.budgets[service] = budget.RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_ms=bounds.retry_window_seconds * 1_000,
            )
        return found

    # Attempts.

    def dispatch(self, call: call_module.Call) -> None:
        """Hands a request to the best target, or ends it."""
        assert self.peers is not None
        now = self.context.now
        if call.service == self.peers.own.service:
            self.refresh_own()
        targets = self.peers.reach.candidates(call.service)
        chosen = self.picker.choose(
            targets, now=now, passed_over=call.passed_over
        )
        if chosen is None:
            self.without_target(call)
            return
        call.target = chosen
        call.passed_over.add(chosen.instance)
        call.outcomes.append(attempt.Outcome.NOT_HANDED_OVER)
        chosen.open += 1
        if chosen is self.peers.own:
            self.hand_to_own(call, now)
            return
        found = self.peers.link_to(chosen.instance)
        if found is None:
            # Its stream has gone silent since the list was made.
            self.step(call, attempt.Event.LOSE)
            self.leave_target(call, failed=False)
            self.dispatch(call)
            return
        self.hand_to_peer(call, found, now)

    def refresh_own(self) -> None:
        """Takes the own target's present state, as peers are told theirs."""
        assert self.peers is not None
        self.peers.take_target(self.peers.own, self.guard.state())

    def without_target(self, call: call_module.Call) -> None:
        """Parks a request that no guard has seen yet; ends any other."""
        waited = self.context.now - call.started_at
        allowed = call.request.route.objective_ms * PARK_OF_OBJECTIVE
        if call.outcomes or waited >= allowed:
            self.give_up(call)
            return
        self.parked.append(call)
        if self.park_timer is None:
            self.park_timer = self.context.loop.call_later(
                PARK_SWEEP_SECONDS, self.unpark
            )

    def unpark(self) -> None:
        """Tries the requests that wait for a target again."""
        self.park_timer = None
        parked, self.parked = self.parked, []
        for call in parked:
            if not call.done:
                self.dispatch(call)

    def opening(
        self, call: call_module.Call, number: int, now: float
    ) -> frames.Open:
        """Returns the message that opens a request."""
        request = call.request
        assert call.target is not None
        body = request.body
        return frames.Open(
            call=number,
            sent_ms=now,
            left_ms=call.expires_at - now - RETURN_MARGIN_MS,
            request_id=request.request_id,
            target_id=call.target.target_id,
            priority=request.priority,
            objective_ms=request.route.objective_ms,
            method=request.method,
            path=request.path,
            head=request.head,
            body=body,
            more=0,
        )

    def hand_to_own(self, call: call_module.Call, now: float) -> None:
        """Hands a request to the own guard."""
        self.step(call, attempt.Event.HAND_OVER)
        reply = call.local = local_reply.LocalReply(self, call)
        opening = self.opening(call, 0, now)
        job = self.guard.arrive(
            opening, expires_at=now + opening.left_ms, reply=reply
        )
        if call.local is reply:
            # The guard may have refused it meanwhile, and the request may be
            # with a peer already; a cancel must then go there.
            call.job = job

    def hand_to_peer(
        self, call: call_module.Call, found: link.Link, now: float
    ) -> None:
        """Hands a request to a peer's guard."""
        self.step(call, attempt.Event.HAND_OVER)
        call.link, call.number = found, next(found.numbers)
        found.calls[call.number] = call
        opening = self.opening(call, call.number, now)
        body = opening.body
        opening.body, opening.more = frames.first_chunk(body)
        found.send(opening)
        frames.send_rest(call.number, body, found.send)

    def step(
        self, call: call_module.Call, event: attempt.Event
    ) -> attempt.Outcome:
        """Takes an event of the present attempt."""
        outcome = attempt.after(call.outcomes[-1], event)
        call.outcomes[-1] = outcome
        return outcome

    def leave_target(self, call: call_module.Call, *, failed: bool) -> None:
        """Ends the present attempt's hold on its target."""
        target, call.target = call.target, None
        if target is not None:
            target.open -= 1
            target.note(failed=failed, now=self.context.now)
        if call.link is not None:
            call.link.calls.pop(call.number, None)
        call.link = call.job = call.local = None
        call.pending = None
        call.chunks.clear()

    # What comes back.

    def frame(self, found: link.Link, frame: frames.Frame) -> None:
        """Takes a frame of a call that this node opened."""
        assert isinstance(
            frame, frames.Answer | frames.Refuse | frames.Lost | frames.Data
        )
        call = found.calls.get(frame.call)
        if not isinstance(call, call_module.Call) or call.done:
            return
        if isinstance(frame, frames.Data):
            self.take_chunk(call, frame.chunk)
            return
        if call.target is not None:
            call.target.hear(
                busy=frame.busy, limit=frame.limit, now=self.context.now
            )
        if isinstance(frame, frames.Answer):
            if not frame.more:
                self.answered(call, frame.status, frame.head, frame.body)
            else:
                call.pending, call.missing = frame, frame.more
                call.chunks.append(frame.body)
        elif isinstance(frame, frames.Refuse):
            self.refused(
                call,
                frame.code,
                at_target=frame.at_target,
                retry_after_ms=frame.retry_after_ms,
            )
        else:
            self.lost(call, frame.code)

    def take_chunk(self, call: call_module.Call, chunk: bytes) -> None:
        """Takes a further part of an answer."""
        pending = call.pending
        if pending is None:
            return
        call.chunks.append(chunk)
        call.missing -= len(chunk)
        if call.missing <= 0:
            body = b"".join(call.chunks)
            self.answered(call, pending.status, pending.head, body)

    def answered(
        self, call: call_module.Call, status: int, head: bytes, body: bytes
    ) -> None:
        """Passes a target's answer on."""
        failed = status >= status_module.SERVER_ERROR
        self.step(call, attempt.Event.ANSWER)
        endings.count_end(self.context, call, f"{status // 100}xx")
        self.leave_target(call, failed=failed)
        self.end(call)
        self.edge.note_end(call, failed=failed)
        if failed:
            self.tell_end(call, "target_failed", status)
        else:
            endings.tell_answer(self.context, call, status)
        call.answer(status, head, body)

    def refused(
        self,
        call: call_module.Call,
        code: str,
        *,
        at_target: bool,
        retry_after_ms: float,
    ) -> None:
        """Tries elsewhere what did not run, or says so."""
        self.context.counts.add("attempts", call.service, code)
        self.step(call, attempt.Event.REFUSE)
        self.leave_target(call, failed=at_target)
        call.last_code = code
        call.retry_after_ms = max(call.retry_after_ms, retry_after_ms)
        if at_target:
            self.again(call)
            return
        call.guards += 1
        if call.guards < GUARDS_MAX:
            self.dispatch(call)
        else:
            self.give_up(call)

    def lost(self, call: call_module.Call, code: str) -> None:
        """Tries again what may run twice, or says that it may have run."""
        self.context.counts.add("attempts", call.service, code)
        self.step(call, attempt.Event.LOSE)
        self.leave_target(call, failed=True)
        call.last_code = code
        self.again(call)

    def again(self, call: call_module.Call) -> None:
        """Hands a request to a second target, if budget and route allow."""
        assert self.peers is not None
        call.handed_to_targets += 1
        route = call.request.route
        now = self.context.now
        allowed = (
            attempt.may_retry(call.outcomes[-1], idempotent=route.idempotent)
            and call.handed_to_targets < route.attempts_max
            and call.expires_at - now > guard.LATE_MS * 2
        )
        share = 1.0 / (len(self.peers.by_instance) + 1)
        if allowed and self.budget_of(call.service).take(now, share=share):
            self.context.counts.add("repeats", call.service, call.last_code)
            self.context.log.event(
                "tried_again",
                id=call.request.request_id,
                service=call.service,
                cause=call.last_code,
                after_ms=round(now - call.started_at),
            )
            self.dispatch(call)
        else:
            self.give_up(call)

    # Ends.

    def give_up(self, call: call_module.Call) -> None:
        """Gives the final answer to a request that no target answered."""
        final = attempt.final_answer(
            call.outcomes, idempotent=call.request.route.idempotent
        )
        if final is attempt.Final.NOT_RUN:
            call.retry_after_ms = call.retry_after_ms or UNREADY_RETRY_MS
            self.finish(call, 503, call.last_code)
        else:
            self.finish(call, 502, call.last_code)

    def expire(self, call: call_module.Call) -> None:
        """Ends a request whose time is over."""
        if not call.done:
            self.withdraw(call)
            self.finish(call, 504, "deadline_exceeded")

    def finish(self, call: call_module.Call, status: int, code: str) -> None:
        """Answers a request on the node's own account."""
        endings.count_end(self.context, call, code)
        self.end(call)
        self.tell_end(call, code, status)
        not_run = all(
            item is attempt.Outcome.NOT_EXECUTED for item in call.outcomes
        )
        if not_run and call.request.workspace:
            self.quotas.give_back(call.request.workspace)
        after = call.retry_after_ms if status == 503 else 0.0
        head, body = intake.own_answer(code, retry_after_ms=after)
        call.answer(status, head, body)

    def tell_end(self, call: call_module.Call, code: str, status: int) -> None:
        """Logs a request that did not end well, with what was known."""
        assert self.peers is not None
        known = self.peers.by_service.get(call.service, [])
        endings.tell_end(
            self.context, call, code=code, status=status, known=known
        )

    def end(self, call: call_module.Call) -> None:
        """Takes a request off the books."""
        call.done = True
        self.calls.discard(call)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def withdraw(self, call: call_module.Call) -> None:
        """Tells the guard that nobody waits any more."""
        if call.job is not None:
            self.guard.cancel(call.job)
        elif call.link is not None:
            call.link.send(frames.Cancel(call.number))
        if call.outcomes:
            self.step(call, attempt.Event.LOSE)
        self.leave_target(call, failed=False)

    def cancel(self, call: call_module.Call) -> None:
        """Ends a request whose caller has left."""
        if not call.done:
            endings.count_end(self.context, call, "caller_left")
            endings.tell_left(self.context, call)
            self.withdraw(call)
            self.end(call)

    def link_lost(self, found: link.Link) -> None:
        """Ends the attempts on a stream that was lost."""
        calls, found.calls = found.calls, {}
        for call in calls.values():
            if isinstance(call, call_module.Call) and call.link is found:
                self.lost(call, "peer_lost")


def workspace_rates(
    catalog: catalog_model.Catalog,
) -> dict[str, tuple[float, float]]:
    """Returns rate and burst of each workspace that has a limit."""
    return {
        workspace.name: (workspace.rate_per_second, workspace.burst)
        for workspace in catalog.by_name.values()
        if workspace.rate_per_second > 0
    }
