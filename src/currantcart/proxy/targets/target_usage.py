"""Demand on the local target by workspace, as reported to other nodes."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.admission import fair_share, pressure, slots
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames
from currantcart.workspace import usage

PLAN_MS = 100.0
"""Time between two updates of the report and of the assumed shedding."""


class TargetUsage:
    """Demand on one target by rank and workspace.

    Requests that are shed where they enter do not arrive here, but belong to
    the demand. Each that arrives therefore counts for those of its workspace
    that were probably shed: all nodes work out the shed share from the same
    reports.

    Attributes:
      usage: Requests by rank and workspace.
      level: Returns the overload level of the service; set by the node.
      reported: Returns the demand on the service, as reported by the nodes of
        all its targets; set by the node.
      shares: Shares by rank while the service is overloaded.
      report: Values for the status; empty without overload.
      updated_at: When these were worked out.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        self.context = context
        self.usage = usage.Usage(
            context.settings.fair_shares.workspaces_tracked
        )
        self.level: Callable[[], float] = float
        self.reported: Callable[[], dict[int, usage.Demand]] = dict
        self.shares: dict[int, fair_share.Shares] = {}
        self.report: dict[str, float] = {}
        self.updated_at = 0.0

    def record(self, opening: frames.Open) -> None:
        """Records a request that the target is to run.

        One that was placed before is recorded there.
        """
        if not opening.workspace or opening.placed_before:
            return
        rank = slots.root_rank(opening.priority)
        if rank is None or not self.context.settings.fair_shares.enabled:
            return
        amount = 1.0
        shares = self.shares.get(rank)
        if shares is not None:
            amount /= 1.0 - shares.shed_share(opening.workspace)
        self.usage.record(
            rank,
            opening.workspace,
            weight=usage.valid_weight(opening.weight),
            now=self.context.now,
            amount=amount,
        )

    def update(self, *, own_level: float) -> dict[str, float]:
        """Updates and returns the values for the status.

        Args:
          own_level: Overload level of the target; without one it reports no
            usage.
        """
        now = self.context.now
        if now - self.updated_at < PLAN_MS:
            return self.report
        self.updated_at = now
        level = max(self.level(), own_level)
        if (
            level < pressure.LEVEL_MIN
            or not self.context.settings.fair_shares.enabled
        ):
            self.shares, self.report = {}, {}
            return self.report
        demand = self.usage.demand(now)
        self.shares = self.divide(demand, level)
        before, self.report = self.report, {}
        if own_level >= pressure.LEVEL_MIN:
            self.report = usage.report(
                ((rank, demand[rank]) for rank in sorted(self.shares)),
                weight_of=self.weight_of,
                before=before,
            )
        return self.report

    def divide(
        self, demand: dict[int, usage.Demand], level: float
    ) -> dict[int, fair_share.Shares]:
        """Returns the shares of the ranks of which a part has to be shed.

        Args:
          demand: Demand on the target by rank.
          level: Overload level of the service.
        """
        totals = {rank: item.total for rank, item in demand.items()}
        reported = self.reported()
        shares: dict[int, fair_share.Shares] = {}
        for rank, own in demand.items():
            shed = pressure.shed_share(totals, rank, level)
            if shed > 0.0:
                shares[rank] = fair_share.divide(
                    reported.get(rank, own),
                    weight_of=self.weight_of,
                    shed=shed,
                )
        return shares

    def weight_of(self, workspace: str) -> float:
        """Returns the weight of a workspace in fair shares."""
        catalog = self.context.catalog
        return 1.0 if catalog is None else catalog.weight_of(workspace)
