"""Demand on a service by rank and workspace, in bounded state.

Of each rank, the workspaces that demand most for their weight are counted one
by one, and all others together. A node counts the requests for its target in
this way and reports the largest ones; the nodes where requests enter combine
the reports of a service's targets.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable

HALF_LIFE_MS = 2_000.0
RESCALE_HALF_LIVES = 40.0
"""Age of the reference time, in half-lives, at which counts are rescaled.

Counts are stored relative to a reference time, so that recording a request
changes one entry only; they would overflow if it was never moved.
"""
IDLE_MS = 20_000.0
"""Time without requests after which the counts are discarded."""
AGE_MS_MIN = 250.0
"""Smallest age by which counts are divided, so that the first request after a
start does not appear as a high rate."""
RANKS_MAX = 32
WEIGHT_MIN, WEIGHT_MAX = 1e-3, 1e9
WEIGHT_DEFAULT = 1.0
REPORTED_MAX = 8
"""Largest number of workspaces in a report, over all ranks."""
REPORTED_PER_RANK = 6
REPORTED_CHANGE_MIN = 0.1
"""Relative change from which a value is reported anew."""
PARSED_MAX = 64
RATE_MAX = 1e7
LISTED_SHARE_MIN = 0.5
"""Share of the reports of a rank that must list a workspace.

A workspace that few targets list is among the largest there by chance, and its
demand at the others is not known.
"""


def valid_weight(weight: float) -> float:
    """Returns a weight, or the default one if it is not valid or not given."""
    if WEIGHT_MIN <= weight <= WEIGHT_MAX:
        return weight
    return WEIGHT_DEFAULT


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one rank on a service, in requests per second.

    Attributes:
      by_workspace: Demand of the workspaces that are known one by one.
      rest: Demand of all others together.
    """

    by_workspace: dict[str, float]
    rest: float = 0.0

    @property
    def total(self) -> float:
        """Demand of all workspaces."""
        return sum(self.by_workspace.values()) + self.rest


@dataclasses.dataclass(slots=True)
class Entry:
    """Requests of one workspace.

    Attributes:
      weight: Weight of the workspace in fair shares.
      count: Its requests, relative to the reference time of the table.
    """

    weight: float
    count: float = 0.0


@dataclasses.dataclass(slots=True)
class RankCounts:
    """Requests of one rank, relative to the reference time of the table.

    Attributes:
      entries: Requests by workspace.
      rest: Requests of all others.
    """

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    rest: float = 0.0

    def entry(self, workspace: str, *, weight: float, tracked: int) -> Entry:
        """Returns the entry of a workspace.

        A workspace that is not tracked replaces the least used one: a new one
        whose demand is high stays, and the place of the least used one is
        shared by the small ones.
        """
        found = self.entries.get(workspace)
        if found is None:
            if len(self.entries) >= tracked:
                least = min(
                    self.entries,
                    key=lambda name: (
                        self.entries[name].count / self.entries[name].weight
                    ),
                )
                self.rest += self.entries.pop(least).count
            found = self.entries[workspace] = Entry(weight)
        found.weight = weight
        return found

    def scale(self, factor: float) -> None:
        """Multiplies all counts by a factor."""
        self.rest *= factor
        for entry in self.entries.values():
            entry.count *= factor


class Usage:
    """Recent requests by rank and workspace.

    Attributes:
      tracked: Workspaces of each rank that are counted one by one.
      ranks: Requests by rank.
      reference_at: Time to which the counts are relative.
      started_at: When the first request was recorded.
      recorded_at: When the last request was recorded.
    """

    def __init__(self, tracked: int) -> None:
        self.tracked = tracked
        self.ranks: dict[int, RankCounts] = {}
        self.reference_at = 0.0
        self.started_at = 0.0
        self.recorded_at = -math.inf

    def record(
        self,
        rank: int,
        workspace: str,
        *,
        weight: float,
        now: float,
        amount: float = 1.0,
    ) -> None:
        """Records a request.

        Args:
          rank: Rank of the request, or of its root.
          workspace: Workspace that it belongs to.
          weight: Weight of the workspace in fair shares.
          now: Milliseconds of the node's clock.
          amount: Requests that it stands for.
        """
        if now - self.recorded_at > IDLE_MS:
            self.ranks.clear()
            self.reference_at = self.started_at = now
        self.recorded_at = now
        age = (now - self.reference_at) / HALF_LIFE_MS
        if age > RESCALE_HALF_LIVES:
            for counts in self.ranks.values():
                counts.scale(0.5**age)
            self.reference_at, age = now, 0.0
        counts_of_rank = self.ranks.get(rank)
        if counts_of_rank is None:
            if len(self.ranks) >= RANKS_MAX:
                return
            counts_of_rank = self.ranks[rank] = RankCounts()
        entry = counts_of_rank.entry(
            workspace, weight=weight, tracked=self.tracked
        )
        entry.count += amount * 2.0**age

    def demand(self, now: float) -> dict[int, Demand]:
        """Returns the demand by rank.

        The counts are divided by the time over which they were collected, so
        that the demand is correct soon after a start.
        """
        if not self.ranks or now - self.recorded_at > IDLE_MS:
            return {}
        since_ms = max(AGE_MS_MIN, now - self.started_at)
        collected = 1.0 - 0.5 ** (since_ms / HALF_LIFE_MS)
        per_second = math.log(2.0) / (HALF_LIFE_MS / 1e3) / collected
        factor = per_second * 0.5 ** ((now - self.reference_at) / HALF_LIFE_MS)
        return {
            rank: Demand(
                {
                    name: entry.count * factor
                    for name, entry in counts.entries.items()
                },
                counts.rest * factor,
            )
            for rank, counts in self.ranks.items()
        }


