"""The demonstration: both deployments, mixed traffic, a table at the end."""

from __future__ import annotations

import asyncio
import collections

from bench import deployments, fleet, load

SECONDS = 10.0


def print_table(outcomes: list[load.Outcome]) -> None:
    """Prints what finished whole and what was refused, by workspace."""
    rows: dict[tuple[str, str], list[load.Outcome]] = {}
    for outcome in outcomes:
        rows.setdefault((outcome.workspace, outcome.kind), []).append(outcome)
    print(f"{'workspace':<10}{'request':<9}{'sent':>6}{'whole':>7}  refused")
    for (workspace, kind), found in sorted(rows.items()):
        whole = sum(outcome.whole for outcome in found)
        codes = collections.Counter(o.code for o in found if not o.whole)
        refused = ", ".join(f"{n} {code}" for code, n in codes.most_common())
        print(f"{workspace:<10}{kind:<9}{len(found):>6}{whole:>7}  {refused}")


async def run_load(units: list[fleet.Unit], keys: dict[str, str]) -> load.Load:
    """Sends the mixed traffic."""
    callers = [
        load.Caller(name, keys[name], deployments.board_kinds(1))
        for name in deployments.BOARD_WORKSPACES
    ] + [
        load.Caller(name, keys[name], deployments.hinokawa_kinds(1))
        for name in deployments.HINOKAWA_WORKSPACES
    ]
    # One hotel sends far over its rate, to show what is refused and why.
    callers[-1].kinds = deployments.hinokawa_kinds(6)
    loader = load.Load([unit.callers for unit in units], seed=1)
    await loader.run(callers, seconds=SECONDS)
    return loader


def main() -> int:
    """Runs the demonstration."""
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
    whole = sum(outcome.whole for outcome in loader.outcomes)
    print(f"{whole} of {len(loader.outcomes)} requests finished whole")
    return 0 if whole else 1
