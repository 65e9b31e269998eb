"""At-most-once execution of payments under retries, node crashes, store faults.

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

FAULT_FREE_SECONDS = 3.0
FAULT_SECONDS = 8.0
RATE = 40.0
ATTEMPTS = 5
CALLER_TIMEOUT_MS = 4_000.0
ONCE, PLAIN = "once", "plain"
KILLED = "payments-1"


def kinds() -> list[load.Kind]:
    """Returns payments on the once-only route and on the baseline route."""
    return [
        load.Kind(
            name, "POST", path, RATE, 100,
            patience_ms=CALLER_TIMEOUT_MS, attempts=ATTEMPTS, operation=True,
        )
        for name, path in ((ONCE, "/payments/fees"), (PLAIN, "/payments/x"))
    ]  # fmt: skip


async def inject_faults(running: fleet.Fleet) -> None:
    """Loses store answers, restarts a node, makes the store unavailable.

    The node is killed. After the outage the store loses writes.
    """
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
class Observed:
    """What was observed in one run of the experiment.

    Attributes:
      before_faults: Outcomes of the requests sent before the faults.
      outcomes: Outcomes of all requests.
      executions: All executions at the targets of payments.
      writes: Writes to the store before the faults.
    """

    before_faults: list[load.Outcome]
    outcomes: list[load.Outcome]
    executions: list[checkers.Ran]
    writes: int


async def drive(running: fleet.Fleet, key: str, seed: int) -> Observed:
    """Sends the payments, first without and then with faults."""
    addresses = [unit.callers for unit in running.units]
    caller = load.Caller("mill-1", key, kinds())
    fault_free_load = load.Load(addresses, seed=seed)
    before = await running.ask_store("GET", "/counts")
    await fault_free_load.run([caller], seconds=FAULT_FREE_SECONDS)
    await asyncio.sleep(0.5)
    after = await running.ask_store("GET", "/counts")
    faulty_load = load.Load(addresses, seed=seed + 1)
    faulty_load.sent = fault_free_load.sent
    await asyncio.gather(
        faulty_load.run([caller], seconds=FAULT_SECONDS), inject_faults(running)
    )
    executions = [
        checkers.Ran(e["id"], "payments", operation=e["operation"])
        for unit in running.units
        if unit.behaviour.service == "payments"
        for e in await running.history(unit)
    ]
    return Observed(
        before_faults=fault_free_load.outcomes,
        outcomes=[*fault_free_load.outcomes, *faulty_load.outcomes],
        executions=executions,
        writes=after["writes"] - before["writes"],
    )


def ran_twice(observed: Observed, kind: str) -> int:
    """Counts operations of a kind that were executed more than once."""
    ids = {o.request_id for o in observed.outcomes if o.kind == kind}
    executions = [e for e in observed.executions if e.request_id in ids]
    return len(checkers.operations_ran_once(executions))


def falsely_not_run(observed: Observed) -> int:
    """Counts requests that ran although each attempt was answered "not run"."""
    executed = {e.request_id for e in observed.executions}
    return sum(
        o.request_id in executed
        for o in observed.outcomes
        if o.not_run and o.attempts == o.not_run_attempts
    )


def median_ms(outcomes: list[load.Outcome], kind: str) -> float:
    """Returns the median latency of complete answers of a kind, in ms."""
    return 1_000 * statistics.median(
        o.seconds for o in outcomes if o.kind == kind and o.whole
    )


def main(seed: int = 11) -> int:
    """Runs the experiment and prints its result line.

    Returns:
      1 if an operation on the once-only route was executed twice or a request
      was falsely reported as not run, else 0.
    """
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
        observed = asyncio.run(drive(running, keys["mill-1"], seed))
    once_before_faults = [o for o in observed.before_faults if o.kind == ONCE]
    codes = collections.Counter(
        o.code for o in observed.outcomes if o.kind == ONCE and not o.whole
    )
    print(
        measure.result(
            "once",
            {
                "ran_twice": ran_twice(observed, ONCE),
                "baseline_ran_twice": ran_twice(observed, PLAIN),
                "falsely_not_run": falsely_not_run(observed),
                "writes_per_operation": observed.writes
                / len(once_before_faults),
                "added_p50_ms": median_ms(observed.before_faults, ONCE)
                - median_ms(observed.before_faults, PLAIN),
                "operations": sum(o.kind == ONCE for o in observed.outcomes),
                "whole": sum(
                    o.whole for o in observed.outcomes if o.kind == ONCE
                ),
                "others": json.dumps(codes),
                "seed": seed,
            },
        )
    )
    return int(bool(ran_twice(observed, ONCE) or falsely_not_run(observed)))
