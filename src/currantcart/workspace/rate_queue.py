"""Order in which requests get the tokens of their workspace's rate limit.

A request that finds no token waits for one as long as its grant is likely. The
more urgent rank goes first, and the earlier deadline within a rank. Each rank
is guaranteed a part of the tokens, so that none starves. Tokens are taken only
through `Quotas.admit`, when a request is granted; waiting takes none.

Nodes do not know the requests that wait at other nodes. Each expects its share
of the workspace's future tokens, and takes them at a random pace around that
share, because nodes that have the same counts would otherwise all grant a
request on the same token.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import random

from currantcart.workspace import quota, rate_line

CREDIT_MAX = 2.0
PROGRESS_MAX = 2.0
CROWDED_REFUSALS = 2.0
REFUSALS_HALF_LIFE_MS = 10_000.0
"""Refusals at this node that show a demand of many times the rate.

A node of many sees one or two of a workspace that is near its limit.
"""
PRESSED_MS = 1_000.0
"""Time for which the demand of a workspace counts as above its limit."""
FREE_WHILE_PRESSED = 0.5
"""Part of the others' uncounted admissions that stays uncounted meanwhile.

Requests are no longer refused within the limit then. With 1, 16 nodes of which
5 are partitioned exceed the bound at ten times the rate.
"""
NEAR_LIMIT_OF_BURST = 0.5
"""Share of the burst below which requests are counted by rank."""
HOLD_MARGIN = 1.25
"""Factor on the expected wait of a new request.

A request that is held and then refused has lost the time that its caller could
have used for a retry, so a doubtful one is refused at once.
"""
POLL_MS_MIN = 1.0
PROMISES_MAX = 512
RETRY_OF_LEFT = 0.32
"""Share of the caller's remaining time after which it retries at the latest.

A third is allowed; the rest is for rounding and the way to the caller.
"""
RETRY_OF_OBJECTIVE_MIN = 0.3
RETRY_OF_OBJECTIVE_MAX = 0.45
"""Shares of the objective between which a refused caller retries.

