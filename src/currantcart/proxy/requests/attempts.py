"""One attempt of a request: sent to a guard, and the result processed."""

from __future__ import annotations

from currantcart import isolation
from currantcart.call import attempt
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import local_reply, suspects
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import guard
from currantcart.routing import picker

RETURN_MARGIN_MS = 25.0
"""Subtracted from the time that a target gets for a request.

Leaves time for the answer to travel back before the deadline.
"""


class Attempts:
    """Sends requests to guards: the local one and those of peers."""

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        local_guard: guard.Guard,
        handler: local_reply.AttemptHandler,
    ) -> None:
        self.context = context
        self.guard = local_guard
        self.handler = handler

    # Sending.

    def begin(self, call: call_module.Call, target: picker.Target) -> None:
        """Starts an attempt at the chosen target."""
        call.target = target
        call.tried_instances.add(target.instance)
        call.outcomes.append(attempt.Outcome.NOT_HANDED_OVER)
        target.open += 1

    def opening(
        self, call: call_module.Call, number: int, now: float
    ) -> frames.Open:
        """Returns the `Open` message for a request.

        Args:
          call: The request.
          number: Number of the call on its stream.
          now: Milliseconds of the node's clock.
        """
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
            age_ms=now - request.head_received_at,
            placed_before=len(call.outcomes) - 1,
            from_retry=call.lineage.is_retry or call.handed_to_targets > 0,
            kind=request.route.name
            if self.context.settings.placement.by_completion
            else "",
            workspace=call.lineage.workspace,
            weight=call.lineage.weight,
            fingerprint=call.fingerprint,
        )

    def hand_to_local(self, call: call_module.Call, now: float) -> None:
        """Sends a request to the local guard."""
        self.apply_event(call, attempt.Event.HAND_OVER)
        reply = call.local_reply = local_reply.LocalReply(self.handler, call)
        opening = self.opening(call, 0, now)
        job = self.guard.submit(
            opening, expires_at=now + opening.left_ms, reply=reply
        )
        if call.local_reply is reply:
            # The guard may have refused the request within `arrive`, and the
            # request may already be at a peer; a cancel must then go there.
            call.job = job

    def hand_to_peer(
        self, call: call_module.Call, peer_link: link.Link, now: float
    ) -> None:
        """Sends a request to a peer's guard."""
        self.apply_event(call, attempt.Event.HAND_OVER)
        call.link, call.number = peer_link, next(peer_link.numbers)
        peer_link.calls[call.number] = call
        opening = self.opening(call, call.number, now)
        body = opening.body
        opening.body, opening.more = frames.first_chunk(body)
        peer_link.send(opening)
        frames.send_rest(call.number, body, peer_link.send)

    # Results.

    def apply_event(
        self, call: call_module.Call, event: attempt.Event
    ) -> attempt.Outcome:
        """Applies an event to the current attempt; returns its outcome."""
        outcome = attempt.next_outcome(call.outcomes[-1], event)
        call.outcomes[-1] = outcome
        return outcome

    def handle_frame(self, peer_link: link.Link, frame: frames.Frame) -> None:
        """Handles a frame of a call that this node opened."""
        assert isinstance(
            frame, frames.Answer | frames.Refuse | frames.Lost | frames.Data
        )
        call = peer_link.calls.get(frame.call)
        if not isinstance(call, call_module.Call) or call.done:
            return
        if isinstance(frame, frames.Data):
            self.handle_chunk(call, frame.chunk)
            return
        if call.target is not None:
            call.target.update_load(
                busy=frame.busy, limit=frame.limit, now=self.context.now
            )
        if isinstance(frame, frames.Answer):
            self.handle_answer(call, frame)
        elif isinstance(frame, frames.Refuse):
            self.handler.refused(
                call,
                frame.code,
                at_target=frame.at_target,
                retry_after_ms=frame.retry_after_ms,
            )
        else:
            self.handler.lost(call, frame.code, end_number=frame.end_number)

    def handle_answer(
        self, call: call_module.Call, answer: frames.Answer
    ) -> None:
        """Handles a complete answer, or the first part of a long one."""
        if answer.more:
            size = len(answer.body) + answer.more
            if not self.context.held.reserve_answer(size, so_far=0):
                self.handler.lost(call, "memory_full")
                return
            call.held = size
            call.partial_answer, call.missing = answer, answer.more
            call.chunks.append(answer.body)
        else:
            self.handler.answered(call, answer.status, answer.head, answer.body)

    def handle_chunk(self, call: call_module.Call, chunk: bytes) -> None:
        """Handles a further part of an answer."""
        partial = call.partial_answer
        if partial is None:
            return
        call.chunks.append(chunk)
        call.missing -= len(chunk)
        if call.missing <= 0:
            body = b"".join(call.chunks)
            self.handler.answered(call, partial.status, partial.head, body)

    # Ending.

    def end_attempt(self, call: call_module.Call, *, failed: bool) -> None:
        """Ends the current attempt and releases its target.

        Args:
          call: The request.
          failed: Whether the attempt counts as a failure of the target.
        """
        target, call.target = call.target, None
        if target is not None:
            target.open -= 1
            target.record_outcome(failed=failed, now=self.context.now)
        if call.link is not None:
            call.link.calls.pop(call.number, None)
        call.link = call.job = call.local_reply = None
        call.partial_answer = None
        call.chunks.clear()
        self.context.held.release(call.held)
        call.held = 0

    def cancel(self, call: call_module.Call) -> None:
        """Cancels the current attempt.

        A request that still waited at the local guard did not run and never
        will; what was sent to a peer may have run.
        """
        event = attempt.Event.LOSE
        if call.job is not None:
            self.guard.cancel(call.job)
            if call.job.handed_at < 0:
                event = attempt.Event.REFUSE
        elif call.link is not None:
            call.link.send(frames.Cancel(call.number))
        if call.outcomes:
            self.apply_event(call, event)
        self.end_attempt(call, failed=False)

    def link_lost(self, peer_link: link.Link) -> None:
        """Marks the attempts on a lost stream as lost."""
        calls, peer_link.calls = peer_link.calls, {}
        for call in calls.values():
            if isinstance(call, call_module.Call) and call.link is peer_link:
                isolation.run(
                    self.context.loop,
                    self.handler.lost,
                    call,
                    suspects.PEER_LOST,
                )
