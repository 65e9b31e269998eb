"""The guard of the target: admission, dispatch, and the answer's way back."""

from __future__ import annotations

import asyncio
import dataclasses

from multidict import CIMultiDict

from currantcart import eager, errors
from currantcart.admission import controller, queue
from currantcart.call import active, allowance
from currantcart.graph import model as graph_model
from currantcart.http1 import client, headers
from currantcart.node import context as node_context
from currantcart.settings import model as settings_model
from currantcart.telemetry import record, trace
from currantcart.wire import call_stream, messages

EXPIRY_PERIOD_SECONDS = 0.01
OVERLOAD_STATUSES = frozenset({429, 503})
SERVER_FAULT = 500


@dataclasses.dataclass(slots=True)
class Incoming:
    """A call that came to this node's target.

    Attributes:
      opening: The message that opened it.
      stream: Its stream.
      waiting: Its place in the queue.
      call: Its entry as a parent of the target's own calls.
      hop: Its span, if it is traced.
      task: Its work at the target, from its first wait on.
    """

    opening: messages.Open
    stream: call_stream.CallStream
    waiting: queue.Waiting
    call: active.ActiveCall
    hop: trace.Hop | None = None
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Ends the work at the target."""
        if self.task is not None:
            self.task.cancel()


def refusal(
    code: errors.Code,
    step: errors.Step,
    detail: str,
    *,
    not_run: bool,
    retry_after_ms: float = 0.0,
) -> errors.Refusal:
    """Returns a refusal of the guard."""
    return errors.Refusal(
        code, step, detail, not_run=not_run, retry_after_ms=retry_after_ms
    )


class Guard:
    """Everything that reaches the target goes through here.

    Attributes:
      admission: Decides what runs.
      pool: Connections to the target; nobody else opens any.
      queued: Calls that wait, by their place in the queue.
      running: Tasks of the calls at the target.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        target = context.settings.target
        host, port = settings_model.split_address(target.address)
        self.host = target.address
        self.admission = controller.AdmissionController(
            slots=min(target.slots, target.connections),
            now=context.clock.now(),
            enabled=context.controlled,
        )
        self.pool = client.TargetPool(
            host=host,
            port=port,
            connections_max=target.connections,
            loop=context.loop,
        )
        self.queued: dict[int, Incoming] = {}
        self.running: set[asyncio.Task[None]] = set()
        self.expiry: asyncio.TimerHandle | None = None

    def arrive(
        self, opening: messages.Open, stream: call_stream.CallStream
    ) -> None:
        """Takes a call: runs it, lets it wait, or refuses it at once."""
        now = self.context.clock.now()
        incoming = self.build(opening, stream, now)
        fault = self.precheck(opening)
        if fault is not None:
            self.refuse(incoming, fault)
            return
        offer = self.admission.offer(incoming.waiting, now)
        for dropped in offer.dropped:
            self.drop(dropped)
        if offer.verdict is controller.Verdict.RUN:
            self.start(incoming)
        elif offer.verdict is controller.Verdict.WAIT:
            self.wait(incoming)
        else:
            assert offer.reason is not None
            self.shed(incoming, offer.reason)

    def build(
        self,
        opening: messages.Open,
        stream: call_stream.CallStream,
        now: float,
    ) -> Incoming:
        """Builds the state of a call from its opening message."""
        deadline_ms = now + opening.remaining_ms
        hop = self.context.tracing.begin("target", opening.traceparent)
        return Incoming(
            opening=opening,
            stream=stream,
            waiting=queue.Waiting(
                call_id=opening.call_id,
                workspace=opening.workspace,
                key_id=opening.key_id,
                priority=opening.priority,
                deadline_ms=deadline_ms,
                arrived_ms=now,
            ),
            call=active.ActiveCall(
                call_id=opening.call_id,
                root_id=opening.root_id,
                service=opening.service,
                workspace=opening.workspace,
                key_id=opening.key_id,
                importance=graph_model.Importance(opening.importance),
                priority=opening.priority,
                deadline_ms=deadline_ms,
                allowance=allowance.Allowance(opening.allowance),
                depth=opening.depth,
                traceparent=hop.traceparent if hop else opening.traceparent,
            ),
            hop=hop,
        )

    def precheck(self, opening: messages.Open) -> errors.Refusal | None:
        """Checks what the sender's stale view may have missed."""
        settings = self.context.settings
        if self.context.draining:
            return refusal(
                errors.Code.DRAINING,
                errors.Step.ADMIT,
                "this target is leaving",
                not_run=True,
                retry_after_ms=controller.RETRY_AFTER_MS_MIN,
            )
        if opening.service != settings.target.service:
            return refusal(
                errors.Code.NO_TARGET,
                errors.Step.ADMIT,
                f"this target serves {settings.target.service}",
                not_run=True,
            )
        return self.check_key(opening)

    def check_key(self, opening: messages.Open) -> errors.Refusal | None:
        """Checks that the key of the root call is still in force here.

        The node that took the call may not have heard of a withdrawal yet,
        and a call may have waited in the queue while it came.
        """
        view = self.context.config.view
        if view is None:
            return refusal(
                errors.Code.NOT_READY,
                errors.Step.ADMIT,
                "this node has no configuration yet",
                not_run=True,
                retry_after_ms=controller.RETRY_AFTER_MS_MIN,
            )
        if opening.key_id in view.key_ids:
            return None
        return refusal(
            errors.Code.KEY_UNKNOWN,
            errors.Step.ADMIT,
            "the key was withdrawn",
            not_run=True,
        )

    def wait(self, incoming: Incoming) -> None:
        """Keeps a call until a slot is free or its time is over."""
        self.queued[id(incoming.waiting)] = incoming
        incoming.stream.on_reset = lambda: self.abandon(incoming)
        self.note(record.Event.QUEUED, incoming)
        if self.expiry is None:
            self.expiry = self.context.loop.call_later(
                EXPIRY_PERIOD_SECONDS, self.expire
            )

    def expire(self) -> None:
        """Gives up calls whose time is over, at once, while any wait."""
        self.expiry = None
        for dropped in self.admission.expire(self.context.clock.now()):
            self.drop(dropped)
        if self.queued:
            self.expiry = self.context.loop.call_later(
                EXPIRY_PERIOD_SECONDS, self.expire
            )

    def abandon(self, incoming: Incoming) -> None:
        """Forgets a waiting call whose caller left."""
        if self.queued.pop(id(incoming.waiting), None) is not None:
            self.admission.abandon(incoming.waiting)
            self.note(record.Event.CANCELLED, incoming, detail="while waiting")
            self.end_hop(incoming, status=0)

    def drop(self, dropped: controller.Dropped) -> None:
        """Refuses a call that was given up in the queue."""
        self.shed(self.queued.pop(id(dropped.waiting)), dropped.reason)

    def shed(self, incoming: Incoming, reason: controller.DropReason) -> None:
        """Refuses a call for overload."""
        self.context.metrics.shed.labels(reason).inc()
        self.note(record.Event.SHED, incoming, detail=reason)
        self.refuse(
            incoming,
            refusal(
                errors.Code.OVERLOADED,
                errors.Step.ADMIT,
                f"the target is overloaded: {reason}",
                not_run=True,
                retry_after_ms=self.admission.retry_after_ms(incoming.waiting),
            ),
        )

    def refuse(self, incoming: Incoming, fault: errors.Refusal) -> None:
        """Sends a refusal up."""
        self.end_hop(incoming, status=fault.status)
        now = self.context.clock.now()
        incoming.stream.refuse(
            messages.Refuse(
                call_number=incoming.stream.call_number,
                code=fault.code,
                step=fault.step,
                peer=fault.peer or self.context.instance,
                detail=fault.detail,
                not_run=fault.not_run,
                retry_after_ms=fault.retry_after_ms,
                allowance=incoming.call.allowance.remaining,
                shed_level=max(
                    incoming.call.shed_level, self.admission.shed_level(now)
                ),
                load=float(self.load),
                limit=self.admission.limit.value,
            )
        )

    @property
    def load(self) -> int:
        """Calls running and waiting."""
        return self.admission.running + self.admission.queue.size

    def start(self, incoming: Incoming) -> None:
        """Runs an admitted call."""
        task = eager.start(self.context.loop, self.run(incoming))
        if task is not None:
            self.watch(incoming, task)

    def start_later(self, incoming: Incoming) -> None:
        """Runs an admitted call from the loop's next turn on.

        A call that fails at once frees its slot for the next one; starting
        that one inside would nest as deep as the queue is long.
        """
        self.watch(incoming, self.context.loop.create_task(self.run(incoming)))

    def watch(self, incoming: Incoming, task: asyncio.Task[None]) -> None:
        """Keeps the task of a running call."""
        incoming.task = task
        incoming.stream.on_reset = incoming.cancel
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def release(
        self, *, latency_ms: float | None, overloaded: bool = False
    ) -> None:
        """Frees a slot and acts on what follows from it."""
        released = self.admission.finish(
            self.context.clock.now(),
            latency_ms=latency_ms,
            overloaded=overloaded,
        )
        for dropped in released.dropped:
            self.drop(dropped)
        for waiting in released.started:
            incoming = self.queued.pop(id(waiting))
            fault = self.check_key(incoming.opening)
            if fault is None:
                self.start_later(incoming)
            else:
                self.refuse(incoming, fault)
                self.release(latency_ms=None)

    async def run(self, incoming: Incoming) -> None:
        """Brings a call to the target and its answer back."""
        dispatch = Dispatch(self, incoming)
        token = self.context.active.begin(incoming.call)
        self.note(record.Event.RUNNING, incoming)
        try:
            remaining_ms = incoming.call.deadline_ms - self.context.clock.now()
            with eager.Expiry(
                self.context.loop,
                seconds=remaining_ms / 1_000,
                cancel=incoming.cancel,
            ):
                await dispatch.run(token)
        except TimeoutError:
            dispatch.fail(errors.Code.DEADLINE_EXCEEDED, "the deadline passed")
        except errors.Refusal as fault:
            dispatch.refuse(fault)
        except errors.StreamError:
            self.note(record.Event.CANCELLED, incoming)
        except client.TRANSPORT_ERRORS as error:
            reason = str(error) or type(error).__name__
            dispatch.fail(errors.Code.TARGET_FAILED, reason)
        except asyncio.CancelledError:
            self.note(record.Event.CANCELLED, incoming)
            dispatch.cut()
        finally:
            self.context.active.end(incoming.call)
            dispatch.close()
            self.end_hop(incoming, status=dispatch.status)
            self.release(
                latency_ms=dispatch.latency_ms, overloaded=dispatch.overloaded
            )

    def end_hop(self, incoming: Incoming, *, status: int) -> None:
        """Finishes the span of a call."""
        hop, incoming.hop = incoming.hop, None
        if hop is not None:
            hop.end(
                service=incoming.opening.service,
                instance=self.context.instance,
                call_id=incoming.opening.call_id,
                status=status,
            )

    def note(
        self, event: record.Event, incoming: Incoming, *, detail: str = ""
    ) -> None:
        """Records a decision on a call."""
        self.context.recorder.note(
            event,
            root_id=incoming.opening.root_id,
            call_id=incoming.opening.call_id,
            service=incoming.opening.service,
            peer=self.context.instance,
            detail=detail,
        )

    async def finish_running(self) -> None:
        """Waits until nothing waits or runs."""
        while self.running or self.queued:
            if self.running:
                await asyncio.wait(set(self.running), timeout=0.05)
            else:
                await asyncio.sleep(EXPIRY_PERIOD_SECONDS)

    def cancel_running(self) -> int:
        """Cuts what still runs and returns how many calls that were."""
        cut = len(self.running) + len(self.queued)
        for task in self.running:
            task.cancel()
        return cut


