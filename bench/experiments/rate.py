"""Rate limits of workspaces on real nodes, by phases of load.

Load within the rates on all nodes, on one node only, with one workspace far
above its rate, and after a node was killed. The baseline is a static share of
the rate for each node, computed from the same calls.
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
    """Returns a kind of request that costs its target little work."""
    return load.Kind("call", "GET", "/grades/a", rate, patience_ms=5_000)


async def phase(
    addresses: list[str], keys: dict[str, str], rates: dict[str, float],
    seed: int,
) -> load.Load:  # fmt: skip
    """Sends the load of one phase.

    Args:
      addresses: Nodes that receive it.
      keys: Key of each workspace.
      rates: Requests a second of each workspace.
      seed: Seed of the load.
    """
    loader = load.Load(addresses, seed=seed)
    callers = [
        load.Caller(name, keys[name], [kind(rate)])
        for name, rate in rates.items()
    ]
    await loader.run(callers, seconds=SECONDS)
    return loader


def refused_ratio(outcomes: list[load.Outcome], workspace: str) -> float:
    """Returns the share of a workspace's calls refused by its rate limit."""
    sent = [o for o in outcomes if o.workspace == workspace]
    return sum(o.code == "rate_exceeded" for o in sent) / len(sent)


def static_refused_ratio(
    outcomes: list[load.Outcome], workspace: str, nodes: int
) -> float:
    """Returns the share of the same calls that static shares would refuse.

    Callers choose nodes at random, so each node receives an equal part.

    Args:
      outcomes: Outcomes of all calls of the phase.
      workspace: Workspace that sent the calls.
      nodes: Nodes that received the load.
    """
    share = WORKSPACE_RATE / NODES
    sent = [o for o in outcomes if o.workspace == workspace]
    node_rate = len(sent) / SECONDS / nodes
    return max(0.0, 1.0 - share / node_rate)


def over_admitted(outcomes: list[load.Outcome]) -> int:
    """Counts calls that were admitted in excess of rate and burst.

    A call is admitted at some time between being sent and being answered, so
    both the times of sending and the times of the answers are possible
    histories. An excess is proven only if both of them have one, therefore the
    lower count is used.
    """
    excesses = []
    for name in {o.workspace for o in outcomes}:
        admitted = [o for o in outcomes if o.workspace == name and o.whole]
        by_history = [
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
        excesses.append(min(len(excess) for excess in by_history))
    return sum(excesses)


async def drive(
    running: fleet.Fleet, keys: dict[str, str], seed: int
) -> dict[str, load.Load]:
    """Runs the phases one after another and returns their loads by name."""
    addresses = [unit.callers for unit in running.units]
    await asyncio.sleep(SETTLE_SECONDS)
    within_rate = {GREEDY: LOAD_RATE, OTHER: LOAD_RATE}
    flooded = {GREEDY: FLOOD_RATE, OTHER: LOAD_RATE}
    loads = {
        "calm": await phase(addresses, keys, within_rate, seed),
        "skewed": await phase(addresses[:1], keys, within_rate, seed + 1),
        "flood": await phase(addresses, keys, flooded, seed + 2),
    }
    running.processes[f"node-{running.units[-1].instance}"].kill()
    await asyncio.sleep(1.0)
    loads["killed"] = await phase(addresses[:-1], keys, within_rate, seed + 3)
    return loads


def main(seed: int = 21) -> int:
    """Runs the experiment and prints its result line.

    Returns:
      1 if calls were admitted in excess of a rate, else 0.
    """
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
        loads = asyncio.run(drive(running, keys, seed))
    outcomes = {name: loader.outcomes for name, loader in loads.items()}
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
