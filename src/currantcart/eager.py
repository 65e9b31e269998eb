"""Starting a coroutine at once, without waiting for the loop's next turn.

`asyncio` begins a task in the next turn of the loop: one more queue entry and
one more `select` for each call at each hop. Most of a call's first part never
waits, so here it runs at once, and a task takes over where it first waits.
Python 3.12 has this as eager tasks.
"""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable, Coroutine, Generator
from typing import Any

Work = Coroutine[Any, Any, None]


@types.coroutine
def resume(work: Work, awaited: Any) -> Generator[Any, Any, None]:
    """Goes on with a coroutine that already waits for something.

    Args:
      work: The started coroutine.
      awaited: What it waits for.

    Yields:
      What it waits for, time after time, to the task that runs this.
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

    There is no current task in this first part, so `asyncio.timeout` cannot
    be entered in it; `Expiry` can.

    Returns:
      The task that goes on with it, or None when it has ended.
    """
    try:
        awaited = work.send(None)
    except StopIteration:
        return None
    return loop.create_task(resume(work, awaited))


class Expiry:
    """A time limit on the work inside a `with` block.

    Attributes:
      expired: Whether the limit ended the work.
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
        """Ends the work."""
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
