"""Failed and late requests by cause, from the decision logs of all nodes.

A request that fails because a call made by it failed is logged as failed by
its node, while the cause is logged by another node, with the call. The two are
joined by their ids: the id of a call begins with the id of its request.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from currantcart.call import lineage
from currantcart.telemetry import timeline

LATE = "answered_late"
LEFT = "caller_left"
REJECTED = "request_rejected"
FAILED = "request_failed"
ENDS = frozenset({LATE, LEFT, REJECTED, FAILED})
UNKNOWN_ROUTE = "-"


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """Value of an answer on a route.

    Attributes:
      in_time: Value of an answer within the latency objective.
      late: Value of an answer after it.
    """

    in_time: float = 1.0
    late: float = 0.5

    def lost(self, *, late: bool) -> float:
        """Returns the value lost by a late answer, or by none at all."""
        return self.in_time - self.late if late else self.in_time


@dataclasses.dataclass(slots=True)
class Loss:
    """Requests of one route that failed or were late for one cause.

    Attributes:
      route: Name of the route.
      cause: Error code or other cause.
      requests: Number of requests.
      worth: Total value lost.
      by_second: Number of requests in each second since the first failure.
    """

    route: str
    cause: str
    requests: int = 0
    worth: float = 0.0
    by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def worst_second(self) -> int:
        """Returns the second with the most lost requests."""
        return self.by_second.most_common(1)[0][0]


def cause_of(line: timeline.Line) -> str:
    """Returns the cause that a line gives for its own request."""
    if line.event == LATE:
        tries = line.values.get("outcomes", "").count(",") + 1
        return f"late, {tries} attempts" if tries > 1 else "late"
    if line.event == LEFT:
        return LEFT
    code = line.values.get("code", "")
    service = line.values.get("service")
    if service is None or code.startswith("shed_for_"):
        return code
    return f"{code} at {service}"


def deepest_failures(
    lines: Iterable[timeline.Line],
) -> dict[str, timeline.Line]:
    """Returns the deepest failed call of each chain, by root request id."""
    found: dict[str, timeline.Line] = {}
    for line in lines:
        request_id = line.values.get("id", "")
        root = lineage.root_id(request_id)
        if line.event != FAILED or root == request_id:
            continue
        previous = found.get(root)
        if previous is None or len(request_id) > len(previous.values["id"]):
            found[root] = line
    return found


def of(
    lines: Iterable[timeline.Line], worths: dict[str, Worth] | None = None
) -> list[Loss]:
    """Totals the lost requests by route and cause.

    Args:
      lines: Decisions of all nodes, in order of time.
      worths: Value of an answer by route; other routes have the defaults of
        `Worth`.

    Returns:
      The losses, the greatest lost value first.
    """
    kept = [line for line in lines if line.event in ENDS]
    below = deepest_failures(kept)
    start = kept[0].at if kept else 0.0
    losses: dict[tuple[str, str], Loss] = {}
    for line in kept:
        request_id = line.values.get("id", "")
        if lineage.root_id(request_id) != request_id:
            continue
        route = line.values.get("route") or UNKNOWN_ROUTE
        cause = cause_of(line)
        if line.event == FAILED and request_id in below:
            cause = f"chain: {cause_of(below[request_id])}"
        loss = losses.setdefault((route, cause), Loss(route, cause))
        loss.requests += 1
        worth = (worths or {}).get(route, Worth())
        loss.worth += worth.lost(late=line.event == LATE)
        loss.by_second[int(line.at - start)] += 1
    return sorted(losses.values(), key=lambda loss: -loss.worth)
