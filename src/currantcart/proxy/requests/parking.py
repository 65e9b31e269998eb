"""Requests that wait until a target of their service is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module

SWEEP_SECONDS = 0.03
WAIT_OF_OBJECTIVE = 0.125
"""Part of the objective for which a request waits while no target is known.

After a restart or a cut, targets come back within a heartbeat; asking the
caller to come back costs it more than that.
"""


class Parking:
    """Holds requests for a moment, and has them tried again.

    Attributes:
      parked: Those that wait.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        try_again: Callable[[call_module.Call], None],
    ) -> None:
        self.context = context
        self.try_again = try_again
        self.parked: list[call_module.Call] = []
        self.timer: asyncio.TimerHandle | None = None

    def hold(self, call: call_module.Call) -> bool:
        """Holds a request that no guard has seen yet, if it may still wait."""
        waited = self.context.now - call.started_at
        allowed = call.request.route.objective_ms * WAIT_OF_OBJECTIVE
        if call.outcomes or waited >= allowed:
            return False
        self.parked.append(call)
        if self.timer is None:
            self.timer = self.context.loop.call_later(SWEEP_SECONDS, self.sweep)
        return True

    def sweep(self) -> None:
        """Tries the requests that wait again."""
        self.timer = None
        parked, self.parked = self.parked, []
        for call in parked:
            if not call.done:
                self.try_again(call)
