"""Asks the local target whether it is cold."""

from __future__ import annotations

from collections.abc import Callable

from currantcart import bounds
from currantcart.http1 import pool
from currantcart.proxy import context as proxy_context

HEALTHY = 200
"""Status of a healthy target's answer."""
ANSWER_SECONDS_MAX = 0.5
"""Time limit of the request; a full target may never answer."""

COLD_MS_MAX = bounds.SECONDS_MAX * 1_000.0


class ColdCheck:
    """One health request to the target, whose answer states its warm-up.

    The target's next report states it too, but may be a report interval away.
    No answer, or one of an unhealthy target that does not state it, changes
    nothing.

    Attributes:
      connections: Pool of connections to the target.
      on_known: Called with the remaining warm-up in milliseconds.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        connections: pool.Pool,
        on_known: Callable[[float], None],
    ) -> None:
        self.context = context
        self.connections = connections
        self.on_known = on_known

    def start(self, path: str, target_id: str) -> None:
        """Sends the request on a new connection.

        Args:
          path: Path of the health resource; empty sends nothing.
          target_id: Only an answer of this target counts.
        """
        if not path:
            return
        self.connections.dial(
            lambda opened: self.ask(opened, path, target_id), lambda _: None
        )

    def ask(
        self, connection: pool.Connection, path: str, target_id: str
    ) -> None:
        """Sends the request on an open connection."""
        timer = self.context.loop.call_later(
            ANSWER_SECONDS_MAX, connection.abort
        )

        def on_answer(response: pool.Response) -> bool:
            timer.cancel()
            self.context.loop.call_soon(
                self.connections.give_back, connection, self.context.now
            )
            self.read(response, target_id)
            return True

        host = self.context.settings.target
        head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        connection.send(head.encode(), on_answer, lambda _: timer.cancel())

    def read(self, response: pool.Response, target_id: str) -> None:
        """Passes on the warm-up that an answer states.

        A healthy target that states none is warm.
        """
        keys = self.context.keys
        fields = {name.lower(): value for name, value in response.headers}
        if fields.get(keys.instance) != target_id.encode():
            return
        stated = fields.get(keys.cold)
        if stated is None and response.status != HEALTHY:
            return
        cold_ms = bounds.parse_number(
            stated or b"0", minimum=-COLD_MS_MAX, maximum=COLD_MS_MAX
        )
        if cold_ms is None:
            self.context.log.event("cold_unreadable", value=repr(stated)[:40])
            return
        cold_ms = max(0.0, cold_ms)
        self.context.log.event("cold_known", target=target_id, cold_ms=cold_ms)
        self.on_known(cold_ms)
