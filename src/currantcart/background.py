"""Background tasks that run for the lifetime of a node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Work = Callable[[], Awaitable[None]]


class Background:
    """Background tasks of one node, restarted when they fail.

    Attributes:
      restart_seconds: Delay before failed work is restarted.
      on_failure: Called with the exception each time work fails.
      tasks: The running tasks.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        restart_seconds: float,
        on_failure: Callable[[Exception], None],
    ) -> None:
        self.loop = loop
        self.restart_seconds = restart_seconds
        self.on_failure = on_failure
        self.tasks: set[asyncio.Task[None]] = set()

    def keep(self, work: Work) -> None:
        """Starts a task that runs `work`, with restarts, until it returns."""
        self.hold(self.loop.create_task(self.supervise(work)))

    def hold(self, task: asyncio.Task[None]) -> None:
        """Holds a reference to a task while it runs.

        The event loop has only weak references, so the task could otherwise be
        garbage collected before it is done.
        """
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def supervise(self, work: Work) -> None:
        """Runs `work` until it returns, and restarts it when it raises.

        If background work stopped unnoticed, the node would continue to serve
        with increasingly stale state. Reporting the failure and restarting the
        work limits that.
        """
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.on_failure(error)
                await asyncio.sleep(self.restart_seconds)
