"""Eager start of coroutines, without waiting for the next loop iteration.

`asyncio` starts a task in the next iteration of the event loop, which costs one
more queue entry and one more `select` for each call at each hop. The first part
of a call rarely waits, so it is run immediately here, and a task resumes the
coroutine at its first wait. Python 3.12 has this as eager tasks.
"""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable, Coroutine, Generator
from typing import Any

Work = Coroutine[Any, Any, None]


@types.coroutine
def resume(work: Work, awaited: Any) -> Generator[Any, Any, None]:
    """Resumes a started coroutine and runs it to its end.

    Args:
      work: The coroutine, suspended at its first wait.
      awaited: What it waits for.

    Yields:
      Each object that the coroutine waits for, to the task that runs this.
    """
    while True:
        try:
            try:
                sent = yield awaited
            except BaseException as error:
                awaited = work.throw(error)
            else:
                awaited = work.send(sent)
        except StopIteration:
            return


def start(
    loop: asyncio.AbstractEventLoop, work: Work
) -> asyncio.Task[None] | None:
    """Runs a coroutine up to its first wait.

    There is no current task before the first wait, so `asyncio.timeout` cannot
    be entered there; `Expiry` can.

    Returns:
      The task that resumes the coroutine, or None if it has already ended.
    """
    try:
        awaited = work.send(None)
    except StopIteration:
        return None
    return loop.create_task(resume(work, awaited))


class Expiry:
    """A time-out for the body of a `with` block.

    On expiry it calls `cancel`, which must cancel the task that runs the
    block. The cancellation leaves the block as a `TimeoutError`.

    Attributes:
      expired: Whether the time-out has expired.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        seconds: float,
        cancel: Callable[[], object],
    ) -> None:
        self.loop = loop
        self.seconds = seconds
        self.cancel = cancel
        self.expired = False
        self.timer: asyncio.TimerHandle | None = None

    def expire(self) -> None:
        """Marks the time-out as expired and cancels the body."""
        self.expired = True
        self.cancel()

    def __enter__(self) -> Expiry:
        self.timer = self.loop.call_later(max(0.0, self.seconds), self.expire)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        assert self.timer is not None
        self.timer.cancel()
        if self.expired and kind is asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()
            raise TimeoutError from error
