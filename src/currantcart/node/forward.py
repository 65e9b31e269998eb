"""Forwards calls: attempts at targets until one gives the final outcome."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from currantcart import eager, errors
from currantcart.call import model as call_model
from currantcart.call import retry
from currantcart.graph import model as graph_model
from currantcart.http1 import headers, server
from currantcart.membership import model as membership_model
from currantcart.node import answer_relay, outcome, upload
from currantcart.node import context as node_context
from currantcart.node import links as node_links
from currantcart.routing import router
from currantcart.telemetry import record
from currantcart.wire import call_stream, connection, messages

NAIVE_ATTEMPTS = 3
Arrive = Callable[[messages.Open, call_stream.CallStream], None]


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt at one target.

    Attributes:
      candidate: The target.
      lent: Retries lent to the attempt.
      stream: Stream of the call, once it is open.
      head: Head of the answer, or the refusal, once received.
    """

    candidate: router.Candidate
    lent: int
    stream: call_stream.CallStream | None = None
    head: call_stream.Head | None = None


class Forwarder:
    """Forwards the calls that this node accepts."""

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        links: node_links.Links,
        arrive: Arrive,
    ) -> None:
        self.context = context
        self.links = links
        self.arrive = arrive

    async def forward(
        self, call: call_model.Call, exchange: server.Exchange
    ) -> messages.Answer:
        """Forwards a call to a target and relays the answer to the caller.

        Returns:
          The head of the answer that was sent to the caller.

        Raises:
          errors.Refusal: No target answered, or the deadline passed.
        """
        remaining_ms = call.deadline_ms - self.context.clock.now()
        try:
            with eager.Expiry(
                self.context.loop,
                seconds=remaining_ms / 1_000,
                cancel=exchange.cancel,
            ):
                return await Forwarding(self, call, exchange).run()
        except TimeoutError:
            raise errors.Refusal(
                errors.Code.DEADLINE_EXCEEDED,
                errors.Step.RELAY,
                "the deadline passed",
                not_run=False,
            ) from None


