"""Which request a target's own call belongs to.

A call that a target makes while it runs a request is a request like any other,
with its own id. Clients commonly build that id from the id of the request that
makes the call, a dot and a part of their own. Where a call's id begins so with
the id of a request that runs at the target right now, it is that request's
call. Where it doesn't, nothing is known of it, and nothing is assumed.
"""

from __future__ import annotations

import dataclasses

SEPARATOR = "."


@dataclasses.dataclass(frozen=True, slots=True)
class Lineage:
    """What a request has of the one at which its chain of calls began.

    Attributes:
      rank: Rank of that request, 0 is the most urgent; None when unknown.
      repeated: Whether the request or one above it runs a further time.
    """

    rank: int | None = None
    repeated: bool = False


UNKNOWN = Lineage()


def root_id(request_id: str) -> str:
    """Returns the id of the request at which a call's chain begins."""
    return request_id.partition(SEPARATOR)[0]


def parent_id(request_id: str) -> str:
    """Returns the id from which a call's id was built; empty for none."""
    return request_id.rpartition(SEPARATOR)[0]
