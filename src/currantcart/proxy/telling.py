"""At which pace a node tells its peers its state."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy import frames, link

STATUS_MS = 400.0
STATUS_MS_PER_PEER = 6.0
"""Added to the pace for each peer beyond a few: a node's cost stays bounded."""
SMALL_FLEET = 12
COUNTS_MS = 45.0
COUNTS_MS_PER_PEER = 0.5
"""Added to the pace at which counts are told that can't wait for a status.

Each node admits on its own until it hears of the others, so a workspace near
its limit exceeds it by what arrives in one exchange of counts.
"""


def status_pace_ms(peers: int) -> float:
    """Returns the time between two statuses of a node with so many peers."""
    return STATUS_MS + STATUS_MS_PER_PEER * max(0, peers - SMALL_FLEET)


def counts_pace_ms(peers: int) -> float:
    """Returns the time between two tellings of counts that can't wait."""
    return COUNTS_MS + COUNTS_MS_PER_PEER * peers


class Telling:
    """Tells peers this node's state, and the counts that can't wait.

    Attributes:
      told_at: When the state was told last.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        introduced: Callable[[], Iterable[link.Link]],
        peer_count: Callable[[], int],
        status: Callable[[link.Link], frames.Status],
        hurried: Callable[[], dict[str, int]],
    ) -> None:
        """Sets it up.

        Args:
          context: What the parts of the node share.
          introduced: Returns one stream to each peer.
          peer_count: Returns how many peers are known.
          status: Returns the status for a stream.
          hurried: Returns counts that can't wait for the next status.
        """
        self.context = context
        self.introduced = introduced
        self.peer_count = peer_count
        self.status = status
        self.hurried = hurried
        self.told_at = 0.0
        self.hurried_at = 0.0

    def tell(self) -> None:
        """Tells all peers this node's status now."""
        self.told_at = self.context.now
        for item in self.introduced():
            item.tell(self.status(item))

    def tick(self, now: float) -> None:
        """Tells what is due."""
        count = self.peer_count()
        self.context.pace_ms = status_pace_ms(count)
        if now - self.told_at >= self.context.pace_ms:
            self.tell()
        if now - self.hurried_at >= counts_pace_ms(count):
            self.hurried_at = now
            self.tell_counts(self.hurried())

    def tell_counts(self, counts: dict[str, int]) -> None:
        """Tells all peers counts that can't wait for the next status."""
        if not counts:
            return
        for item in self.introduced():
            changed = item.untold(counts)
            if changed:
                item.send(frames.Counts(changed))
