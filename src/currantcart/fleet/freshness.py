"""Freshness of this node's configuration.

A withdrawn key must stop working on each node within a bound, also on one that
is cut off. A node cannot detect that it missed a withdrawal. So requests with
keys are served only while the node can show that its version was the newest a
short time ago. Ages are measured from before the store was read, on a clock
that counts suspension, and are passed on from node to node.
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
RETRY_INTERVALS_MAX = 10
MARGIN_MS = 500.0
NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Freshness:
    """The latest time as of which the node's version is known to be newest.

    Attributes:
      version: The version that this node serves; 0 without one.
      as_of: That time, in milliseconds of the node's clock.
    """

    version: int = 0
    as_of: float = NEVER

    def confirm(self, version: int, as_of: float) -> None:
        """Records that a version was the newest at a given time."""
        if version == self.version and as_of > self.as_of:
            self.as_of = as_of

    def adopt(self, version: int, as_of: float) -> None:
        """Records that the node now serves a newer version."""
        self.version = version
        self.as_of = as_of

    def age(self, now: float) -> float:
        """Returns the milliseconds since the version was the newest."""
        return now - self.as_of

    def may_serve_keys(self, now: float, *, bound_ms: float) -> bool:
        """Returns whether requests with keys may be served.

        They may while no key that was withdrawn longer ago than the bound can
        still be valid in this version.

        Args:
          now: Milliseconds of the node's clock.
          bound_ms: Time within which a withdrawal must take effect.
        """
        return self.age(now) < bound_ms - MARGIN_MS


def take_over_age_ms(rank: int) -> float:
    """Returns the configuration age at which a node polls the store itself.

    The ages of the first ranks are close together, so that a failing reader
    is replaced before keys are refused. Those of later ranks are further
    apart, so that the fleet does not poll a store that is down all at once.
    """
    first = min(max(rank - 1, 0), FIRST_RANKS)
    later = max(rank - 1 - FIRST_RANKS, 0)
    return TAKE_OVER_MS + STAGGER_MS * first + LATER_STAGGER_MS * later


def retry_ms(rank: int) -> float:
    """Returns the poll interval of a node whose reads bring no result."""
    return POLL_MS * min(1 + rank, RETRY_INTERVALS_MAX)


def poll_due(
    *,
    now: float,
    as_of: float,
    last_poll: float,
    rank: int,
    is_reader: bool = False,
    failing: bool = False,
) -> bool:
    """Returns whether this node should poll the store for the configuration.

    The first node in rank polls at a steady interval and sends the result to
    the others. The others poll once their information is too old, staggered
    by rank, so that the first one that succeeds can inform the rest before
    they poll.

    Args:
      now: Milliseconds of the node's clock.
      as_of: Time at which the configuration was known to be the newest.
      last_poll: When this node last polled.
      rank: Its rank among the live nodes; 0 is the first.
      is_reader: Whether `as_of` comes from its own last read.
      failing: Whether its last read failed.
    """
    interval = retry_ms(rank) if failing else POLL_MS
    if now - last_poll < interval:
        return False
    if rank == 0:
        return True
    age_max = TAKE_OVER_MS if is_reader else take_over_age_ms(rank)
    return now - as_of >= age_max


def first_poll_due(
    *, now: float, peers_listed_at: float, last_poll: float, rank: int
) -> bool:
    """Returns whether a node without a configuration should poll the store.

    Nodes of later ranks wait first: a peer may have a configuration, or the
    first node in rank may be about to read it.

    Args:
      now: Milliseconds of the node's clock.
      peers_listed_at: When the node learned which peers it has.
      last_poll: When this node last polled.
      rank: Its rank among the live nodes; 0 is the first.
    """
    if rank == 0:
        return now - last_poll >= FIRST_POLL_MS
    wait = min(take_over_age_ms(rank) - TAKE_OVER_MS, FIRST_WAIT_MS_MAX)
    return now - peers_listed_at >= wait and now - last_poll >= retry_ms(rank)
