"""Requests that wait until a target of their service is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module

SWEEP_SECONDS = 0.03
WAIT_OF_OBJECTIVE = 0.125
"""Share of the objective for which a request waits while no target is known.

After a restart or a network partition, targets are known again within a
heartbeat. A refusal with Retry-After would cost the caller more time than that.
"""


class PendingRequests:
    """Holds requests for a short time, then dispatches them again.

    Attributes:
      pending: The requests that wait.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        dispatch: Callable[[call_module.Call], None],
        on_error: Callable[[call_module.Call, Exception], None],
    ) -> None:
        self.context = context
        self.dispatch = dispatch
        self.on_error = on_error
        self.pending: list[call_module.Call] = []
        self.timer: asyncio.TimerHandle | None = None

    def hold(self, call: call_module.Call) -> bool:
        """Holds a request without attempts; returns whether it is held.

        A request is held no longer than `WAIT_OF_OBJECTIVE` allows.
        """
        waited = self.context.now - call.started_at
        allowed = call.request.route.objective_ms * WAIT_OF_OBJECTIVE
        if call.outcomes or waited >= allowed:
            return False
        self.pending.append(call)
        if self.timer is None:
            self.timer = self.context.loop.call_later(SWEEP_SECONDS, self.sweep)
        return True

    def sweep(self) -> None:
        """Dispatches the pending requests again."""
        self.timer = None
        pending, self.pending = self.pending, []
        for call in pending:
            if call.done:
                continue
            try:
                self.dispatch(call)
            except Exception as error:
                self.on_error(call, error)
