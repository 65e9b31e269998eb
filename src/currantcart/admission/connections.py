"""How many connections of callers a node keeps, and which it lets go.

Callers that are refused come back on new connections and keep the old ones
for as long as their idle time allows. Without a bound a burst of refusals
uses up the node's descriptors. It can then neither accept nor reach its
target, and reads what waited in the kernel only after its callers have left.
"""

from __future__ import annotations

import dataclasses

FILES = 200
"""Descriptors that are left for files."""
STREAMS_A_PEER = 2
CONNECTIONS_A_SLOT = 2
"""A target's slot may have a connection at work and one that is closing."""
OTHERS = 64
"""Descriptors for probes, reports, the store and the listening sockets."""
LEAST = 64
CROWDED = 0.4
"""Part of the limit from which a caller that is refused is sent on.

It comes back on a new connection anyway, so closing costs it nothing, and a
flood of refusals leaves time to act on what is kept.
"""
NEARLY_FULL = 0.75
"""Part of the limit from which every answer closes its connection.

Idle connections are closed down to it too, the longest idle first.
"""


def caller_limit(*, descriptors: int, peers: int, slots: int) -> int:
    """Returns how many connections callers may have.

    Args:
      descriptors: What the process may open in all.
      peers: Nodes to which streams stand.
      slots: Requests that the target runs at once.
    """
    own = FILES + OTHERS + peers * STREAMS_A_PEER + slots * CONNECTIONS_A_SLOT
    return max(LEAST, descriptors - own)


@dataclasses.dataclass(slots=True)
class ConnectionLimit:
    """The bound on callers' connections.

    Attributes:
      limit: Connections that callers may have.
    """

    limit: int

    def closes_after(self, *, opened: int, failed: bool) -> bool:
        """Tells whether an answer is the last one on its connection.

        Args:
          opened: Connections that callers have.
          failed: Whether the answer is no success.
        """
        part = CROWDED if failed else NEARLY_FULL
        return opened >= self.limit * part

    def surplus(self, opened: int) -> int:
        """Returns how many idle connections are too many."""
        return max(0, opened - int(self.limit * NEARLY_FULL))

    def is_full(self, opened: int) -> bool:
        """Tells whether one connection must go for each that comes."""
        return opened > self.limit
