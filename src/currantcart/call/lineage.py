"""Which request a call made by a target belongs to.

A call that a target makes while it runs a request is a request like any other,
with its own id. Clients commonly build that id from the id of the request that
makes the call, a dot and a suffix. If a call's id is built in this way from
the id of a request that is running at the target now, the call belongs to that
request. Otherwise nothing is known about its origin, and nothing is assumed.
"""

from __future__ import annotations

import dataclasses

SEPARATOR = "."


@dataclasses.dataclass(frozen=True, slots=True)
class Lineage:
    """What a request inherits from the root request of its call chain.

    Attributes:
      rank: Rank of the root request; 0 is the most urgent, None is unknown.
      is_retry: Whether the request, or one above it, is a retry.
      workspace: Workspace of the root request; empty if it is not known.
      weight: Weight of that workspace in fair shares; 0 if it is not known.
    """

    rank: int | None = None
    is_retry: bool = False
    workspace: str = ""
    weight: float = 0.0


UNKNOWN = Lineage()


def root_id(request_id: str) -> str:
    """Returns the id of the root request of a call chain."""
    return request_id.partition(SEPARATOR)[0]


def parent_id(request_id: str) -> str:
    """Returns the id that a request id was built from; empty for none."""
    return request_id.rpartition(SEPARATOR)[0]
