"""Which nodes of a failure domain relay statuses.

These are the first two live nodes by name. Each node works them out from what
it receives; nodes that disagree for a moment only send or receive more than
necessary.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from currantcart.fleet import digest

RELAYS_PER_DOMAIN = 2
"""There is more than one, so that the loss of one leaves no gap."""
RELAY_SILENT_MS = 1.5 * digest.STATUS_MS
"""Silence after which the next node takes the place of a relay.

It is shorter than for other nodes, as a relay is received directly.
"""


@dataclasses.dataclass(slots=True)
class Succession:
    """The relays of one failure domain, as one node sees them.

    Attributes:
      current: Their instances, by name.
      silent: Nodes that were passed over; they have to be received again to
        become relays.
    """

    current: tuple[str, ...] = ()
    silent: set[str] = dataclasses.field(default_factory=set)

    def update(self, candidates: Iterable[tuple[str, float]]) -> bool:
        """Selects the relays.

        Args:
          candidates: Instances by name, each with the time in ms since it was
            last known to be live.

        Returns:
          Whether the relays have changed.
        """
        chosen: list[str] = []
        for name, silence in candidates:
            if self.is_silent(name, silence):
                self.silent.add(name)
                continue
            self.silent.discard(name)
            chosen.append(name)
            if len(chosen) == RELAYS_PER_DOMAIN:
                break
        before, self.current = self.current, tuple(chosen)
        return before != self.current

    def is_silent(self, name: str, silence: float) -> bool:
        """Returns whether a node is passed over."""
        if name in self.current or name in self.silent:
            return silence >= RELAY_SILENT_MS
        return silence >= digest.PEER_SILENT_MS
