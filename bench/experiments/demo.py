"""Demonstration: both deployments under mixed traffic, results as a table."""

from __future__ import annotations

import asyncio
import collections

from bench import deployments, fleet, load

SECONDS = 10.0


def print_table(outcomes: list[load.Outcome]) -> None:
    """Prints complete and refused requests by workspace and kind."""
    rows: dict[tuple[str, str], list[load.Outcome]] = {}
    for outcome in outcomes:
        rows.setdefault((outcome.workspace, outcome.kind), []).append(outcome)
    print(f"{'workspace':<10}{'request':<9}{'sent':>6}{'whole':>7}  refused")
    for (workspace, kind), group in sorted(rows.items()):
        complete = sum(outcome.whole for outcome in group)
        codes = collections.Counter(o.code for o in group if not o.whole)
        refused = ", ".join(f"{n} {code}" for code, n in codes.most_common())
        print(
            f"{workspace:<10}{kind:<9}{len(group):>6}{complete:>7}  {refused}"
        )


async def run_load(units: list[fleet.Unit], keys: dict[str, str]) -> load.Load:
    """Sends the mixed traffic of all workspaces."""
    callers = [
        load.Caller(name, keys[name], deployments.board_kinds(1))
        for name in deployments.BOARD_WORKSPACES
    ] + [
        load.Caller(name, keys[name], deployments.hinokawa_kinds(1))
        for name in deployments.HINOKAWA_WORKSPACES
    ]
    # One hotel sends far above its rate, so that the table shows refusals.
    callers[-1].kinds = deployments.hinokawa_kinds(6)
    loader = load.Load([unit.callers for unit in units], seed=1)
    await loader.run(callers, seconds=SECONDS)
    return loader


def main() -> int:
    """Runs the demonstration.

    Returns:
      0 if any request was answered completely, else 1.
    """
    with fleet.open_fleet() as running:
        running.start_store()
        running.plan(deployments.behaviours())
        count = len(running.units)
        print(f"starting the store, {count} targets and {count} nodes ...")
        running.start_units(fleet_instances=count)
        keys = deployments.configure(running.store, rate=40, burst=4 * count)
        asyncio.run(running.wait_ready())
        print(f"sending mixed traffic for {SECONDS:g} s ...")
        loader = asyncio.run(run_load(running.units, keys))
        print_table(loader.outcomes)
    complete = sum(outcome.whole for outcome in loader.outcomes)
    print(f"{complete} of {len(loader.outcomes)} requests finished whole")
    return 0 if complete else 1
