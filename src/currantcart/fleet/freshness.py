"""How current this node's configuration is known to be.

A withdrawn key must stop on each node within a bound, also on one that is cut
off. Nothing that a node has tells it that it missed a withdrawal; so keyed
requests are served only while it can show that its version was the newest a
short time ago. Ages count from before the store was asked, on a clock that
counts suspension, and travel from node to node.
"""

from __future__ import annotations

import dataclasses

POLL_MS = 700.0
TAKE_OVER_MS = 1_200.0
STAGGER_MS = 60.0
FIRST_RANKS = 10
LATER_STAGGER_MS = 100.0
FIRST_POLL_MS = 400.0
FIRST_WAIT_MS_MAX = 1_500.0
FAILING_PACES_MAX = 10
MARGIN_MS = 500.0
NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Freshness:
    """The moment as of which a version was the newest.

    Attributes:
      version: The version that this node serves; 0 without one.
      as_of: The moment, on the node's clock.
    """

    version: int = 0
    as_of: float = NEVER

    def confirm(self, version: int, as_of: float) -> None:
        """Takes the word that a version was the newest at a moment."""
        if version == self.version and as_of > self.as_of:
            self.as_of = as_of

    def take(self, version: int, as_of: float) -> None:
        """Takes a newer version."""
        self.version = version
        self.as_of = as_of

    def age(self, now: float) -> float:
        """Returns the milliseconds since the version was the newest."""
        return now - self.as_of

    def may_serve_keys(self, now: float, *, bound_ms: float) -> bool:
        """Tells whether a withdrawn key can't be in force any more.

        Args:
          now: Milliseconds of the node's clock.
          bound_ms: Time within which a withdrawal must be in force.
        """
        return self.age(now) < bound_ms - MARGIN_MS


def patience_ms(rank: int) -> float:
    """Returns how old the word of others may be before a node asks itself.

    The first few follow each other closely, so that a reader that fails is
    replaced before keys stop; a store that answers nobody is not asked by a
    whole fleet at once.
    """
    first = min(max(rank - 1, 0), FIRST_RANKS)
    later = max(rank - 1 - FIRST_RANKS, 0)
    return TAKE_OVER_MS + STAGGER_MS * first + LATER_STAGGER_MS * later


def retry_ms(rank: int) -> float:
    """Returns the time between two reads that bring nothing."""
    return POLL_MS * min(1 + rank, FAILING_PACES_MAX)


def poll_due(
    *,
    now: float,
    as_of: float,
    last_poll: float,
    rank: int,
    is_reader: bool = False,
    failing: bool = False,
) -> bool:
    """Decides whether this node asks the store for the configuration.

    The first in rank asks at a steady pace and tells the others. The others
    ask once what they were told is old, a little apart from each other, so
    that one that gets through can tell the rest before they ask.

    Args:
      now: Milliseconds of the node's clock.
      as_of: When the configuration was known to be the newest.
      last_poll: When this node asked last.
      rank: Its place among the live nodes, 0 for the first.
      is_reader: Whether what it knows comes from its own last read.
      failing: Whether its last read failed.
    """
    pace = retry_ms(rank) if failing else POLL_MS
    if now - last_poll < pace:
        return False
    if rank == 0:
        return True
    patience = TAKE_OVER_MS if is_reader else patience_ms(rank)
    return now - as_of >= patience


def first_poll_due(
    *, now: float, found_at: float, last_poll: float, rank: int
) -> bool:
    """Decides whether a node without a configuration asks the store.

    Its peers may have one, or the first in rank is about to read it.

    Args:
      now: Milliseconds of the node's clock.
      found_at: When the node learned who its peers are.
      last_poll: When this node asked last.
      rank: Its place among the live nodes, 0 for the first.
    """
    if rank == 0:
        return now - last_poll >= FIRST_POLL_MS
    wait = min(patience_ms(rank) - TAKE_OVER_MS, FIRST_WAIT_MS_MAX)
    return now - found_at >= wait and now - last_poll >= retry_ms(rank)
