"""A workspace's rate over all nodes, by counts that the nodes exchange.

Each node keeps a copy of each workspace's token bucket and takes from it what
it admits itself and what its peers report. Tokens go negative when two nodes
admit on the same ones, so the rate holds over time and only a burst can be
exceeded, by what arrives between two reports.

A peer that is silent, and may yet live behind a cut, is assumed to admit its
even share. Both sides of a cut do the same sum, so that together they stay at
the rate without hearing each other.
"""

from __future__ import annotations

import dataclasses

from currantcart.workspace import unreported

NEAR_SHARE = 0.5
EXPEDITED_RATE_PER_MS = 0.02
START_SHARE = 0.5
FREE_LEAST = 8.0
FREE_OF_BURST_LEAST = 0.1
FREE_OF_BURST = 0.5
FREE_LOST_PER_NODE = 1.5
"""Requests that the others may have admitted without being counted.

Workspaces would else be refused inside their rate for a mere possibility. It
grows with the burst, and is less the more nodes there are, for each of them
may admit one more than it should before it notices.
"""
FREE_AT_START_MS = 1_000.0
"""Time for which the part of the burst that a new bucket lacks goes uncounted.

Nothing is known of the parts of the nodes then, and the burst is held back for
the same reason already.
"""
YOUNG_MS = 2_000.0
"""Age up to which a process may have begun together with this one."""
LAG_MS = 500.0
EXPEDITED_LAG_MS = 150.0
"""Initial times after which peers' admissions have been reported."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Tokens of one workspace as this node knows them.

    Attributes:
      rate_per_ms: Tokens that come each millisecond.
      burst: Most tokens.
      tokens: Tokens now; negative when the nodes together admitted too much.
      at: When `tokens` was right.
      since: When the bucket was made.
      admitted: Requests that this node admitted since its start.
      refused_at: When it had no token last.
      unreported: Estimate of what others have admitted and not reported.
      expedited_at: When its counts began to be sent at once; negative while
        they wait for the next status.
    """

    rate_per_ms: float
    burst: float
    tokens: float
    at: float
    since: float
    admitted: int = 0
    refused_at: float = float("-inf")
    unreported: unreported.Unreported = dataclasses.field(
        default_factory=unreported.Unreported
    )
    expedited_at: float = -1.0

    def is_expedited(self) -> bool:
        """Whether peers should hear at once what this node admits.

        That is so near the limit, and only where enough requests come to
        exceed it by much between two statuses.
        """
        return (
            self.rate_per_ms >= EXPEDITED_RATE_PER_MS
            and self.tokens - self.unreported.last < self.burst * NEAR_SHARE
        )


