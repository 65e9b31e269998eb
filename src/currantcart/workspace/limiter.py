"""Shares of all workspaces at one node."""

from __future__ import annotations

from collections.abc import Iterable

from currantcart.workspace import model, share


class RateLimiter:
    """This node's share of each workspace's rate and burst.

    Attributes:
      fleet_instances: Most nodes that ever run at once.
      shares: By workspace.
    """

    def __init__(self, *, fleet_instances: int) -> None:
        self.fleet_instances = fleet_instances
        self.shares: dict[str, share.Share] = {}

    def configure(
        self, workspaces: Iterable[model.Workspace], now: float
    ) -> None:
        """Takes the workspaces of a new configuration."""
        known = self.shares
        self.shares = {}
        for workspace in workspaces:
            rate = workspace.rate / self.fleet_instances
            burst = workspace.burst / self.fleet_instances
            held = known.get(workspace.name)
            if held is None:
                held = share.Share(rate=rate, burst=burst, now=now)
            else:
                held.resize(rate=rate, burst=burst, now=now)
            self.shares[workspace.name] = held

    def share_of(self, workspace: str) -> share.Share | None:
        """Returns the share of a workspace, if it is configured."""
        return self.shares.get(workspace)