def report(
    demands: Iterable[tuple[int, Demand]],
    *,
    weight_of: Callable[[str], float],
    before: dict[str, float],
) -> dict[str, float]:
    """Returns the largest demands, as reported to other nodes.

    Keys have the form RANK:WORKSPACE; without a workspace the value is the
    demand of all others of that rank.

    Args:
      demands: Ranks to report, the most important first.
      weight_of: Returns the weight of a workspace.
      before: Result of the last call. A value that has hardly changed is
        repeated, because equal values compress well.
    """
    reported: dict[str, float] = {}
    left = REPORTED_MAX
    for rank, demand in demands:
        count = min(left, REPORTED_PER_RANK)
        if count <= 0:
            break
        largest = sorted(
            demand.by_workspace,
            key=lambda name: demand.by_workspace[name] / weight_of(name),
            reverse=True,
        )[:count]
        left -= len(largest)
        values = {name: demand.by_workspace[name] for name in largest}
        values[""] = max(0.0, demand.total - sum(values.values()))
        for name, value in values.items():
            key = f"{rank}:{name}"
            last = before.get(key, 0.0)
            if abs(value - last) < REPORTED_CHANGE_MIN * last:
                reported[key] = last
            else:
                reported[key] = float(f"{value:.2g}")
    return reported


def parse(reported: dict[str, float]) -> dict[int, Demand]:
    """Returns the demands of a report; entries that are not valid are omitted.

    Args:
      reported: Values as another node has sent them.
    """
    found: dict[int, Demand] = {}
    rest: dict[int, float] = {}
    for key, value in itertools.islice(reported.items(), PARSED_MAX):
        text, separator, workspace = key.partition(":")
        valid = text.isascii() and text.isdecimal() and len(text) <= 4
        # The comparison is false for a value that is not a number.
        if not (separator and valid and 0.0 <= value <= RATE_MAX):
            continue
        rank = int(text)
        if workspace:
            found.setdefault(rank, Demand({})).by_workspace[workspace] = value
        else:
            rest[rank] = value
    return {
        rank: Demand(
            found[rank].by_workspace if rank in found else {},
            rest.get(rank, 0.0),
        )
        for rank in {*found, *rest}
    }


def merge(reports: Iterable[dict[int, Demand]]) -> dict[int, Demand]:
    """Returns the demand on a service from the reports of its targets.

    A target lists its largest workspaces only. One that most targets list is
    assumed to demand as much at the others; one that few list is counted with
    the rest.
    """
    by_rank: dict[int, list[Demand]] = {}
    for parsed in reports:
        for rank, demand in parsed.items():
            by_rank.setdefault(rank, []).append(demand)
    return {rank: merge_rank(demands) for rank, demands in by_rank.items()}


def merge_rank(demands: list[Demand]) -> Demand:
    """Returns the sum of the demands of one rank at several targets."""
    total = sum(demand.total for demand in demands)
    sums: dict[str, float] = {}
    listed: dict[str, int] = {}
    for demand in demands:
        for name, value in demand.by_workspace.items():
            sums[name] = sums.get(name, 0.0) + value
            listed[name] = listed.get(name, 0) + 1
    count = len(demands)
    known = {
        name: value * count / listed[name]
        for name, value in sums.items()
        if listed[name] >= LISTED_SHARE_MIN * count
    }
    return Demand(known, max(0.0, total - sum(known.values())))
