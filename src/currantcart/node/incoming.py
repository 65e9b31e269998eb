"""A call that came to this node's target, and the refusals it may meet."""

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
