"""State of a call that arrived for this node's target, and its refusals."""

from __future__ import annotations

import asyncio
import dataclasses

from currantcart import errors
from currantcart.admission import queue
from currantcart.call import active
from currantcart.telemetry import trace
from currantcart.wire import call_stream, messages


@dataclasses.dataclass(slots=True)
class Incoming:
    """A call that arrived for this node's target.

    Attributes:
      opening: The message that opened the call.
      stream: Stream of the call.
      waiting: Queue entry of the call.
      call: Entry of the call as the parent of calls that the target makes.
      hop: Span of the call, if it is traced.
      task: Task that runs the call at the target. If it is started eagerly,
        this is None until it suspends for the first time.
    """

    opening: messages.Open
    stream: call_stream.CallStream
    waiting: queue.WaitingCall
    call: active.ActiveCall
    hop: trace.Hop | None = None
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Cancels the task that runs the call."""
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
    """Returns a refusal by this node."""
    return errors.Refusal(
        code, step, detail, not_run=not_run, retry_after_ms=retry_after_ms
    )
