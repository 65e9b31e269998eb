"""Fleet-wide rate and burst by a static share for each node.

Each node may admit `1/fleet_instances` of a workspace's rate and burst. The
sum over all nodes then never exceeds the workspace's limits, with no message
between nodes and whatever fails. Its price is false refusals when traffic is
skewed to few nodes; docs/design/rate.md weighs that.
"""

from __future__ import annotations

from currantcart import errors
from currantcart.workspace import bucket, model


class RateLimiter:
    """Buckets of all workspaces at one node."""

    def __init__(self, *, fleet_instances: int) -> None:
        self.fleet_instances = fleet_instances
        self.buckets: dict[str, bucket.TokenBucket] = {}

    def share(self, workspace: model.Workspace) -> tuple[float, float]:
        """Returns this node's rate and burst of a workspace."""
        return (
            workspace.rate / self.fleet_instances,
            workspace.burst / self.fleet_instances,
        )

    def admit(self, workspace: model.Workspace, now: float) -> None:
        """Takes one token.

        Raises:
          errors.Refusal: The workspace is over its rate at this node.
        """
        rate, burst = self.share(workspace)
        held = self.buckets.get(workspace.name)
        if held is None:
            # A restarted node would hand out a second burst if it started
            # full; a share of one call keeps small workspaces served.
            held = bucket.TokenBucket(rate=rate, burst=burst, now=now)
            held.tokens = min(burst, 1.0)
            self.buckets[workspace.name] = held
        elif held.rate != rate or held.burst != burst:
            held.resize(rate=rate, burst=burst, now=now)
        if not held.take(now):
            raise errors.Refusal(
                errors.Code.RATE_EXCEEDED,
                errors.Step.RATE,
                f"workspace {workspace.name} is over its rate",
                not_run=True,
                retry_after_ms=held.wait_ms(now),
            )
