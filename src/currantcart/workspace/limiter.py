"""Rate limits of all workspaces at one node."""

from __future__ import annotations

from collections.abc import Iterable

from currantcart.workspace import model, share


class RateLimiter:
    """A node's share of each workspace's rate and burst.

    Attributes:
      fleet_instances: Largest number of nodes that run at the same time.
      shares: Shares by workspace.
    """

    def __init__(self, *, fleet_instances: int) -> None:
        self.fleet_instances = fleet_instances
        self.shares: dict[str, share.Share] = {}

    def configure(
        self, workspaces: Iterable[model.Workspace], now: float
    ) -> None:
        """Applies the workspaces of a new configuration.

        The share of a workspace that stays is resized and keeps its state.
        """
        previous = self.shares
        self.shares = {}
        for workspace in workspaces:
            rate = workspace.rate / self.fleet_instances
            burst = workspace.burst / self.fleet_instances
            kept = previous.get(workspace.name)
            if kept is None:
                kept = share.Share(rate=rate, burst=burst, now=now)
            else:
                kept.resize(rate=rate, burst=burst, now=now)
            self.shares[workspace.name] = kept

    def share_of(self, workspace: str) -> share.Share | None:
        """Returns the share of a workspace, or None if it is not configured."""
        return self.shares.get(workspace)
