"""Fair shares of a service among workspaces.

A workspace that asks for less than its max-min fair share gets all that it asks
for; the others get equal shares of the rest for their weights. `divide` applies
this to the demand on a service, for the nodes where requests enter. `Tags`
applies it to the requests that wait for one target.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq
import math
from collections.abc import Callable

from currantcart.workspace import usage

SHED_SHARE_MAX = 0.95
"""Largest share of a workspace's requests that is shed.

Some are always sent, so that the demand of each workspace stays visible to the
targets' nodes.
"""
CACHE_MS = 40.0
EXCESS_TTL_MS = 5_000.0
SERVICES_MAX = 64
TAGS_MAX = 512
OVERTAKING_SMOOTHING = 0.03
OVERTAKING_MAX = 0.5
"""Largest share that is assumed to overtake.

The tags advance unevenly. With 0.8, workspaces just below their share lose up
to 7 in 100 of their requests, which would still have been served in time; with
0, those above it are refused only after they have waited.
"""
ADVANCE_HALF_LIFE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Shares of one rank at a service.

    Attributes:
      cap: Largest share for a weight of 1, in requests per second.
      common: Share of the requests that is shed from all workspaces, because
        shedding from those above the cap is not enough.
      usage: Demand of the workspaces known one by one, in requests per second.
      weights: Weights of the same workspaces.
    """

    cap: float
    common: float
    usage: dict[str, float]
    weights: dict[str, float]

    def share_of(self, workspace: str) -> float:
        """Returns the share of a known workspace, in requests per second."""
        return self.cap * self.weights[workspace]

    def excess(self, workspace: str) -> float:
        """Returns the usage of a workspace over its share; 0 if not known."""
        used = self.usage.get(workspace, 0.0)
        return used / max(1e-9, self.share_of(workspace)) if used else 0.0

    def shed_share(self, workspace: str) -> float:
        """Returns the share of a workspace's requests to shed, 0 to 1."""
        excess = self.excess(workspace)
        above = 1.0 - 1.0 / excess if excess > 1.0 else 0.0
        share = 1.0 - (1.0 - above) * (1.0 - self.common)
        return min(SHED_SHARE_MAX, share)


def divide(
    demand: usage.Demand, *, weight_of: Callable[[str], float], shed: float
) -> Shares:
    """Divides what a service can serve of one rank among workspaces.

    The largest demands for their weight are lowered to a common cap. Workspaces
    that are not known one by one demand at most as much for their weight as the
    least of the known ones, so the cap is not lowered further than that. What
    must be shed beyond it is shed from all in equal proportion.

    Args:
      demand: Demand of the rank, including what is shed.
      weight_of: Returns the weight of a workspace.
      shed: Share of the demand that has to be shed, 0 to 1.
    """
    weights = {name: weight_of(name) for name in demand.by_workspace}
    ordered = sorted(
        (
            (used / weights[name], used, weights[name])
            for name, used in demand.by_workspace.items()
        ),
        reverse=True,
    )
    total = demand.total
    excess = shed * total
    mean_weight = sum(weights.values()) / max(1, len(weights))
    floor = 0.0
    if ordered and demand.rest > 0.0:
        floor = min(ordered[-1][0], demand.rest / mean_weight)
    used_above = weight_above = 0.0
    for number, (_, used, weight) in enumerate(ordered, start=1):
        used_above += used
        weight_above += weight
        following = ordered[number][0] if number < len(ordered) else floor
        cap = (used_above - excess) / weight_above
        if cap >= following:
            return Shares(cap, 0.0, demand.by_workspace, weights)
    removed = used_above - floor * weight_above
    left = max(1e-9, total - removed)
    common = min(1.0, max(0.0, (excess - removed) / left))
    return Shares(floor, common, demand.by_workspace, weights)


@dataclasses.dataclass(slots=True)
class CachedShares:
    """Shares of a rank at a service, and when they were worked out."""

    shares: Shares
    at: float


class Divider:
    """Shares of overloaded services, as one node works them out.

    Attributes:
      tracked: Workspaces of each rank and service that are counted one by one.
      reported: Returns the demand on a service by rank, as the nodes of its
        targets report it; empty if none does.
      weight_of: Returns the weight of a workspace.
      own: Demand that this node receives, by service; used for the ranks that
        no report contains.
      cache: Shares by service and rank.
    """

    def __init__(
        self,
        *,
        tracked: int,
        reported: Callable[[str], dict[int, usage.Demand]],
        weight_of: Callable[[str], float],
    ) -> None:
        self.tracked = tracked
        self.reported = reported
        self.weight_of = weight_of
        self.own: dict[str, usage.Usage] = {}
        self.cache: dict[tuple[str, int], CachedShares] = {}

    def record(
        self, service: str, rank: int, workspace: str, now: float
    ) -> None:
        """Records a request for an overloaded service, before it is shed."""
        counts = self.own.get(service)
        if counts is None:
            if len(self.own) >= SERVICES_MAX:
                return
            counts = self.own[service] = usage.Usage(self.tracked)
        weight = self.weight_of(workspace)
        counts.record(rank, workspace, weight=weight, now=now)

    def shares(
        self, service: str, rank: int, *, shed: float, now: float
    ) -> Shares:
        """Returns the shares of a rank at a service.

        Args:
          service: The overloaded service.
          rank: Rank of the requests.
          shed: Share of the rank's demand that has to be shed, 0 to 1.
          now: Milliseconds of the node's clock.
        """
        key = (service, rank)
        cached = self.cache.get(key)
        if cached is not None and now - cached.at < CACHE_MS:
            return cached.shares
        demand = self.reported(service).get(rank)
        if demand is None:
            counts = self.own.get(service)
            own = counts.demand(now) if counts is not None else {}
            demand = own.get(rank, usage.Demand({}))
        shares = divide(demand, weight_of=self.weight_of, shed=shed)
        if len(self.cache) >= SERVICES_MAX * usage.RANKS_MAX:
            self.cache.clear()
        self.cache[key] = CachedShares(shares, now)
        return shares

    def known_shares(self, service: str, rank: int) -> Shares | None:
        """Returns the shares that were worked out last; None without any."""
        cached = self.cache.get((service, rank))
        return cached.shares if cached is not None else None

    def largest_excess(self, now: float) -> dict[str, float]:
        """Returns the largest usage over its share, by service."""
        largest: dict[str, float] = {}
        for (service, _), cached in self.cache.items():
            if now - cached.at > EXCESS_TTL_MS:
                continue
            excesses = map(cached.shares.excess, cached.shares.usage)
            largest[service] = max(largest.get(service, 0.0), *excesses, 0.0)
        return largest


