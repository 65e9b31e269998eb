"""Which request a target's own call belongs to.

A call that a target makes while it runs a request is a request like any other,
with its own id. Clients commonly build that id from the id of the request that
makes the call, a dot and a part of their own. Where a call's id begins so with
the id of a request that runs at the target right now, it is that request's
call. Where it doesn't, nothing is known of it, and nothing is assumed.
"""

from __future__ import annotations

import dataclasses
import zlib

SEPARATOR = "."
LOTS = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Lineage:
    """What a request has of the one at which its chain of calls began.

    Attributes:
      rank: Rank of that request, 0 is the most urgent; None when unknown.
      lot: A number from 0 to 1 that all calls of a chain have in common,
        drawn evenly over all chains; None when unknown.
      repeated: Whether the request or one above it runs a further time.
    """

    rank: int | None = None
    lot: float | None = None
    repeated: bool = False


UNKNOWN = Lineage()


def of_root(request_id: str, rank: int) -> Lineage:
    """Returns the lineage of a request at which a chain begins.

    The lot follows from the id, so all nodes draw the same one.
    """
    lot = zlib.crc32(request_id.encode()) % LOTS / LOTS
    return Lineage(rank=rank, lot=lot)


def parent_id(request_id: str) -> str:
    """Returns the id from which a call's id was built; empty for none."""
    return request_id.rpartition(SEPARATOR)[0]
