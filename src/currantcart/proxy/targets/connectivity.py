"""Whether the local target accepts connections."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.http1 import pool
from currantcart.proxy import context as proxy_context

PROBE_SECONDS = 0.1
"""Time between two attempts to connect to a target that refuses connections."""


class Connectivity:
    """Detects that the target refuses connections, and that it is back.

    Without it a crashed target would be placed on until its next report, and
    all that waits would be sent to it at once when it has started again.

    Attributes:
      up: Whether the target accepts connections, as far as is known.
      connections: Pool of connections to the target.
      is_used: Returns whether the target is to be probed while it is down.
      on_change: Called when the target is down or up again.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        connections: pool.Pool,
        is_used: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.context = context
        self.connections = connections
        self.is_used = is_used
        self.on_change = on_change
        self.up = True

    def mark_up(self) -> None:
        """Records a report of the target, which shows that it runs."""
        self.up = True

    def mark_down(self) -> None:
        """Records that the target has refused a connection."""
        if not self.up:
            return
        self.up = False
        self.on_change()
        self.schedule_probe()

    def schedule_probe(self) -> None:
        """Schedules the next attempt to connect."""
        self.context.loop.call_later(PROBE_SECONDS, self.probe)

    def probe(self) -> None:
        """Tries to connect while the target is down and still used."""
        if not self.up and self.is_used():
            self.connections.dial(
                self.probe_succeeded, lambda _: self.schedule_probe()
            )

    def probe_succeeded(self, connection: pool.Connection) -> None:
        """Records that the target accepts connections again."""
        self.connections.give_back(connection, self.context.now)
        if self.up:
            return
        self.up = True
        self.on_change()
