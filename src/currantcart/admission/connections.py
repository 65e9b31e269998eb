"""Bounds the connections that callers may hold open at a node.

Refused callers reconnect, and keep their old connections open until the idle
time-out. Without a bound, a burst of refusals exhausts the node's file
descriptors: it can then neither accept connections nor connect to its target,
and by the time it reads the requests queued in the kernel, their callers have
left.
"""

from __future__ import annotations

import dataclasses

FILE_DESCRIPTORS = 200
"""File descriptors reserved for files."""
STREAMS_PER_PEER = 2
CONNECTIONS_PER_SLOT = 2
"""A slot may have one connection in use and another that is closing."""
OTHER_DESCRIPTORS = 64
"""File descriptors for probes, reports, the store and listening sockets."""
CALLER_CONNECTIONS_MIN = 64
CLOSE_FAILED_SHARE = 0.4
"""Share of the limit from which a failed response closes its connection.

A refused caller reconnects anyway, so closing costs it nothing, and during a
flood of refusals the node keeps time to serve the remaining connections.
"""
CLOSE_ALL_SHARE = 0.75
"""Share of the limit from which every response closes its connection.

Idle connections above it are closed as well, the longest idle first.
"""


def caller_limit(*, descriptors: int, peers: int, slots: int) -> int:
    """Returns how many connections callers may hold open.

    Args:
      descriptors: File descriptors that the process may open in total.
      peers: Nodes that this node has streams to.
      slots: Requests that the target runs concurrently.
    """
    reserved = (
        FILE_DESCRIPTORS
        + OTHER_DESCRIPTORS
        + peers * STREAMS_PER_PEER
        + slots * CONNECTIONS_PER_SLOT
    )
    return max(CALLER_CONNECTIONS_MIN, descriptors - reserved)


@dataclasses.dataclass(slots=True)
class ConnectionLimit:
    """Limit on the number of open caller connections.

    Attributes:
      limit: Connections that callers may hold open.
    """

    limit: int

    def closes_after(self, *, opened: int, failed: bool) -> bool:
        """Returns whether a response closes its connection.

        Args:
          opened: Caller connections that are open.
          failed: Whether the response is not a success.
        """
        share = CLOSE_FAILED_SHARE if failed else CLOSE_ALL_SHARE
        return opened >= self.limit * share

    def surplus(self, opened: int) -> int:
        """Returns how many idle connections to close."""
        return max(0, opened - int(self.limit * CLOSE_ALL_SHARE))

    def is_full(self, opened: int) -> bool:
        """Returns whether each new connection requires closing another."""
        return opened > self.limit
