"""Controls all access to the target: admission, queue and dispatch."""

from __future__ import annotations

import asyncio

from currantcart import eager, errors
from currantcart.admission import controller
from currantcart.http1 import client
from currantcart.node import arrival, dispatch
from currantcart.node import context as node_context
from currantcart.node import incoming as incoming_module
from currantcart.settings import model as settings_model
from currantcart.telemetry import record
from currantcart.wire import call_stream, messages

EXPIRY_PERIOD_SECONDS = 0.01


class Guard:
    """Admits, queues and runs all calls of the local target.

    Attributes:
      host: Address of the target, for the Host header.
      admission: Decides which calls run, wait or are refused.
      pool: Connections to the target; calls use no others.
      queued: Calls that wait, by the `id` of their queue entry.
      running: Tasks of the calls at the target.
      expiry_timer: Timer of the next search for expired calls.
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
        self.queued: dict[int, incoming_module.Incoming] = {}
        self.running: set[asyncio.Task[None]] = set()
        self.expiry_timer: asyncio.TimerHandle | None = None

    def arrive(
        self, opening: messages.Open, stream: call_stream.CallStream
    ) -> None:
        """Runs a call, queues it, or refuses it at once."""
        now = self.context.clock.now()
        incoming = arrival.build(self.context, opening, stream, now)
        refusal = arrival.precheck(self.context, opening)
        if refusal is not None:
            self.refuse(incoming, refusal)
            return
        offer = self.admission.offer(incoming.waiting, now)
        for dropped in offer.dropped:
            self.drop(dropped)
        if offer.verdict is controller.Verdict.RUN:
            self.start(incoming)
        elif offer.verdict is controller.Verdict.WAIT:
            self.enqueue(incoming)
        else:
            assert offer.reason is not None
            self.shed(incoming, offer.reason)

    def enqueue(self, incoming: incoming_module.Incoming) -> None:
        """Queues a call until a slot is free or it is dropped."""
        self.queued[id(incoming.waiting)] = incoming
        incoming.stream.on_reset = lambda: self.abandon(incoming)
        self.record_event(record.Event.QUEUED, incoming)
        if self.expiry_timer is None:
            self.expiry_timer = self.context.loop.call_later(
                EXPIRY_PERIOD_SECONDS, self.expire
            )

    def expire(self) -> None:
        """Drops expired calls, periodically while any are queued."""
        self.expiry_timer = None
        for dropped in self.admission.expire(self.context.clock.now()):
            self.drop(dropped)
        if self.queued:
            self.expiry_timer = self.context.loop.call_later(
                EXPIRY_PERIOD_SECONDS, self.expire
            )

    def abandon(self, incoming: incoming_module.Incoming) -> None:
        """Removes a queued call whose caller has left."""
        if self.queued.pop(id(incoming.waiting), None) is not None:
            self.admission.abandon(incoming.waiting)
            self.record_event(
                record.Event.CANCELLED, incoming, detail="while waiting"
            )
            self.end_hop(incoming, status=0)

    def drop(self, dropped: controller.Dropped) -> None:
        """Refuses a call that was dropped from the queue."""
        self.shed(self.queued.pop(id(dropped.waiting)), dropped.reason)

    def shed(
        self, incoming: incoming_module.Incoming, reason: controller.DropReason
    ) -> None:
        """Refuses a call because of overload."""
        self.context.metrics.shed.labels(reason).inc()
        self.record_event(record.Event.SHED, incoming, detail=reason)
        self.refuse(
            incoming,
            incoming_module.refusal(
                errors.Code.OVERLOADED,
                errors.Step.ADMIT,
                f"the target is overloaded: {reason}",
                not_run=True,
                retry_after_ms=self.admission.retry_after_ms(incoming.waiting),
            ),
        )

    def refuse(
        self, incoming: incoming_module.Incoming, refusal: errors.Refusal
    ) -> None:
        """Sends a refusal to the caller's node."""
        self.end_hop(incoming, status=refusal.status)
        now = self.context.clock.now()
        incoming.stream.refuse(
            messages.Refuse(
                call_number=incoming.stream.call_number,
                code=refusal.code,
                step=refusal.step,
                peer=refusal.peer or self.context.instance,
                detail=refusal.detail,
                not_run=refusal.not_run,
                retry_after_ms=refusal.retry_after_ms,
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
        """Number of calls running and waiting."""
        return self.admission.running + self.admission.queue.size

    def start(self, incoming: incoming_module.Incoming) -> None:
        """Runs an admitted call."""
        task = eager.start(self.context.loop, self.run(incoming))
        if task is not None:
            self.track(incoming, task)

    def start_later(self, incoming: incoming_module.Incoming) -> None:
        """Runs an admitted call from the next iteration of the event loop.

        A call that fails at once frees its slot for the next one. Starting
        that one directly would recurse as deep as the queue is long.
        """
        self.track(incoming, self.context.loop.create_task(self.run(incoming)))

    def track(
        self, incoming: incoming_module.Incoming, task: asyncio.Task[None]
    ) -> None:
        """Tracks the task of a running call, and cancels it on a reset."""
        incoming.task = task
        incoming.stream.on_reset = incoming.cancel
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def release(
        self, *, latency_ms: float | None, overloaded: bool = False
    ) -> None:
        """Releases a slot and starts or drops queued calls accordingly.

        Args:
          latency_ms: Time that the target took; None if it was not measured.
          overloaded: Whether the target refused because of overload.
        """
        released = self.admission.finish(
            self.context.clock.now(),
            latency_ms=latency_ms,
            overloaded=overloaded,
        )
        open_releases = [released]
        while open_releases:
            released = open_releases.pop()
            for dropped in released.dropped:
                self.drop(dropped)
            for waiting in released.started:
                if not self.start_waiting(self.queued.pop(id(waiting))):
                    open_releases.append(
                        self.admission.finish(
                            self.context.clock.now(), latency_ms=None
                        )
                    )

    def start_waiting(self, incoming: incoming_module.Incoming) -> bool:
        """Starts a queued call, unless the configuration rules it out now.

        Returns:
          Whether the call was started.
        """
        refusal = arrival.check_view(self.context, incoming.opening)
        if refusal is not None:
            self.refuse(incoming, refusal)
            return False
        self.start_later(incoming)
        return True

    async def run(self, incoming: incoming_module.Incoming) -> None:
        """Runs a call at the target, until its deadline at the latest."""
        attempt = dispatch.Dispatch(self, incoming)
        token = self.context.active.begin(incoming.call)
        self.record_event(record.Event.RUNNING, incoming)
        try:
            remaining_ms = incoming.call.deadline_ms - self.context.clock.now()
            with eager.Expiry(
                self.context.loop,
                seconds=remaining_ms / 1_000,
                cancel=incoming.cancel,
            ):
                await attempt.run(token)
        except TimeoutError:
            attempt.fail(errors.Code.DEADLINE_EXCEEDED, "the deadline passed")
        except errors.Refusal as refusal:
            attempt.refuse(refusal)
        except errors.StreamError:
            self.record_event(record.Event.CANCELLED, incoming)
        except client.TRANSPORT_ERRORS as error:
            reason = str(error) or type(error).__name__
            attempt.fail(errors.Code.TARGET_FAILED, reason)
        except asyncio.CancelledError:
            self.record_event(record.Event.CANCELLED, incoming)
            attempt.abort()
        finally:
            self.context.active.end(incoming.call)
            attempt.close()
            self.end_hop(incoming, status=attempt.status)
            self.release(
                latency_ms=attempt.latency_ms, overloaded=attempt.overloaded
            )

    def end_hop(
        self, incoming: incoming_module.Incoming, *, status: int
    ) -> None:
        """Ends the span of a call, if it has one."""
        hop, incoming.hop = incoming.hop, None
        if hop is not None:
            hop.end(
                service=incoming.opening.service,
                instance=self.context.instance,
                call_id=incoming.opening.call_id,
                status=status,
            )

    def record_event(
        self,
        event: record.Event,
        incoming: incoming_module.Incoming,
        *,
        detail: str = "",
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
        """Waits until no call is queued or running."""
        while self.running or self.queued:
            if self.running:
                await asyncio.wait(set(self.running), timeout=0.05)
            else:
                await asyncio.sleep(EXPIRY_PERIOD_SECONDS)

    def cancel_running(self) -> int:
        """Cancels the running calls.

        Returns:
          Number of calls that were running or queued.
        """
        cut = len(self.running) + len(self.queued)
        for task in self.running:
            task.cancel()
        return cut
