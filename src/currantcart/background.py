"""Background tasks that run for the lifetime of a node."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

Work = Callable[[], Awaitable[None]]

RESTART_SECONDS_MAX = 4.0
"""Longest delay before failed work is restarted.

It is less than the time in which a lease must be renewed.
"""
SETTLED_SECONDS = 10.0
"""Time without a failure after which work counts as running again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failure of background work.

    Attributes:
      work: Name of the work.
      error: What it raised.
      in_a_row: Failures so far, this one included, none of them later than
        `SETTLED_SECONDS` after a restart.
      restart_seconds: Delay before the work is restarted.
    """

    work: str
    error: Exception
    in_a_row: int
    restart_seconds: float


class Background:
    """Background tasks of one node, restarted when they fail.

    Attributes:
      restart_seconds: Delay before failed work is restarted for the first
        time; it doubles with each failure in a row.
      on_failure: Called each time work fails.
      tasks: The running tasks.
      failed_at: When work failed last, in seconds of the loop, by name.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        restart_seconds: float,
        on_failure: Callable[[Failure], None],
    ) -> None:
        self.loop = loop
        self.restart_seconds = restart_seconds
        self.on_failure = on_failure
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed_at: dict[str, float] = {}

    def keep(self, work: Work, *, name: str = "") -> None:
        """Starts a task that runs `work`, with restarts, until it returns.

        Args:
          work: The work.
          name: Its name in reports; that of the function by default.
        """
        name = name or getattr(work, "__qualname__", repr(work))
        self.hold(self.loop.create_task(self.supervise(work, name)))

    def hold(self, task: asyncio.Task[None]) -> None:
        """Holds a reference to a task while it runs.

        The event loop has only weak references, so the task could otherwise be
        garbage collected before it is done.
        """
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def failing(self) -> int:
        """Returns how much work has failed within `SETTLED_SECONDS`."""
        now = self.loop.time()
        return sum(
            now - failed_at < SETTLED_SECONDS
            for failed_at in self.failed_at.values()
        )

    async def supervise(self, work: Work, name: str) -> None:
        """Runs `work` until it returns, and restarts it when it raises.

        If background work stopped unnoticed, the node would continue to serve
        with increasingly stale state. Reporting the failure and restarting the
        work limits that.
        """
        in_a_row = 0
        while True:
            started_at = self.loop.time()
            try:
                await work()
                return
            except Exception as error:
                now = self.loop.time()
                if now - started_at >= SETTLED_SECONDS:
                    in_a_row = 0
                in_a_row += 1
                self.failed_at[name] = now
                delay = self.restart_delay(in_a_row)
                self.on_failure(Failure(name, error, in_a_row, delay))
            await asyncio.sleep(delay)

    def restart_delay(self, in_a_row: int) -> float:
        """Returns the delay after some failures in a row, in seconds."""
        delay = self.restart_seconds
        for _ in range(1, in_a_row):
            if delay >= RESTART_SECONDS_MAX:
                break
            delay *= 2
        return min(delay, RESTART_SECONDS_MAX)
