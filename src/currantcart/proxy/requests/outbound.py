"""A request from its caller to a target and back, seen from its first node."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import pressure, returns, slots
from currantcart.call import attempt, lineage
from currantcart.http1 import status as status_module
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import attempts, edge, endings, intake, parking
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import repeats as repeats_module
from currantcart.proxy.streams import peers as peers_module
from currantcart.proxy.targets import guard
from currantcart.routing import picker
from currantcart.workspace import quota

GUARDS_MAX = 3
"""Guards that may refuse a request before its caller is told."""
UNREADY_RETRY_MS = 400.0


class Outbound:
    """Routes the requests of this node's callers.

    Attributes:
      calls: Requests on their way.
      edge: Sheds requests for which there is no room below.
      attempts: Hands requests to guards.
      parking: Those that wait for a target to become known.
      repeats: Decides which are handed to a second target.
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
        self.peers: peers_module.Peers | None = None
        self.picker = picker.Picker(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            rng=context.rng,
        )
        self.calls: set[call_module.Call] = set()
        self.edge = edge.Edge(context, pressure_on=self.pressure_on)
        self.attempts = attempts.Attempts(
            context, own_guard=own_guard, outcomes=self
        )
        self.parking = parking.Parking(context, try_again=self.dispatch)
        self.repeats = repeats_module.Repeats(
            context, node_count=self.node_count
        )

    def node_count(self) -> int:
        """Returns how many nodes are known, this one included.

        0 before the store has named them.
        """
        assert self.peers is not None
        if not self.peers.named:
            return 0
        return len(self.peers.by_instance) + 1

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
        self.place_in_chain(call)
        if request.internal:
            self.edge.note_called(service)
        elif by := self.edge.shed_by(call):
            self.reject(call, f"shed_for_{by}")
            return None
        if not self.repeats.begin(call):
            self.reject(call, "retry_budget_exhausted")
            return None
        call.timer = self.context.loop.call_later(
            (call.expires_at - now) / 1_000, self.expire, call
        )
        self.dispatch(call)
        return None if call.done else call

    def place_in_chain(self, call: call_module.Call) -> None:
        """Finds what a request has of the one at which its chain began."""
        request = call.request
        if not request.internal:
            call.lineage = lineage.Lineage(rank=request.priority)
            return
        call.lineage = self.guard.lineage_of(request.request_id)
        request.priority = slots.call_priority(call.lineage.rank)

    def pressure_on(self, service: str) -> pressure.Pressure:
        """Returns how full a service and those below it are."""
        assert self.peers is not None
        return self.peers.reachability.pressure_on(service)

    # Attempts.

    def dispatch(self, call: call_module.Call) -> None:
        """Hands a request to the best target, or ends it."""
        assert self.peers is not None
        now = self.context.now
        if call.service == self.peers.own.service:
            self.refresh_own()
        targets = self.peers.reachability.candidates(call.service)
        chosen = self.picker.choose(
            targets,
            now=now,
            passed_over=call.passed_over,
            objective_ms=call.request.route.objective_ms,
        )
        if chosen is None:
            if not self.parking.hold(call):
                self.give_up(call)
            return
        self.attempts.begin(call, chosen)
        if chosen is self.peers.own:
            self.attempts.hand_to_own(call, now)
            return
        found = self.peers.link_to(chosen.instance)
        if found is None:
            # Its stream has gone silent since the list was made.
            self.attempts.step(call, attempt.Event.LOSE)
            self.attempts.leave(call, failed=False)
            self.dispatch(call)
            return
        self.attempts.hand_to_peer(call, found, now)

    def refresh_own(self) -> None:
        """Takes the own target's present state, as peers are told theirs."""
        assert self.peers is not None
        self.peers.take_target(self.peers.own, self.guard.state())

    # What comes back.

    def answered(
        self, call: call_module.Call, status: int, head: bytes, body: bytes
    ) -> None:
        """Passes a target's answer on."""
        failed = status >= status_module.SERVER_ERROR
        self.attempts.step(call, attempt.Event.ANSWER)
        endings.count_end(self.context, call, f"{status // 100}xx")
        self.attempts.leave(call, failed=failed)
        self.end(call)
        self.edge.note_end(call, failed=failed)
        if failed:
            self.log_end(call, "target_failed", status)
        else:
            endings.log_answer(self.context, call, status)
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
        self.attempts.step(call, attempt.Event.REFUSE)
        self.attempts.leave(call, failed=at_target)
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
        self.attempts.step(call, attempt.Event.LOSE)
        self.attempts.leave(call, failed=True)
        call.last_code = code
        self.again(call)

    def again(self, call: call_module.Call) -> None:
        """Hands a request to a second target, if budget and route allow."""
        call.handed_to_targets += 1
        if self.repeats.take(call):
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

    def reject(self, call: call_module.Call, code: str) -> None:
        """Ends a request that was sent to no target, to come back later."""
        after = returns.return_after_ms(
            objective_ms=call.request.route.objective_ms
        )
        call.retry_after_ms = intake.spread(after, self.context.rng)
        self.finish(call, 503, code)

    def expire(self, call: call_module.Call) -> None:
        """Ends a request whose time is over."""
        if not call.done:
            self.attempts.withdraw(call)
            self.finish(call, 504, "deadline_exceeded")

    def finish(self, call: call_module.Call, status: int, code: str) -> None:
        """Answers a request on the node's own account."""
        endings.count_end(self.context, call, code)
        self.end(call)
        self.log_end(call, code, status)
        not_run = all(
            item is attempt.Outcome.NOT_EXECUTED for item in call.outcomes
        )
        if not_run and call.request.workspace:
            self.quotas.give_back(call.request.workspace)
        after = call.retry_after_ms if status == 503 else 0.0
        head, body = intake.own_answer(code, retry_after_ms=after)
        call.answer(status, head, body)

    def log_end(self, call: call_module.Call, code: str, status: int) -> None:
        """Logs a request that did not end well, with what was known."""
        assert self.peers is not None
        known = self.peers.by_service.get(call.service, [])
        endings.log_end(
            self.context, call, code=code, status=status, known=known
        )

    def end(self, call: call_module.Call) -> None:
        """Takes a request off the books."""
        call.done = True
        self.calls.discard(call)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def cancel(self, call: call_module.Call) -> None:
        """Ends a request whose caller has left."""
        if not call.done:
            endings.count_end(self.context, call, "caller_left")
            endings.log_left(self.context, call)
            self.attempts.withdraw(call)
            self.end(call)