class Tags:
    """Start tags of the requests of one priority (start-time fair queueing).

    A request is tagged with the work that its workspace was given before, for
    its weight; the lowest tag goes next. A workspace that was idle starts at
    the tag that was served last, so that it gains nothing from its idle time.

    Attributes:
      served: Highest tag that was served.
      highest: Highest tag that was assigned.
      overtaking: Smoothed share of the served requests that overtook others.
      advanced: Recent increase of `served`, decayed up to `advanced_at`.
      advanced_at: When `served` increased last.
      waiting: Tags of the requests that wait, in order.
      finish: End of the last request, waiting or not, by workspace.
      finish_served: The same of the last request that was served.
    """

    def __init__(self) -> None:
        self.served = 0.0
        self.highest = 0.0
        self.overtaking = 0.0
        self.advanced = 0.0
        self.advanced_at = 0.0
        self.waiting: list[float] = []
        self.finish: dict[str, float] = {}
        self.finish_served: dict[str, float] = {}

    def next_tag(self, workspace: str) -> float:
        """Returns the tag of a workspace's next request.

        A request whose workspace is not known, as from a node of the previous
        release, goes behind those that wait.
        """
        if not workspace:
            return max(self.served, self.highest)
        return max(self.served, self.finish.get(workspace, 0.0))

    def add_waiting(self, workspace: str, weight: float, tag: float) -> None:
        """Records that a request waits."""
        self.highest = max(self.highest, tag)
        bisect.insort(self.waiting, tag)
        if workspace:
            self.finish[workspace] = tag + 1.0 / weight

    def remove_waiting(self, tag: float) -> None:
        """Records that a request waits no longer."""
        del self.waiting[bisect.bisect_left(self.waiting, tag)]

    def behind(self, tag: float) -> int:
        """Returns how many waiting requests go after one with a tag."""
        return len(self.waiting) - bisect.bisect_right(self.waiting, tag)

    def serve(
        self,
        workspace: str,
        weight: float,
        tag: float,
        now: float,
        *,
        overtakes: bool = False,
    ) -> None:
        """Records that a request was given a slot.

        Args:
          workspace: Its workspace; empty if none is known.
          weight: Weight of the workspace.
          tag: Its tag.
          now: Milliseconds of the node's clock.
          overtakes: Whether it overtook one that arrived before.
        """
        self.overtaking += OVERTAKING_SMOOTHING * (
            float(overtakes) - self.overtaking
        )
        if tag > self.served:
            self.advanced = self.recent_advance(now) + tag - self.served
            self.advanced_at, self.served = now, tag
        if workspace:
            finish = tag + 1.0 / weight
            self.finish_served[workspace] = finish
            self.finish[workspace] = max(
                finish, self.finish.get(workspace, 0.0)
            )
            if len(self.finish) > TAGS_MAX:
                self.evict()

    def recent_advance(self, now: float) -> float:
        """Returns how far the served tags have recently advanced."""
        elapsed = max(0.0, now - self.advanced_at)
        return float(self.advanced * 0.5 ** (elapsed / ADVANCE_HALF_LIFE_MS))

    def expected_wait_ms(self, tag: float, wait_ms: float, now: float) -> float:
        """Returns the expected wait of a request, including overtaking.

        The time until its tag is served follows from how fast the served tags
        advance. Before others have overtaken, the advance tells nothing of the
        wait, so the estimate is bounded by the share that overtakes.

        Args:
          tag: Its tag.
          wait_ms: Expected wait behind those that are served before it now.
          now: Milliseconds of the node's clock.
        """
        distance = tag - self.served
        if distance <= 0.0:
            return wait_ms
        per_ms = self.recent_advance(now) * math.log(2.0) / ADVANCE_HALF_LIFE_MS
        longest = wait_ms / (1.0 - min(OVERTAKING_MAX, self.overtaking))
        return max(wait_ms, min(longest, distance / max(1e-12, per_ms)))

    def reset_waiting(self) -> None:
        """Removes what waiting requests have added; they are tagged again."""
        self.highest = self.served
        self.waiting.clear()
        self.finish = dict(self.finish_served)

    def evict(self) -> None:
        """Removes the workspaces that would not be delayed, or least."""
        waiting = {
            name: finish
            for name, finish in self.finish.items()
            if finish > self.finish_served.get(name, self.served)
        }
        later = {
            name: finish
            for name, finish in self.finish_served.items()
            if finish > self.served
        }
        kept = heapq.nlargest(TAGS_MAX // 2, later, key=later.__getitem__)
        self.finish_served = {name: later[name] for name in kept}
        self.finish = {**self.finish_served, **waiting}
