"""One attempt of a request: handed to a guard, and what comes back of it."""

from __future__ import annotations

from currantcart.call import attempt
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import local_reply
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import guard
from currantcart.routing import picker

RETURN_MARGIN_MS = 25.0
"""Taken off the time that a target gets, for its answer's way back."""


class Attempts:
    """Hands requests to guards, the own one and those of peers."""

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        own_guard: guard.Guard,
        outcomes: local_reply.Endings,
    ) -> None:
        self.context = context
        self.guard = own_guard
        self.outcomes = outcomes

    # Handing over.

    def begin(self, call: call_module.Call, target: picker.Target) -> None:
        """Notes that a target was chosen."""
        call.target = target
        call.passed_over.add(target.instance)
        call.outcomes.append(attempt.Outcome.NOT_HANDED_OVER)
        target.open += 1

    def opening(
        self, call: call_module.Call, number: int, now: float
    ) -> frames.Open:
        """Returns the message that opens a request."""
        request = call.request
        assert call.target is not None
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
            body=request.body,
            more=0,
            age_ms=now - request.begun_at,
            repeated=call.lineage.repeated or call.handed_to_targets > 0,
        )

    def hand_to_own(self, call: call_module.Call, now: float) -> None:
        """Hands a request to the own guard."""
        self.step(call, attempt.Event.HAND_OVER)
        reply = call.local = local_reply.LocalReply(self.outcomes, call)
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

    # Following it.

    def step(
        self, call: call_module.Call, event: attempt.Event
    ) -> attempt.Outcome:
        """Takes an event of the present attempt."""
        outcome = attempt.after(call.outcomes[-1], event)
        call.outcomes[-1] = outcome
        return outcome

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
            self.take_answer(call, frame)
        elif isinstance(frame, frames.Refuse):
            self.outcomes.refused(
                call,
                frame.code,
                at_target=frame.at_target,
                retry_after_ms=frame.retry_after_ms,
            )
        else:
            self.outcomes.lost(call, frame.code)

    def take_answer(
        self, call: call_module.Call, answer: frames.Answer
    ) -> None:
        """Takes an answer, or the first part of a long one."""
        if answer.more:
            call.pending, call.missing = answer, answer.more
            call.chunks.append(answer.body)
        else:
            self.outcomes.answered(
                call, answer.status, answer.head, answer.body
            )

    def take_chunk(self, call: call_module.Call, chunk: bytes) -> None:
        """Takes a further part of an answer."""
        pending = call.pending
        if pending is None:
            return
        call.chunks.append(chunk)
        call.missing -= len(chunk)
        if call.missing <= 0:
            body = b"".join(call.chunks)
            self.outcomes.answered(call, pending.status, pending.head, body)

    # Ending it.

    def leave(self, call: call_module.Call, *, failed: bool) -> None:
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

    def withdraw(self, call: call_module.Call) -> None:
        """Tells the guard that nobody waits any more."""
        if call.job is not None:
            self.guard.cancel(call.job)
        elif call.link is not None:
            call.link.send(frames.Cancel(call.number))
        if call.outcomes:
            self.step(call, attempt.Event.LOSE)
        self.leave(call, failed=False)

    def link_lost(self, found: link.Link) -> None:
        """Ends the attempts on a stream that was lost."""
        calls, found.calls = found.calls, {}
        for call in calls.values():
            if isinstance(call, call_module.Call) and call.link is found:
                self.outcomes.lost(call, "peer_lost")