class Forwarding:
    """Forwarding of one call.

    Attributes:
      tried: Instances at which an attempt failed.
      earlier_unknown: Whether an earlier attempt may have run the call.
      upload: Body of the request.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        call: call_model.Call,
        exchange: server.Exchange,
    ) -> None:
        self.forwarder = forwarder
        self.context = forwarder.context
        self.call = call
        self.exchange = exchange
        self.tried: set[str] = set()
        self.earlier_unknown = False
        self.upload = upload.Upload(exchange, forwarder.context.loop)

    async def run(self) -> messages.Answer:
        """Makes attempts until one is final; relays its answer."""
        attempts = retry.Attempts(
            idempotent=self.call.idempotent, replayable=True
        )
        self.context.budget.count_first_attempt()
        while True:
            attempt = self.choose(attempts)
            try:
                await self.begin(attempt)
                refusal = self.process_head(attempt)
                if refusal is None:
                    retrying = self.retry_answer(attempt, attempts)
                    if not retrying:
                        return await self.relay(attempt)
                elif not self.retry_refusal(refusal, attempts):
                    try:
                        raise refusal
                    finally:
                        # The traceback of the refusal refers to this frame,
                        # and the frame to the refusal: without `del`, only the
                        # garbage collector would free the cycle.
                        del refusal
            finally:
                self.end(attempt)
            self.tried.add(attempt.candidate.member.instance)

    def choose(self, attempts: retry.Attempts) -> Attempt:
        """Selects the target of the next attempt.

        Targets that failed for this call are excluded, except for a retry that
        has no other target.
        """
        call = self.call
        now = self.context.clock.now()
        try:
            candidate = self.context.router.pick(
                call.service,
                priority=call.priority,
                exclude=self.tried,
                now=now,
            )
        except errors.Refusal as refusal:
            if attempts.retries and self.tried:
                candidate = self.context.router.pick(
                    call.service, priority=call.priority, exclude=(), now=now
                )
            else:
                refusal.not_run = not self.earlier_unknown
                raise
        candidate.in_flight += 1
        candidate.health.started()
        self.record_event(record.Event.ROUTED, candidate.member.instance)
        return Attempt(candidate=candidate, lent=call.allowance.lend())

    def opening(self, attempt: Attempt) -> messages.Open:
        """Builds the opening message of an attempt."""
        call = self.call
        message = self.exchange.message
        return messages.Open(
            call_number=0,
            call_id=call.call_id,
            root_id=call.root_id,
            service=call.service,
            method=call.method,
            path=call.path,
            headers=headers.end_to_end_headers(
                message.headers.items(),
                stripped=headers.FROM_CALLER_STRIPPED,
                connection=message.headers.get("Connection", ""),
            ),
            workspace=call.workspace,
            key_id=call.key_id,
            importance=int(call.importance),
            priority=call.priority,
            remaining_ms=call.deadline_ms - self.context.clock.now(),
            allowance=attempt.lent,
            depth=call.depth,
            traceparent=call.traceparent,
            chunk=self.upload.first.chunk,
            last=self.upload.first.last,
        )

    async def begin(self, attempt: Attempt) -> None:
        """Opens the call at the target's node and waits for the head."""
        member = attempt.candidate.member
        try:
            attempt.stream = await self.open(member, attempt)
            self.upload.begin(attempt.stream)
            attempt.head = await attempt.stream.answer()
        except errors.StreamError as error:
            attempt.head = self.failed_head(attempt, error)

    async def open(
        self,
        member: membership_model.Member,
        attempt: Attempt,
    ) -> call_stream.CallStream:
        """Opens the stream of an attempt, locally or to a peer."""
        opening = self.opening(attempt)
        if member.instance == self.context.instance:
            local_end, target_end = connection.join_local(
                opening, instance=member.instance, loop=self.context.loop
            )
            self.forwarder.arrive(opening, target_end)
            return local_end
        link = self.forwarder.links.usable_stream(member.instance)
        if link is None:
            link = await self.forwarder.links.connect(member)
        return link.open(opening)

    def failed_head(
        self, attempt: Attempt, error: errors.StreamError
    ) -> messages.Refuse:
        """Returns the refusal that stands for a failed stream.

        If the stream had been opened, the call may have run, and the retries
        lent to it are lost.
        """
        member = attempt.candidate.member
        return messages.Refuse(
            call_number=0,
            code=error.code,
            step=error.step,
            peer=error.peer or member.instance,
            detail=error.detail,
            not_run=attempt.stream is None,
            retry_after_ms=0.0,
            allowance=attempt.lent if attempt.stream is None else 0,
            shed_level=graph_model.NO_SHEDDING,
            load=0.0,
            limit=0.0,
        )

    def process_head(self, attempt: Attempt) -> errors.Refusal | None:
        """Processes the head of an attempt.

        Returns:
          The refusal, or None if the target answered.
        """
        head = attempt.head
        assert head is not None
        self.call.allowance.give_back(head.allowance, lent=attempt.lent)
        outcome.record(self.context, self.call, attempt.candidate, head)
        if isinstance(head, messages.Answer):
            return None
        return errors.Refusal(
            errors.Code.of(head.code),
            errors.Step.of(head.step),
            head.detail,
            not_run=head.not_run and not self.earlier_unknown,
            peer=head.peer,
            retry_after_ms=head.retry_after_ms,
            shed_level=head.shed_level,
        )

    def retry_refusal(
        self, refusal: errors.Refusal, attempts: retry.Attempts
    ) -> bool:
        """Decides whether another attempt follows a refusal."""
        attempts.replayable = not self.upload.streamed
        if not refusal.not_run:
            self.earlier_unknown = True
        if not self.context.controlled:
            return self.retry_naively(attempts)
        following = attempts.after_refusal(
            code=refusal.code,
            not_run=refusal.not_run,
            remaining=self.call.allowance,
            budget=self.context.budget,
        )
        return self.record_next(following, refusal.code)

    def retry_naively(self, attempts: retry.Attempts) -> bool:
        """Retries as a plain proxy does: the baseline without overload control.

        Returns:
          Whether another attempt follows.
        """
        attempts.retries += 1
        return attempts.replayable and attempts.retries < NAIVE_ATTEMPTS

    def retry_answer(self, attempt: Attempt, attempts: retry.Attempts) -> bool:
        """Decides whether another attempt follows an answer of the target."""
        answer = attempt.head
        assert isinstance(answer, messages.Answer)
        attempts.replayable = not self.upload.streamed
        if not self.context.controlled:
            return answer.status >= 500 and self.retry_naively(attempts)
        following = attempts.after_status(
            answer.status,
            remaining=self.call.allowance,
            budget=self.context.budget,
        )
        if following is retry.Next.RETRY:
            self.earlier_unknown = True
        return self.record_next(following, str(answer.status))

    def record_next(self, following: retry.Next, why: str) -> bool:
        """Records what follows a failed attempt.

        Returns:
          Whether another attempt follows.
        """
        if following is retry.Next.STOP:
            return False
        event = (
            record.Event.RETRIED
            if following is retry.Next.RETRY
            else record.Event.REROUTED
        )
        self.context.metrics.retries.labels(
            self.call.service, following.value
        ).inc()
        self.record_event(event, "", detail=why)
        return True

    async def relay(self, attempt: Attempt) -> messages.Answer:
        """Sends the target's answer to the caller."""
        answer, stream = attempt.head, attempt.stream
        assert isinstance(answer, messages.Answer)
        assert stream is not None
        await answer_relay.relay(self.exchange, self.call, answer, stream)
        self.record_event(record.Event.ANSWERED, "", detail=str(answer.status))
        return answer

    def end(self, attempt: Attempt) -> None:
        """Releases what an attempt held: its load, health probe and stream."""
        attempt.candidate.in_flight -= 1
        if attempt.head is None:
            attempt.candidate.health.released()
        self.upload.end()
        if attempt.stream is not None:
            attempt.stream.reset(errors.Code.CANCELLED, "the attempt has ended")

    def record_event(
        self, event: record.Event, peer: str, *, detail: str = ""
    ) -> None:
        """Records a decision on the call."""
        self.context.recorder.note(
            event,
            root_id=self.call.root_id,
            call_id=self.call.call_id,
            service=self.call.service,
            peer=peer,
            detail=detail,
        )
