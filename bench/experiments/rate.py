"""Rates over real nodes: calm, skewed to one node, and with a node killed.

The baseline is the static share: what each node may admit on its own, worked
out from the same calls.
"""

from __future__ import annotations

import asyncio
import collections

from bench import checkers, deployments, fleet, load, measure
from bench.standins import target as target_standin

NODES = 6
WORKSPACE_RATE = 120.0
WORKSPACE_BURST = 48.0
LOAD_RATE = 90.0
FLOOD_RATE = 500.0
SECONDS = 6.0
SETTLE_SECONDS = 4.0
GREEDY, OTHER = "mill-1", "shop-1"


def kind(rate: float) -> load.Kind:
    """Returns a cheap request."""
    return load.Kind("call", "GET", "/grades/a", rate, patience_ms=5_000)


async def phase(
    addresses: list[str], keys: dict[str, str], rates: dict[str, float],
    seed: int,
) -> load.Load:  # fmt: skip
    """Sends the load of one phase."""
    loader = load.Load(addresses, seed=seed)
    callers = [
        load.Caller(name, keys[name], [kind(rate)])
        for name, rate in rates.items()
    ]
    await loader.run(callers, seconds=SECONDS)
    return loader


def refused_ratio(outcomes: list[load.Outcome], workspace: str) -> float:
    """Returns the share of a workspace's calls refused for its rate."""
    sent = [o for o in outcomes if o.workspace == workspace]
    return sum(o.code == "rate_exceeded" for o in sent) / len(sent)


def static_refused_ratio(
    outcomes: list[load.Outcome], workspace: str, nodes: int
) -> float:
    """Returns what a static share would have refused of the same calls.

    Callers choose nodes at random, so each node sees its part of them.
    """
    share = WORKSPACE_RATE / NODES
    sent = [o for o in outcomes if o.workspace == workspace]
    part = len(sent) / SECONDS / nodes
    return max(0.0, 1.0 - share / part)


def over_admitted(outcomes: list[load.Outcome]) -> int:
    """Counts admitted calls over rate and burst, by when they were sent.

    A call is admitted between being sent and being answered. Both orders are
    possible histories; only an excess in each of them is one for certain.
    """
    found = []
    for name in {o.workspace for o in outcomes}:
        admitted = [o for o in outcomes if o.workspace == name and o.whole]
        by_order = [
            checkers.rate_is_kept(
                [1_000 * time for time in times],
                rate=WORKSPACE_RATE,
                burst=WORKSPACE_BURST,
            )
            for times in (
                [o.started for o in admitted],
                [o.started + o.seconds for o in admitted],
            )
        ]
        found.append(min(len(excess) for excess in by_order))
    return sum(found)


async def drive(
    running: fleet.Fleet, keys: dict[str, str], seed: int
) -> dict[str, load.Load]:
    """Runs the phases one after another."""
    every = [unit.callers for unit in running.units]
    await asyncio.sleep(SETTLE_SECONDS)
    inside = {GREEDY: LOAD_RATE, OTHER: LOAD_RATE}
    flooded = {GREEDY: FLOOD_RATE, OTHER: LOAD_RATE}
    seen = {
        "calm": await phase(every, keys, inside, seed),
        "skewed": await phase(every[:1], keys, inside, seed + 1),
        "flood": await phase(every, keys, flooded, seed + 2),
    }
    running.processes[f"node-{running.units[-1].instance}"].kill()
    await asyncio.sleep(1.0)
    seen["killed"] = await phase(every[:-1], keys, inside, seed + 3)
    return seen


def main(seed: int = 21) -> int:
    """Runs the bench and prints its line."""
    with fleet.open_fleet() as running:
        running.start_store()
        running.plan(
            {
                "grades": [
                    target_standin.Behaviour("grades", slots=200, work_ms=1)
                    for _ in range(NODES)
                ]
            }
        )
        running.start_units(fleet_instances=NODES)
        keys = deployments.configure(
            running.store, rate=WORKSPACE_RATE, burst=WORKSPACE_BURST
        )
        asyncio.run(running.wait_ready())
        seen = asyncio.run(drive(running, keys, seed))
    outcomes = {name: loader.outcomes for name, loader in seen.items()}
    excess = sum(over_admitted(found) for found in outcomes.values())
    figures: dict[str, float | int | str] = {"over_admitted": excess}
    for name, nodes in (("calm", NODES), ("skewed", 1), ("killed", NODES - 1)):
        suffix = "" if name == "calm" else f"_{name}"
        figures[f"refused_inside_rate_ratio{suffix}"] = refused_ratio(
            outcomes[name], OTHER
        )
        figures[f"baseline_refused_inside_rate_ratio{suffix}"] = (
            static_refused_ratio(outcomes[name], OTHER, nodes)
        )
    flood = [o for o in outcomes["flood"] if o.workspace == OTHER]
    figures["other_workspaces_ratio"] = sum(o.whole for o in flood) / len(flood)
    greedy = [o for o in outcomes["flood"] if o.workspace == GREEDY]
    figures["greedy_admitted_per_s"] = sum(o.whole for o in greedy) / SECONDS
    codes = collections.Counter(o.code for found in outcomes.values()
                                for o in found if not o.whole)  # fmt: skip
    figures["codes"] = str(dict(codes))
    figures["seed"] = seed
    print(measure.result("rate", figures))
    return int(excess > 0)