class Quotas:
    """The buckets of all workspaces.

    Attributes:
      started_at: When this process began.
      buckets: Buckets by workspace.
      told: What each peer said last that it had admitted, by workspace.
      silent_share: Part of the fleet that is silent, 0 to 1.
      nodes: Nodes that admit, this one included.
      lag_ms: Time after which a peer's admission is heard with its status.
      expedited_lag_ms: The same where counts are sent at once.
    """

    def __init__(self, *, started_at: float = 0.0) -> None:
        self.started_at = started_at
        self.buckets: dict[str, Bucket] = {}
        self.told: dict[str, dict[str, int]] = {}
        self.silent_share = 0.0
        self.nodes = 1
        self.lag_ms = LAG_MS
        self.expedited_lag_ms = EXPEDITED_LAG_MS

    def configure(
        self, rates: dict[str, tuple[float, float]], now: float
    ) -> None:
        """Takes the rates of a configuration.

        Args:
          rates: Requests a second and burst by workspace.
          now: Milliseconds of the node's clock.
        """
        kept: dict[str, Bucket] = {}
        for name, (rate_per_second, burst) in rates.items():
            rate_per_ms, most = rate_per_second / 1_000, max(1.0, burst)
            bucket = self.buckets.get(name)
            if bucket is None:
                # A node that starts does not know what was admitted a moment
                # ago; with whole bursts, a restart of all nodes would let
                # each workspace have its burst twice in one window.
                bucket = Bucket(rate_per_ms, most, most * START_SHARE, now, now)
            else:
                self.refill(bucket, now)
                bucket.rate_per_ms, bucket.burst = rate_per_ms, most
                bucket.tokens = min(bucket.tokens, most)
            kept[name] = bucket
        self.buckets = kept

    def refill(self, bucket: Bucket, now: float) -> None:
        """Adds the tokens of the time since the last look."""
        rate = bucket.rate_per_ms * (1.0 - self.silent_share)
        bucket.tokens = min(
            bucket.burst, bucket.tokens + rate * (now - bucket.at)
        )
        bucket.at = now

    def admit(self, workspace: str, now: float) -> float:
        """Takes a token.

        Returns:
          0 when the request is admitted, else the milliseconds until a token
          may be there.
        """
        bucket = self.buckets.get(workspace)
        if bucket is None:
            return 0.0
        self.refill(bucket, now)
        left = self.left(bucket, now)
        if left < 1.0:
            bucket.refused_at = now
            missing = 1.0 - left
            rate = bucket.rate_per_ms * (1.0 - self.silent_share)
            return max(1.0, missing / max(rate, 1e-6))
        bucket.tokens -= 1.0
        bucket.admitted += 1
        bucket.unreported.note_own(now)
        return 0.0

    def left(self, bucket: Bucket, now: float) -> float:
        """Returns the tokens that are left when the others are thought of."""
        return bucket.tokens - bucket.unreported.count(
            now,
            nodes=self.nodes,
            lag_ms=self.lag_of(bucket, now),
            free=self.free(bucket, now),
        )

    def free(self, bucket: Bucket, now: float) -> float:
        """Returns the requests of others that go uncounted."""
        burst = bucket.burst
        free = max(
            FREE_LEAST,
            FREE_OF_BURST_LEAST * burst,
            FREE_OF_BURST * burst - FREE_LOST_PER_NODE * self.nodes,
        )
        if now - bucket.since < FREE_AT_START_MS:
            free += burst * (1.0 - START_SHARE)
        return free

    def lag_of(self, bucket: Bucket, now: float) -> float:
        """Returns the time after which peers' admissions are heard.

        Counts that have just become expedited are heard at once only when all
        nodes have noticed that they are.
        """
        if not bucket.is_expedited():
            bucket.expedited_at = -1.0
            return self.lag_ms
        if bucket.expedited_at < 0.0:
            bucket.expedited_at = now
        noticed = now - bucket.expedited_at >= self.expedited_lag_ms
        return self.expedited_lag_ms if noticed else self.lag_ms

    def give_back(self, workspace: str) -> None:
        """Returns the token of a request that did not run."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.tokens = min(bucket.burst, bucket.tokens + 1.0)
            bucket.admitted -= 1

    def counts(self) -> dict[str, int]:
        """Returns what this node has admitted, by workspace."""
        return {
            name: bucket.admitted
            for name, bucket in self.buckets.items()
            if bucket.admitted
        }

    def hear(
        self,
        peer: str,
        counts: dict[str, int],
        now: float,
        *,
        started_at: float = float("-inf"),
    ) -> None:
        """Takes what a peer says it has admitted.

        Args:
          peer: The peer's process, new with each of its starts.
          counts: Requests that it admitted since its start, by workspace.
          now: Milliseconds of the node's clock.
          started_at: When the peer's process began.
        """
        told = self.told.get(peer)
        if told is None:
            past = self.past_share(started_at, now)
            told = {name: round(count * past) for name, count in counts.items()}
            self.told[peer] = told
        for name, count in counts.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                self.refill(bucket, now)
                more = count - told.get(name, 0)
                bucket.tokens -= more
                bucket.unreported.note_peer(more, now)
            told[name] = count

    def past_share(self, started_at: float, now: float) -> float:
        """Returns the part of a peer's first counts that lies in the past.

        That is all of them, unless the peer's process is young: where all
        nodes start anew, what each admits until it is heard of counts.
        """
        age_ms = now - started_at
        if age_ms > YOUNG_MS:
            return 1.0
        return max(0.0, 1.0 - (now - self.started_at) / max(1.0, age_ms))

    def forget(self, peer: str) -> None:
        """Forgets a process that is gone."""
        self.told.pop(peer, None)

    def set_fleet(
        self, *, nodes: int, lag_ms: float, expedited_lag_ms: float
    ) -> None:
        """Takes how many nodes admit, and how late this one hears of it."""
        self.nodes = max(1, nodes)
        self.lag_ms = lag_ms
        self.expedited_lag_ms = expedited_lag_ms

    def set_silent(self, share: float, now: float) -> None:
        """Takes which part of the fleet is silent, 0 to 1.

        The tokens at hand are divided as well: at the moment of a cut both
        sides believe that they have the whole burst.
        """
        if share == self.silent_share:
            return
        for bucket in self.buckets.values():
            self.refill(bucket, now)
            if share > self.silent_share:
                bucket.tokens = min(bucket.tokens, bucket.burst * (1.0 - share))
        self.silent_share = share

    def expedited(self) -> dict[str, int]:
        """Returns the counts that peers should hear at once."""
        return {
            name: bucket.admitted
            for name, bucket in self.buckets.items()
            if bucket.admitted and bucket.is_expedited()
        }
