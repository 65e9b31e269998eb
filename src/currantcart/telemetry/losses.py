"""Which requests were lost, by cause, from the decisions of all nodes.

A request that fails because a call below it failed is told as failed by its
own node; the cause stands in the lines of the call, on another node. The two
are joined by their ids, where a call's id continues that of the request above.
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
    """What an answer on a route is worth.

    Attributes:
      in_time: Within the latency objective.
      late: After it.
    """

    in_time: float = 1.0
    late: float = 0.5

    def lost(self, *, late: bool) -> float:
        """Returns what is lost by having no answer, or a late one."""
        return self.in_time - self.late if late else self.in_time


@dataclasses.dataclass(slots=True)
class Loss:
    """Requests of one route that were lost for one cause.

    Attributes:
      route: Name of the route.
      cause: Why.
      requests: How many.
      worth: What they were worth together.
      by_second: How many in each second.
    """

    route: str
    cause: str
    requests: int = 0
    worth: float = 0.0
    by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def worst_second(self) -> int:
        """Returns the second in which most were lost."""
        return self.by_second.most_common(1)[0][0]


def own_cause(line: timeline.Line) -> str:
    """Returns the cause that a line tells of its own request."""
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


def deepest(lines: Iterable[timeline.Line]) -> dict[str, timeline.Line]:
    """Returns the failed call farthest down in each chain, by root."""
    found: dict[str, timeline.Line] = {}
    for line in lines:
        request_id = line.values.get("id", "")
        root = lineage.root_id(request_id)
        if line.event != FAILED or root == request_id:
            continue
        before = found.get(root)
        if before is None or len(request_id) > len(before.values["id"]):
            found[root] = line
    return found


def of(
    lines: Iterable[timeline.Line], worths: dict[str, Worth] | None = None
) -> list[Loss]:
    """Totals what was lost, the most worth first.

    Args:
      lines: Decisions of all nodes, in their order of time.
      worths: What an answer is worth, by route; 1 for a route without.
    """
    kept = [line for line in lines if line.event in ENDS]
    below = deepest(kept)
    start = kept[0].at if kept else 0.0
    losses: dict[tuple[str, str], Loss] = {}
    for line in kept:
        request_id = line.values.get("id", "")
        if lineage.root_id(request_id) != request_id:
            continue
        route = line.values.get("route") or UNKNOWN_ROUTE
        cause = own_cause(line)
        if line.event == FAILED and request_id in below:
            cause = f"chain: {own_cause(below[request_id])}"
        loss = losses.setdefault((route, cause), Loss(route, cause))
        loss.requests += 1
        worth = (worths or {}).get(route, Worth())
        loss.worth += worth.lost(late=line.event == LATE)
        loss.by_second[int(line.at - start)] += 1
    return sorted(losses.values(), key=lambda loss: -loss.worth)
