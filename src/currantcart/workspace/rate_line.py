"""Tokens of one workspace's rate limit, and the requests that wait for them.

What a node expects of future tokens, and which rank gets the next one.
"""

from __future__ import annotations

import bisect
import dataclasses

GUARANTEED_SHARE = 0.1
"""Share of the tokens that each rank gets, however many others want them."""
GUARANTEED_SUM_MAX = 0.5
"""Largest sum of the guaranteed shares of all ranks."""
RESERVE_OF_BURST = 0.3
"""Share of the burst that is left to more urgent ranks seen recently."""
SEEN_MS = 3_000.0
"""Time for which a rank counts as seen; a node of many sees few of them."""
DEMAND_HALF_LIFE_MS = 1_000.0
WINDOW_MS = 5_000.0
TOLERATED_OF_WINDOW = 0.1
TOLERATED_MIN = 20.0
"""Requests beyond rate and burst that may run in a window, over all nodes."""
TOLERATED_SHARE = 0.3
"""Part of them that waiting requests may use.

With 0.5 and more, many nodes grant on the same tokens, and the debt leaves too
few tokens for the next seconds.
"""
GRANTS_PER_NODE = 4
"""Grants of each node, before the others know, that need not be paced."""
SCARCE_NODES = 3.0
"""Nodes by the tolerated requests above which new requests are paced as well.

At 73 nodes, these are rates of up to 6 per second: 57 requests ran in 5 s at a
rate of 5 per second, where 53 are allowed. At higher rates, pacing new requests
costs more than it prevents.
"""
ALONE_SHARE = 0.99
CONTENTION = 0.5
"""Part of this node's own rate of grants that limits it near the limit.

Where nodes pace their grants, a token that becomes available goes to another
node as well. With less, more of the held requests are refused later; with 1,
nearly nothing waits at nodes with a small share.
"""
HOLD_OF_OBJECTIVE = 0.4
"""Largest share of the objective for which a request waits.

A retry has used up a part of its objective that this node does not know. With
longer waits, tokens go to retries whose responses are late.
"""
POLL_MS = 20.0
"""Longest time between two looks at a queue.

Tokens also become available when other nodes return theirs or fall silent.
"""


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that needs a token.

    Attributes:
      workspace: Its workspace.
      rank: Its rank; 0 is the most urgent.
      queued_at: When it arrived.
      grant_by: Latest time at which a grant leaves time for its work.
      expires_at: When its caller gives up.
      objective_ms: Latency objective of its route.
      size: Bytes of its body.
    """

    workspace: str
    rank: int
    queued_at: float
    grant_by: float
    expires_at: float
    objective_ms: float
    size: int = 0


@dataclasses.dataclass(slots=True)
class RankState:
    """Demand and waiting requests of one rank of a workspace.

    Attributes:
      waiting: Waiting requests, the earliest `grant_by` first.
      demand: Requests seen, decayed with `DEMAND_HALF_LIFE_MS`.
      seen_at: When the last one was seen.
      credit: Tokens of the guaranteed share that it has not used.
    """

    waiting: list[Waiter] = dataclasses.field(default_factory=list)
    demand: float = 0.0
    seen_at: float = float("-inf")
    credit: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Tokens of a workspace, as one node expects them.

    Attributes:
      left: Tokens left after the others' unreported admissions.
      burst: Size of the bucket.
      rate: Tokens per ms over all nodes.
      share: This node's share of the workspace's admissions, above 0 to 1.
      nodes: Nodes that may grant tokens.
      lag_ms: Time until other nodes know of a grant.
    """

    left: float
    burst: float
    rate: float
    share: float
    nodes: int
    lag_ms: float

    def grants_allowed(self) -> float:
        """Returns how many tokens all nodes may grant before they know it."""
        return max(0.0, self.left - 1.0) + TOLERATED_SHARE * self.tolerated()

    def tolerated(self) -> float:
        """Returns how many requests beyond rate and burst may run."""
        window = self.rate * WINDOW_MS + self.burst
        return TOLERATED_OF_WINDOW * window + TOLERATED_MIN

    def is_scarce(self) -> bool:
        """Returns whether a grant at each node would exceed the bound.

        New requests are paced then as well as waiting ones.
        """
        return self.nodes > SCARCE_NODES * self.tolerated()

    def is_unpaced(self) -> bool:
        """Returns whether each node may grant a token as soon as it has one."""
        if self.share > ALONE_SHARE:
            return True
        return GRANTS_PER_NODE * self.nodes <= self.grants_allowed()

    def pace(self) -> float:
        """Returns the mean number of this node's grants per ms.

        It is this node's share of what all nodes may grant before they know of
        it, at least twice the rate, and unlimited if no other node uses it.
        """
        total = max(2.0 * self.rate, self.grants_allowed() / self.lag_ms)
        return max(1e-9, total * self.share / (1.0 + 1e-9 - self.share))


