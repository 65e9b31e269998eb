"""Selects the targets of a service to which a node keeps streams.

Targets are ranked by rendezvous hashing: each node has its own order, so that
each target has about the same number of calling nodes, and a target that joins
or leaves changes the selection of few nodes only.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable, Sequence

from currantcart.routing import picker

NEAR_SHARE = 2 / 3
"""Share of the selection that lies in the node's own failure domain."""


def rendezvous_score(instance: str, target: str) -> bytes:
    """Returns the score of a target at a node; the lowest ranks first."""
    key = f"{instance}\0{target}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def ranked(
    instance: str, targets: Iterable[picker.Target]
) -> list[picker.Target]:
    """Returns targets in the order in which a node prefers them."""
    return sorted(
        targets, key=lambda item: rendezvous_score(instance, item.instance)
    )


def select(
    near: Sequence[picker.Target],
    far: Sequence[picker.Target],
    *,
    count: int,
    is_usable: Callable[[picker.Target], bool],
) -> list[picker.Target]:
    """Returns the targets to keep streams to.

    Those that are not usable at present stay selected, so that they are used
    again once they are; as many others replace them until then.

    Args:
      near: Targets in the own failure domain, in the node's order.
      far: Targets in other failure domains, in the node's order.
      count: Usable targets to select.
      is_usable: Returns whether requests can be placed on a target.
    """
    near_count = max(math.ceil(count * NEAR_SHARE), count - len(far))
    near_count = min(near_count, len(near))
    far_count = min(count - near_count, len(far))
    selected = [*near[:near_count], *far[:far_count]]
    missing = sum(not is_usable(item) for item in selected)
    if missing:
        others = [*near[near_count:], *far[far_count:]]
        selected += [item for item in others if is_usable(item)][:missing]
    return selected