class Dispatch:
    """One call at the target.

    Attributes:
      answered: Whether the head of an answer went up.
      handed_over: Whether any byte went to the target.
      latency_ms: Time of the target; None when it says nothing about it.
      overloaded: Whether the target refused for overload.
      status: HTTP status of the answer; 0 without one.
    """

    def __init__(self, guard: Guard, incoming: Incoming) -> None:
        self.guard = guard
        self.incoming = incoming
        self.connection: client.TargetConnection | None = None
        self.pump: asyncio.Task[None] | None = None
        self.clean = False
        self.answered = False
        self.handed_over = False
        self.latency_ms: float | None = None
        self.overloaded = False
        self.status = 0

    async def run(self, token: str) -> None:
        """Sends the request and relays the answer."""
        opening = self.incoming.opening
        clock = self.guard.context.clock
        self.connection = await self.guard.pool.lease()
        started_ms = clock.now()
        self.handed_over = True
        await self.connection.start(
            method=opening.method,
            path=opening.path,
            headers=self.request_headers(token),
            chunk=opening.chunk,
            last=opening.last,
        )
        if not opening.last:
            self.incoming.stream.read_nowait()
            self.incoming.stream.grant_body()
            self.pump = self.guard.context.loop.create_task(
                self.send_body(self.connection)
            )
        answer = await self.await_answer(self.connection)
        if opening.last:
            self.latency_ms = clock.now() - started_ms
        self.status = answer.message.code
        if self.is_not_run(answer):
            return
        await self.relay(answer)
        self.clean = self.pump is None or self.pump.done()

    def request_headers(self, token: str) -> CIMultiDict[str]:
        """Returns the headers for the target."""
        opening = self.incoming.opening
        fields = headers.to_multidict(opening.headers)
        fields["Host"] = self.guard.host
        fields[headers.CONTEXT] = token
        if self.incoming.call.traceparent:
            fields[headers.TRACEPARENT] = self.incoming.call.traceparent
        return fields

    async def await_answer(
        self, connection: client.TargetConnection
    ) -> client.TargetAnswer:
        """Waits for the answer's head, or for the body's failure."""
        if self.pump is None:
            return await connection.answer()
        waiting = asyncio.ensure_future(connection.answer())
        try:
            await asyncio.wait(
                {waiting, self.pump}, return_when=asyncio.FIRST_COMPLETED
            )
            if self.pump.done() and not waiting.done():
                self.pump.result()
            return await waiting
        finally:
            waiting.cancel()

    async def send_body(self, connection: client.TargetConnection) -> None:
        """Passes the rest of the request's body to the target."""
        stream = self.incoming.stream
        while True:
            chunk = await stream.read()
            await connection.send(chunk, last=stream.at_end)
            if stream.at_end:
                return

    def is_not_run(self, answer: client.TargetAnswer) -> bool:
        """Handles a target's own refusal for overload."""
        self.overloaded = answer.message.code in OVERLOAD_STATUSES
        says_not_run = (
            answer.message.headers.get(headers.NOT_RUN, "").lower() == "true"
        )
        if not (self.overloaded and says_not_run):
            return False
        self.clean = answer.body.is_eof()
        self.refuse(
            refusal(
                errors.Code.OVERLOADED,
                errors.Step.DISPATCH,
                f"the target refused with {answer.message.code}",
                not_run=True,
                retry_after_ms=controller.RETRY_AFTER_MS_MIN,
            )
        )
        return True

    async def relay(self, answer: client.TargetAnswer) -> None:
        """Sends the answer up."""
        guard, stream = self.guard, self.incoming.stream
        body = answer.body
        chunk = body.read_nowait() if body.is_eof() else b""
        last = body.is_eof() and len(chunk) <= messages.CHUNK_BYTES_MAX
        first = chunk[: messages.CHUNK_BYTES_MAX]
        now = guard.context.clock.now()
        message = answer.message
        self.answered = True
        stream.send_answer(
            messages.Answer(
                call_number=stream.call_number,
                status=message.code,
                headers=headers.passed_on(
                    message.headers.items(),
                    stripped=headers.HOP_BY_HOP,
                    connection=message.headers.get("Connection", ""),
                ),
                allowance=self.incoming.call.allowance.remaining,
                shed_level=max(
                    self.incoming.call.shed_level,
                    guard.admission.shed_level(now),
                ),
                load=float(guard.load),
                limit=guard.admission.limit.value,
                chunk=first,
                last=last,
            )
        )
        guard.note(
            record.Event.ANSWERED, self.incoming, detail=str(message.code)
        )
        if last:
            stream.close()
            return
        await stream.send(chunk[messages.CHUNK_BYTES_MAX :], last=False)
        while not body.at_eof():
            chunk = await body.readany()
            await stream.send(chunk, last=body.at_eof())
        if not stream.sent_last:
            await stream.send(b"", last=True)
        stream.close()

    def fail(self, code: errors.Code, detail: str) -> None:
        """Ends a call that the target did not answer whole."""
        self.latency_ms = None
        if self.answered:
            # Part of the answer is up already; only a cut shows that it is
            # not the whole.
            self.incoming.stream.reset(errors.Code.ANSWER_ABORTED, detail)
            return
        self.refuse(
            refusal(
                code,
                errors.Step.DISPATCH,
                f"target: {detail}",
                not_run=not self.handed_over,
            )
        )

    def refuse(self, fault: errors.Refusal) -> None:
        """Sends a refusal up."""
        self.guard.refuse(self.incoming, fault)

    def cut(self) -> None:
        """Ends a call whose caller left, or that a shutdown cuts."""
        self.incoming.stream.reset(errors.Code.CANCELLED, "cancelled")

    def close(self) -> None:
        """Returns the connection; a doubtful one is cut."""
        if self.pump is not None and not self.pump.done():
            self.pump.cancel()
        if self.connection is not None:
            self.guard.pool.release(self.connection, clean=self.clean)