@dataclasses.dataclass(slots=True)
class Line:
    """Requests of one workspace.

    Attributes:
      ranks: State by rank.
      promised: Times at which refused callers were told to retry, ascending.
      updated_at: Time up to which demand and credits are current.
      reviewed_at: When it was last checked which requests still fit.
      paced_at: Time up to which `progress` is current.
      progress: Part of the random time until the next grant that has passed.
      threshold: Value of `progress` at which the next grant is due.
      expected_at: When the next grant may be possible.
      refusals: Refused requests, decayed with `REFUSALS_HALF_LIFE_MS`.
    """

    ranks: dict[int, RankState] = dataclasses.field(default_factory=dict)
    promised: list[float] = dataclasses.field(default_factory=list)
    updated_at: float = 0.0
    reviewed_at: float = float("-inf")
    paced_at: float = 0.0
    progress: float = 0.0
    threshold: float = 1.0
    expected_at: float = 0.0
    refusals: float = 0.0

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(state.waiting) for state in self.ranks.values())

    def ahead_of(self, waiter: Waiter) -> int:
        """Returns how many requests go before a request, by rank and time."""
        count = 0
        for rank, state in self.ranks.items():
            if rank < waiter.rank:
                count += len(state.waiting)
            elif rank == waiter.rank:
                count += bisect.bisect_right(
                    state.waiting, waiter.grant_by, key=grant_by
                )
        return count

    def reserve(self, rank: int, now: float) -> float:
        """Returns the share of the burst that a rank leaves to others."""
        for other, state in self.ranks.items():
            if other < rank and now - state.seen_at < SEEN_MS:
                return RESERVE_OF_BURST
        return 0.0

    def is_above_others(self, rank: int, now: float) -> bool:
        """Returns whether less urgent ranks were seen recently."""
        return any(
            other > rank and now - state.seen_at < SEEN_MS
            for other, state in self.ranks.items()
        )

    def urgent_demand(self, rank: int) -> float:
        """Returns the demand of more urgent ranks, in requests per ms."""
        seen = sum(
            state.demand for other, state in self.ranks.items() if other < rank
        )
        return seen * 0.693 / DEMAND_HALF_LIFE_MS


def grant_by(waiter: Waiter) -> float:
    """Returns the sort key of waiting requests."""
    return waiter.grant_by


def expected_wait(
    supply: Supply, line: Line, *, rank: int, ahead: int, now: float
) -> float:
    """Returns the expected time until a request gets a token, in ms.

    Args:
      supply: Tokens of its workspace.
      line: Requests of its workspace at this node.
      rank: Its rank.
      ahead: Requests at this node that go before it.
      now: Milliseconds of the node's clock.
    """
    own_rate = max(1e-9, supply.rate * supply.share)
    guaranteed = guaranteed_share(line)
    net = max(guaranteed, 1.0 - line.urgent_demand(rank) / own_rate)
    available = supply.left - line.reserve(rank, now) * supply.burst
    missing = max(0.0, 1.0 - available)
    # The stock in the bucket is this node's to the extent of its share.
    stock = max(0.0, available - 1.0) * supply.share
    wait = missing / max(1e-9, supply.rate * net)
    wait += max(0.0, ahead - stock) / (own_rate * net)
    if not supply.is_unpaced():
        left = max(0.0, line.threshold - line.progress)
        wait += left * (CONTENTION / own_rate if missing else 1 / supply.pace())
    state = line.ranks.get(rank)
    if state is None or line.reserve(rank, now) == 0.0:
        return wait
    position = min(ahead, len(state.waiting)) + 1.0
    by_guarantee = max(0.0, 1.0 - supply.left) / max(1e-9, supply.rate)
    by_guarantee += max(0.0, position - state.credit) / (own_rate * guaranteed)
    return min(wait, by_guarantee)


def guaranteed_share(line: Line) -> float:
    """Returns the share of the tokens that is guaranteed to each rank."""
    ranks = max(1, len(line.ranks))
    return min(GUARANTEED_SHARE, GUARANTEED_SUM_MAX / ranks)


def latest_grant(
    now: float,
    *,
    received_at: float,
    deadline_ms: float,
    objective_ms: float,
    work_ms: float,
) -> float:
    """Returns until when a new request may wait for a token.

    Args:
      now: Milliseconds of the node's clock.
      received_at: When its head was received.
      deadline_ms: How long its caller waits from then on.
      objective_ms: Latency objective of its route.
      work_ms: Time from a grant to the response.
    """
    in_time = received_at + min(objective_ms, deadline_ms) - work_ms
    return min(in_time, now + HOLD_OF_OBJECTIVE * objective_ms)


def choose(line: Line, supply: Supply, now: float) -> RankState | None:
    """Returns the rank that gets the next token; None if none may take it.

    A rank that has not had its guaranteed share goes first, otherwise the most
    urgent one.
    """
    if supply.left < 1.0:
        return None
    waiting = [
        (rank, state) for rank, state in line.ranks.items() if state.waiting
    ]
    owed = [state for _, state in waiting if state.credit >= 1.0]
    if owed:
        return max(owed, key=lambda state: state.credit)
    for rank, state in sorted(waiting, key=lambda item: item[0]):
        if supply.left >= 1.0 + line.reserve(rank, now) * supply.burst:
            return state
    return None


def time_to_token(supply: Supply) -> float:
    """Returns the time until a token may be left, in ms.

    It is `POLL_MS` if one is left already, but kept for other ranks.
    """
    missing = 1.0 - supply.left
    return missing / max(1e-9, supply.rate) if missing > 0.0 else POLL_MS
