"""At most once: payments with hard retries, killed nodes, a faulty store.

The baseline is the same load, in the same run, on a route that is not marked
as once-only.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import statistics

from bench import checkers, deployments, fleet, load, measure
from bench.standins import target as target_standin

CALM_SECONDS = 3.0
FAULT_SECONDS = 8.0
RATE = 40.0
ATTEMPTS = 5
PATIENCE_MS = 4_000.0
ONCE, PLAIN = "once", "plain"
KILLED = "payments-1"


def kinds() -> list[load.Kind]:
    """Returns the two kinds of payment."""
    return [
        load.Kind(
            name, "POST", path, RATE, 100,
            patience_ms=PATIENCE_MS, attempts=ATTEMPTS, operation=True,
        )
        for name, path in ((ONCE, "/payments/fees"), (PLAIN, "/payments/x"))
    ]  # fmt: skip


async def faults(running: fleet.Fleet) -> None:
    """Loses answers, kills and replaces a node, and takes the store down."""
    unit = next(u for u in running.units if u.instance == KILLED)
    await asyncio.sleep(0.5)
    await running.ask_store("PUT", "/fault", {"lose_answers": 20})
    await asyncio.sleep(1.0)
    running.processes[f"node-{KILLED}"].kill()
    running.processes[f"node-{KILLED}"].wait()
    await asyncio.sleep(1.0)
    running.start_node(unit, fleet_instances=len(running.units))
    await asyncio.sleep(2.0)
    await running.ask_store("PUT", "/fault", {"down": True})
    await asyncio.sleep(1.0)
    await running.ask_store("PUT", "/fault", {"lose_writes": 20})


@dataclasses.dataclass
class Seen:
    """What a run brought.

    Attributes:
      calm: Outcomes before the faults.
      outcomes: All outcomes.
      ran: All runs.
      writes: Writes of the calm part.
    """

    calm: list[load.Outcome]
    outcomes: list[load.Outcome]
    ran: list[checkers.Ran]
    writes: int


async def drive(running: fleet.Fleet, key: str, seed: int) -> Seen:
    """Sends the payments, calm first, then under faults."""
    addresses = [unit.callers for unit in running.units]
    caller = load.Caller("mill-1", key, kinds())
    calm = load.Load(addresses, seed=seed)
    before = await running.ask_store("GET", "/counts")
    await calm.run([caller], seconds=CALM_SECONDS)
    await asyncio.sleep(0.5)
    after = await running.ask_store("GET", "/counts")
    rough = load.Load(addresses, seed=seed + 1)
    rough.sent = calm.sent
    await asyncio.gather(
        rough.run([caller], seconds=FAULT_SECONDS), faults(running)
    )
    ran = [
        checkers.Ran(e["id"], "payments", operation=e["operation"])
        for unit in running.units
        if unit.behaviour.service == "payments"
        for e in await running.history(unit)
    ]
    return Seen(
        calm=calm.outcomes,
        outcomes=[*calm.outcomes, *rough.outcomes],
        ran=ran,
        writes=after["writes"] - before["writes"],
    )


def ran_twice(seen: Seen, kind: str) -> int:
    """Counts operations of a kind that ran more than once."""
    ids = {o.request_id for o in seen.outcomes if o.kind == kind}
    ran = [run for run in seen.ran if run.request_id in ids]
    return len(checkers.operations_ran_once(ran))


def falsely_not_run(seen: Seen) -> int:
    """Counts requests whose every attempt said "not run" and that ran."""
    ran = {run.request_id for run in seen.ran}
    return sum(
        o.request_id in ran
        for o in seen.outcomes
        if o.not_run and o.attempts == o.not_run_attempts
    )


def median_ms(outcomes: list[load.Outcome], kind: str) -> float:
    """Returns the median time of the whole answers of a kind."""
    return 1_000 * statistics.median(
        o.seconds for o in outcomes if o.kind == kind and o.whole
    )


def main(seed: int = 11) -> int:
    """Runs the bench and prints its line."""
    with fleet.open_fleet() as running:
        running.start_store()
        running.plan(
            {
                name: [
                    target_standin.Behaviour(service=name, work_ms=20)
                    for _ in range(count)
                ]
                for name, count in (("payments", 2), ("permits", 1))
            }
        )
        running.start_units(fleet_instances=len(running.units))
        keys = deployments.configure(running.store, rate=1e5, burst=1e4)
        asyncio.run(running.wait_ready())
        seen = asyncio.run(drive(running, keys["mill-1"], seed))
    calm_once = [o for o in seen.calm if o.kind == ONCE]
    codes = collections.Counter(
        o.code for o in seen.outcomes if o.kind == ONCE and not o.whole
    )
    print(
        measure.result(
            "once",
            {
                "ran_twice": ran_twice(seen, ONCE),
                "baseline_ran_twice": ran_twice(seen, PLAIN),
                "falsely_not_run": falsely_not_run(seen),
                "writes_per_operation": seen.writes / len(calm_once),
                "added_p50_ms": median_ms(seen.calm, ONCE)
                - median_ms(seen.calm, PLAIN),
                "operations": sum(o.kind == ONCE for o in seen.outcomes),
                "whole": sum(o.whole for o in seen.outcomes if o.kind == ONCE),
                "others": json.dumps(codes),
                "seed": seed,
            },
        )
    )
    return int(bool(ran_twice(seen, ONCE) or falsely_not_run(seen)))
