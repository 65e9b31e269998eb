"""Rate limit of a workspace over all nodes, by exchange of admission counts.

Each node keeps a copy of each workspace's token bucket and subtracts from it
what it admits and what its peers report. The tokens become negative if two
nodes admit requests on the same ones. The rate therefore holds over time, and
only the burst can be exceeded, by what arrives between two reports.

A silent peer may still be running behind a network partition and is assumed to
admit its even share. Both sides of a partition assume the same, so together
they keep to the rate without communication.
"""

from __future__ import annotations

import dataclasses
import math

from currantcart.workspace import unreported

EXPEDITED_BELOW_BURST_SHARE = 0.5
EXPEDITED_RATE_PER_MS = 0.02
START_SHARE = 0.5
FREE_MIN = 8.0
FREE_OF_BURST_MIN = 0.1
FREE_OF_BURST = 0.5
FREE_LOST_PER_NODE = 1.5
"""Estimated admissions of other nodes that are not counted.

Otherwise requests within the rate would be refused because of admissions that
may not have taken place. The number increases with the burst. It decreases with
the number of nodes, as each of them may admit one request too many before it
notices.
"""
FREE_AT_START_MS = 1_000.0
"""Time for which the missing part of a new bucket's burst is not counted.

The nodes' shares are not known then, and the burst is reduced already for the
same reason.
"""
COMMON_START_MS = 2_000.0
"""Age up to which a process may have started together with this one."""
PAUSE_MS = 200.0
"""Time without a tick after which the process counts as paused."""
RESUME_MS = 100.0
"""Time after a pause for which no tokens are added.

Within it, the counts are read that peers have sent during the pause.
"""
LAG_MS = 500.0
EXPEDITED_LAG_MS = 150.0
"""Initial values of `lag_ms` and, for expedited counts, `expedited_lag_ms`."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """This node's copy of the token bucket of one workspace.

    Attributes:
      rate_per_ms: Tokens added per millisecond.
      burst: Largest number of tokens.
      tokens: Tokens at `updated_at`; negative if the nodes together admitted
        too many requests.
      updated_at: When `tokens` was updated last.
      created_at: When the bucket was created.
      admitted: Requests that this node admitted since its start.
      refused_at: When a request was refused last for lack of a token.
      unreported: Estimate of what others have admitted and not reported.
      expedited_at: Since when its counts are sent at once; negative while they
        are sent with the next status.
      changed: `Quotas.sequence` of the last change of `admitted`.
    """

    rate_per_ms: float
    burst: float
    tokens: float
    updated_at: float
    created_at: float
    admitted: int = 0
    refused_at: float = float("-inf")
    unreported: unreported.Unreported = dataclasses.field(
        default_factory=unreported.Unreported
    )
    expedited_at: float = -1.0
    changed: int = 0

    def is_expedited(self) -> bool:
        """Returns whether this node's admissions should be reported at once.

        They are near the limit, and only if the rate is high enough to exceed
        it by much between two statuses.
        """
        return (
            self.rate_per_ms >= EXPEDITED_RATE_PER_MS
            and self.tokens - self.unreported.last
            < self.burst * EXPEDITED_BELOW_BURST_SHARE
        )


class Quotas:
    """Token buckets of all workspaces.

    Attributes:
      started_at: When this process started.
      buckets: Buckets by workspace.
      sequence: Number of changes of the buckets' counts.
      reported: Admissions that each peer reported last, by workspace.
      silent_share: Share of the nodes that is silent, 0 to 1.
      nodes: Nodes that admit requests, this one included.
      ticked_at: Time of the last tick; infinite before the first.
      resumed_at: When the process last resumed after a pause.
      lag_ms: Time after which a peer's admission is reported with its status.
      expedited_lag_ms: The same if counts are sent at once.
    """

    def __init__(self, *, started_at: float = 0.0) -> None:
        self.started_at = started_at
        self.buckets: dict[str, Bucket] = {}
        self.sequence = 0
        self.reported: dict[str, dict[str, int]] = {}
        self.silent_share = 0.0
        self.nodes = 1
        self.ticked_at = math.inf
        self.resumed_at = -math.inf
        self.lag_ms = LAG_MS
        self.expedited_lag_ms = EXPEDITED_LAG_MS

    def configure(
        self, rates: dict[str, tuple[float, float]], now: float
    ) -> None:
        """Applies the rates of a configuration.

        Args:
          rates: Requests per second and burst, by workspace.
          now: Milliseconds of the node's clock.
        """
        kept: dict[str, Bucket] = {}
        for name, (rate_per_second, burst) in rates.items():
            rate_per_ms, tokens_max = rate_per_second / 1_000, max(1.0, burst)
            bucket = self.buckets.get(name)
            if bucket is None:
                # A node that starts does not know what was admitted just
                # before. With full buckets, a restart of all nodes would admit
                # each workspace's burst twice in one window.
                bucket = Bucket(
                    rate_per_ms, tokens_max, tokens_max * START_SHARE, now, now
                )
            else:
                self.refill(bucket, now)
                bucket.rate_per_ms, bucket.burst = rate_per_ms, tokens_max
                bucket.tokens = min(bucket.tokens, tokens_max)
            kept[name] = bucket
        self.buckets = kept

    def tick(self, now: float) -> None:
        """Notes that the process runs; called at short intervals."""
        self.notice_pause(now)
        self.ticked_at = now

    def notice_pause(self, now: float) -> None:
        """Notes a pause of the process since the last tick."""
        if now - self.ticked_at > PAUSE_MS:
            self.resumed_at = self.ticked_at = now

    def refill(self, bucket: Bucket, now: float) -> None:
        """Adds the tokens generated since the last refill.

        Those of a pause are added once the peers' counts of that time have
        been read: the peers went on, and may have used them.
        """
        self.notice_pause(now)
        if now - self.resumed_at < RESUME_MS:
            return
        rate = bucket.rate_per_ms * (1.0 - self.silent_share)
        bucket.tokens = min(
            bucket.burst, bucket.tokens + rate * (now - bucket.updated_at)
        )
        bucket.updated_at = now

    def admit(self, workspace: str, now: float) -> float:
        """Admits a request and takes a token, if one is available.

        Returns:
          0 if the request is admitted, else the time until a token may be
          available, in ms.
        """
        bucket = self.buckets.get(workspace)
        if bucket is None:
            return 0.0
        self.refill(bucket, now)
        left = self.tokens_left(bucket, now)
        if left < 1.0:
            bucket.refused_at = now
            missing = 1.0 - left
            rate = bucket.rate_per_ms * (1.0 - self.silent_share)
            return max(1.0, missing / max(rate, 1e-6))
        bucket.tokens -= 1.0
        bucket.admitted += 1
        self.record_change(bucket)
        bucket.unreported.record_local(now)
        return 0.0

    def tokens_left(self, bucket: Bucket, now: float) -> float:
        """Returns the tokens left after the others' unreported admissions."""
        return bucket.tokens - bucket.unreported.count(
            now,
            nodes=self.nodes,
            lag_ms=self.lag_of(bucket, now),
            free=self.free(bucket, now),
        )

    def free(self, bucket: Bucket, now: float) -> float:
        """Returns how many estimated admissions of others are not counted."""
        burst = bucket.burst
        free = max(
            FREE_MIN,
            FREE_OF_BURST_MIN * burst,
            FREE_OF_BURST * burst - FREE_LOST_PER_NODE * self.nodes,
        )
        if now - bucket.created_at < FREE_AT_START_MS:
            free += burst * (1.0 - START_SHARE)
        return free

    def lag_of(self, bucket: Bucket, now: float) -> float:
        """Returns the time after which peers' admissions are reported.

        The shorter time for expedited counts applies only after all nodes have
        noticed that the counts are expedited.
        """
        if not bucket.is_expedited():
            bucket.expedited_at = -1.0
            return self.lag_ms
        if bucket.expedited_at < 0.0:
            bucket.expedited_at = now
        is_noticed = now - bucket.expedited_at >= self.expedited_lag_ms
        return self.expedited_lag_ms if is_noticed else self.lag_ms

    def give_back(self, workspace: str) -> None:
        """Returns the token of a request that did not run."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.tokens = min(bucket.burst, bucket.tokens + 1.0)
            bucket.admitted -= 1
            self.record_change(bucket)

    def record_change(self, bucket: Bucket) -> None:
        """Records that the count of a bucket has changed."""
        self.sequence += 1
        bucket.changed = self.sequence

    def counts_since(self, sequence: int) -> dict[str, int]:
        """Returns the number of requests this node admitted, by workspace.

        Args:
          sequence: Value of `sequence` after which a count must have changed;
            0 for all counts.
        """
        if sequence == self.sequence:
            return {}
        return {
            name: bucket.admitted
            for name, bucket in self.buckets.items()
            if bucket.changed > sequence
        }

    def apply_counts(
        self,
        peer: str,
        counts: dict[str, int],
        now: float,
        *,
        started_at: float = float("-inf"),
    ) -> None:
        """Applies the admission counts that a peer reports.

        Args:
          peer: Process of the peer; each start makes a new one.
          counts: Requests that it admitted since its start, by workspace.
          now: Milliseconds of the node's clock.
          started_at: When the peer's process started.
        """
        reported = self.reported.get(peer)
        if reported is None:
            past = self.past_share(started_at, now)
            reported = {
                name: round(count * past) for name, count in counts.items()
            }
            self.reported[peer] = reported
        for name, count in counts.items():
            added = count - reported.get(name, 0)
            if added == 0:
                continue
            bucket = self.buckets.get(name)
            if bucket is not None:
                self.refill(bucket, now)
                bucket.tokens -= added
                bucket.unreported.record_peer(added, now)
            reported[name] = count

    def past_share(self, started_at: float, now: float) -> float:
        """Returns the share of a peer's first counts that lies in the past.

        That share is not subtracted from the tokens. It is 1 unless the peer's
        process is young: if all nodes start together, what each admits before
        its first report has to be subtracted.
        """
        age_ms = now - started_at
        if age_ms > COMMON_START_MS:
            return 1.0
        return max(0.0, 1.0 - (now - self.started_at) / max(1.0, age_ms))

    def remove_peer(self, peer: str) -> None:
        """Removes the counts of a peer process that has ended."""
        self.reported.pop(peer, None)

    def set_fleet(
        self, *, nodes: int, lag_ms: float, expedited_lag_ms: float
    ) -> None:
        """Sets the number of nodes and the delays of their reports.

        Args:
          nodes: Nodes that admit requests, this one included.
          lag_ms: Time after which an admission is reported with a status.
          expedited_lag_ms: The same if counts are sent at once.
        """
        self.nodes = max(1, nodes)
        self.lag_ms = lag_ms
        self.expedited_lag_ms = expedited_lag_ms

    def set_silent_share(self, share: float, now: float) -> None:
        """Sets the share of the nodes that is silent, 0 to 1.

        The available tokens are divided as well, because at the start of a
        partition both sides assume that they have the complete burst.
        """
        if share == self.silent_share:
            return
        for bucket in self.buckets.values():
            self.refill(bucket, now)
            if share > self.silent_share:
                bucket.tokens = min(bucket.tokens, bucket.burst * (1.0 - share))
        self.silent_share = share

    def expedited(self) -> dict[str, int]:
        """Returns the counts to report to the peers at once."""
        return {
            name: bucket.admitted
            for name, bucket in self.buckets.items()
            if bucket.admitted and bucket.is_expedited()
        }