A later retry that has to wait again is answered late; an earlier one meets the
same excess.
"""
RETRY_MS_MAX = 2_000.0


class Decision(enum.Enum):
    """What happens to a request that needs a token."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A decision about one request.

    Attributes:
      waiter: The request.
      decision: What happens to it.
      tokens: Tokens that this node believed to be left.
      ahead: Requests that went before it at this node.
      retry_after_ms: When a refused request may be retried.
    """

    waiter: rate_line.Waiter
    decision: Decision
    tokens: float
    ahead: int
    retry_after_ms: float = 0.0


class RateQueue:
    """Requests of one node that wait for tokens of their workspaces.

    Attributes:
      lines: Requests by workspace; only of those near their limit.
      requests_max: Requests that may wait at once.
      bytes_max: Bytes of their bodies.
      requests: Requests that wait.
      size: Bytes of their bodies.
    """

    def __init__(
        self,
        quotas: quota.Quotas,
        *,
        rng: random.Random,
        requests_max: int,
        bytes_max: int,
    ) -> None:
        self.quotas = quotas
        self.rng = rng
        self.requests_max = requests_max
        self.bytes_max = bytes_max
        self.lines: dict[str, rate_line.Line] = {}
        self.requests = 0
        self.size = 0

    # Arrival.

    def is_near_limit(self, workspace: str) -> bool:
        """Returns whether a workspace is near or above its rate limit."""
        bucket = self.quotas.buckets.get(workspace)
        return bucket is not None and (
            bucket.tokens - bucket.unreported.last
            < max(1.0, NEAR_LIMIT_OF_BURST * bucket.burst)
        )

    def admit(self, workspace: str, rank: int, now: float) -> bool:
        """Takes a token for a new request if it need not wait.

        Args:
          workspace: Its workspace, which is near its limit.
          rank: Its rank.
          now: Milliseconds of the node's clock.

        Returns:
          Whether a token was taken. If not, the request is to be offered.
        """
        line = self.line(workspace, now)
        supply = self.supply(workspace, now)
        if supply is None:
            return True
        self.record_demand(line, rank, now)
        if any(
            state.waiting
            for other, state in line.ranks.items()
            if other <= rank
        ):
            return False
        needed = 1.0 + line.reserve(rank, now) * supply.burst
        state = line.ranks[rank]
        if needed == 1.0 and line.is_above_others(rank, now):
            # The others leave it a reserve, so it uses the tokens to the end.
            return self.take(workspace, state, now)
        if supply.left < needed and (state.credit < 1.0 or supply.left < 1.0):
            return False
        if supply.is_scarce() and line.refusals >= CROWDED_REFUSALS:
            self.add_progress(line, supply, now)
            if not self.is_due(line, supply):
                return False
        return self.take(workspace, state, now)

    def is_pressed(self, workspace: str, now: float) -> bool:
        """Returns whether a request lacked a token recently."""
        return now - self.quotas.buckets[workspace].refused_at < PRESSED_MS

    def offer(self, waiter: rate_line.Waiter, now: float) -> Outcome:
        """Decides whether a request without a token waits or is refused."""
        line = self.line(waiter.workspace, now)
        supply = self.supply(waiter.workspace, now)
        if supply is None:
            return Outcome(waiter, Decision.GRANTED, 0.0, 0)
        ahead = line.ahead_of(waiter)
        wait = rate_line.expected_wait(
            supply, line, rank=waiter.rank, ahead=ahead, now=now
        )
        fits = (
            self.requests < self.requests_max
            and self.size + waiter.size <= self.bytes_max
        )
        if not fits or now + wait * HOLD_MARGIN > waiter.grant_by:
            return self.refuse(waiter, line, supply, ahead, now)
        state = line.ranks.setdefault(waiter.rank, rate_line.RankState())
        bisect.insort(state.waiting, waiter, key=rate_line.grant_by)
        self.requests += 1
        self.size += waiter.size
        return Outcome(waiter, Decision.QUEUED, supply.left, ahead)

    def refuse_new(self, waiter: rate_line.Waiter, now: float) -> Outcome:
        """Refuses a request without a token that must not wait."""
        line = self.line(waiter.workspace, now)
        supply = self.supply(waiter.workspace, now)
        if supply is None:
            return Outcome(waiter, Decision.GRANTED, 0.0, 0)
        ahead = line.ahead_of(waiter)
        return self.refuse(waiter, line, supply, ahead, now)

    def remove(self, waiter: rate_line.Waiter) -> None:
        """Removes a waiting request, whose place is free at once."""
        line = self.lines.get(waiter.workspace)
        state = line.ranks.get(waiter.rank) if line is not None else None
        if state is not None and waiter in state.waiting:
            state.waiting.remove(waiter)
            self.requests -= 1
            self.size -= waiter.size

    # Grants and refusals of waiting requests.

    def advance(self, now: float) -> list[Outcome]:
        """Returns the requests whose wait ends now.

        A granted request has taken its token, unless its workspace no longer
        has a rate limit.
        """
        outcomes: list[Outcome] = []
        for workspace, line in list(self.lines.items()):
            if line.waiting():
                outcomes += self.advance_line(workspace, line, now)
            elif self.is_unused(workspace, line, now):
                del self.lines[workspace]
        return outcomes

    def advance_line(
        self, workspace: str, line: rate_line.Line, now: float
    ) -> list[Outcome]:
        """Returns the requests of one workspace whose wait ends now."""
        outcomes: list[Outcome] = []
        self.line(workspace, now)
        supply = self.supply(workspace, now)
        if supply is None:
            for state in line.ranks.values():
                for waiter in list(state.waiting):
                    self.remove(waiter)
                    outcomes.append(Outcome(waiter, Decision.GRANTED, 0.0, 0))
            return outcomes
        self.add_progress(line, supply, now)
        while (chosen := rate_line.choose(line, supply, now)) is not None:
            waiter = chosen.waiting[0]
            if waiter.grant_by < now:
                self.remove(waiter)
                outcomes.append(self.refuse(waiter, line, supply, 0, now))
                continue
            if not self.is_due(line, supply):
                break
            if not self.take(workspace, chosen, now):
                chosen = None
                break
            self.remove(waiter)
            outcomes.append(Outcome(waiter, Decision.GRANTED, supply.left, 0))
            supply = self.supply(workspace, now)
            assert supply is not None
        if now - line.reviewed_at >= rate_line.POLL_MS:
            line.reviewed_at = now
            outcomes += self.review(line, supply, now)
        line.expected_at = now + (
            rate_line.time_to_token(supply)
            if chosen is None
            else (line.threshold - line.progress) / supply.pace()
        )
        return outcomes

    def review(
        self, line: rate_line.Line, supply: rate_line.Supply, now: float
    ) -> list[Outcome]:
        """Refuses the requests that can no longer get a token in time."""
        outcomes: list[Outcome] = []
        ahead = 0
        for rank in sorted(line.ranks):
            state = line.ranks[rank]
            kept = 0
            for waiter in list(state.waiting):
                wait = rate_line.expected_wait(
                    supply, line, rank=rank, ahead=ahead + kept, now=now
                )
                if now + wait <= waiter.grant_by:
                    kept += 1
                    continue
                self.remove(waiter)
                outcomes.append(
                    self.refuse(waiter, line, supply, ahead + kept, now)
                )
            ahead += kept
        return outcomes

    def review_all(self) -> None:
        """Lets the next `advance` check all requests, after a new limit."""
        for line in self.lines.values():
            line.reviewed_at = float("-inf")

    def next_at(self, now: float) -> float | None:
        """Returns when to call `advance` again; None if nothing waits."""
        due = [
            line.expected_at for line in self.lines.values() if line.waiting()
        ]
        if not due:
            return None
        return min(max(now + POLL_MS_MIN, min(due)), now + rate_line.POLL_MS)

    # Pace of this node.

    def add_progress(
        self, line: rate_line.Line, supply: rate_line.Supply, now: float
    ) -> None:
        """Lets the random time until the next grant pass."""
        passed = min(rate_line.POLL_MS, now - line.paced_at)
        line.paced_at = now
        if supply.left >= 1.0:
            added = supply.pace() * passed
            line.progress = min(PROGRESS_MAX, line.progress + added)

    def is_due(self, line: rate_line.Line, supply: rate_line.Supply) -> bool:
        """Returns whether the next grant is due, and draws the one after."""
        if supply.is_unpaced():
            return True
        if line.progress < line.threshold:
            return False
        line.progress -= line.threshold
        line.threshold = self.draw()
        return True

    def draw(self) -> float:
        """Returns the random length of the time until a grant, 1 on average."""
        return self.rng.uniform(0.5, 1.5)

    # State.

    def line(self, workspace: str, now: float) -> rate_line.Line:
        """Returns the requests of a workspace, updated to the current time."""
        line = self.lines.get(workspace)
        if line is None:
            line = rate_line.Line(updated_at=now, threshold=self.draw())
            self.lines[workspace] = line
            return line
        passed = max(0.0, now - line.updated_at)
        if passed:
            line.updated_at = now
            self.update_ranks(workspace, line, passed, now)
        return line

    def update_ranks(
        self, workspace: str, line: rate_line.Line, passed: float, now: float
    ) -> None:
        """Decays the demand of each rank, and adds its guaranteed tokens."""
        weight = 0.5 ** (passed / rate_line.DEMAND_HALF_LIFE_MS)
        line.refusals *= 0.5 ** (passed / REFUSALS_HALF_LIFE_MS)
        added = 0.0
        bucket = self.quotas.buckets.get(workspace)
        if bucket is not None:
            added = (
                bucket.rate_per_ms
                * (1.0 - self.quotas.silent_share)
                * bucket.unreported.share(self.quotas.nodes)
                * rate_line.guaranteed_share(line)
                * passed
            )
        for rank, state in list(line.ranks.items()):
            state.demand *= weight
            if now - state.seen_at < rate_line.SEEN_MS:
                state.credit = min(CREDIT_MAX, state.credit + added)
            elif not state.waiting:
                del line.ranks[rank]

    def record_demand(
        self, line: rate_line.Line, rank: int, now: float
    ) -> None:
        """Counts a request of a rank."""
        state = line.ranks.get(rank)
        if state is None:
            # A random start gives each of many nodes its part of a credit that
            # none of them would reach alone.
            state = rate_line.RankState(credit=self.rng.random())
            line.ranks[rank] = state
        state.demand += 1.0
        state.seen_at = now

    def supply(self, workspace: str, now: float) -> rate_line.Supply | None:
        """Returns the tokens of a workspace; None without a rate limit."""
        bucket = self.quotas.buckets.get(workspace)
        if bucket is None:
            return None
        self.quotas.refill(bucket, now)
        left = self.quotas.tokens_left(bucket, now)
        if self.is_pressed(workspace, now):
            free = FREE_WHILE_PRESSED * self.quotas.free(bucket, now)
            others = max(0.0, bucket.unreported.last - free)
            left = min(left, bucket.tokens - others)
        return rate_line.Supply(
            left=left,
            burst=bucket.burst,
            rate=bucket.rate_per_ms * (1.0 - self.quotas.silent_share),
            share=min(1.0, bucket.unreported.share(self.quotas.nodes)),
            nodes=self.quotas.nodes,
            lag_ms=self.quotas.lag_of(bucket, now),
        )

    def take(
        self, workspace: str, state: rate_line.RankState, now: float
    ) -> bool:
        """Takes a token for a request of a rank; returns whether it did."""
        if self.quotas.admit(workspace, now):
            return False
        state.credit = max(0.0, state.credit - 1.0)
        return True

    def is_unused(
        self, workspace: str, line: rate_line.Line, now: float
    ) -> bool:
        """Returns whether the state of a workspace can be removed."""
        if workspace not in self.quotas.buckets:
            return True
        return all(
            now - state.seen_at >= rate_line.SEEN_MS
            for state in line.ranks.values()
        ) and (not line.promised or line.promised[-1] < now)

    # Retries.

    def refuse(
        self,
        waiter: rate_line.Waiter,
        line: rate_line.Line,
        supply: rate_line.Supply,
        ahead: int,
        now: float,
    ) -> Outcome:
        """Returns the refusal of a request, and promises it a retry time."""
        self.quotas.buckets[waiter.workspace].refused_at = now
        line.refusals += 1.0
        return Outcome(
            waiter,
            Decision.REFUSED,
            supply.left,
            ahead,
            self.promise(waiter, line, supply, now),
        )

    def promise(
        self,
        waiter: rate_line.Waiter,
        line: rate_line.Line,
        supply: rate_line.Supply,
        now: float,
    ) -> float:
        """Returns the delay of a refused caller's retry, in ms.

        The retry comes when the tokens for the waiting requests and for the
        retries promised before are spent, within the limits of the caller.
        """
        del line.promised[: bisect.bisect_right(line.promised, now)]
        missing = max(0.0, 1.0 - supply.left) / max(1e-9, supply.rate)
        latest = min(
            RETRY_OF_LEFT * (waiter.expires_at - now),
            max(missing, RETRY_OF_OBJECTIVE_MAX * waiter.objective_ms),
            RETRY_MS_MAX,
        )
        earliest = max(missing, RETRY_OF_OBJECTIVE_MIN * waiter.objective_ms)
        before = line.waiting() + len(line.promised)
        due = missing + before / max(1e-9, supply.rate * supply.share)
        if due < latest:
            earliest = max(earliest, due)
        # If no token is due in time, no moment is better than another.
        latest = max(1.0, latest)
        delay = self.rng.uniform(min(earliest, latest), latest)
        if len(line.promised) < PROMISES_MAX:
            bisect.insort(line.promised, now + delay)
        return delay
