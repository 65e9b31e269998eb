"""Whether a request comes from a caller or from the local target.

Both send their requests to the same address. A target's call carries no key, is
made while the target works on a request, and expires no later than that one. A
caller on a route without keys may send what looks the same.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

EXPIRY_SLACK_MS = 250.0
"""Time by which a call may seem to expire later than the request it serves.

Its deadline is counted from its arrival, and a busy node reads it late.
"""


class Origin(enum.Enum):
    """Where a request comes from, as far as can be told.

    `CALLER`: it can't be a call of the local target. `TARGET`: its id is built
    from the id of a request that the target works on. `UNCLEAR`: it may be
    either.
    """

    CALLER = enum.auto()
    TARGET = enum.auto()
    UNCLEAR = enum.auto()


def of(
    *, expires_at: float, has_parent: bool, at_work: Iterable[float]
) -> Origin:
    """Returns the origin of a request without a key.

    Times are in milliseconds of the node's clock.

    Args:
      expires_at: When the request expires.
      has_parent: Whether its id names a request that the target works on.
      at_work: When each request expires that the target works on.
    """
    if has_parent:
        return Origin.TARGET
    if any(expires_at <= end + EXPIRY_SLACK_MS for end in at_work):
        return Origin.UNCLEAR
    return Origin.CALLER
