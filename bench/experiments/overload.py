"""Overload of a call chain of three services whose last one becomes slow.

For some seconds, the trigger, the last service runs at a quarter of its speed
while callers make up to `ATTEMPTS` attempts. The baseline is the same load on
the same fleet with overload control off: plain proxying, three attempts at each
hop.
"""

from __future__ import annotations

import asyncio
import dataclasses

from bench import deployments, fleet, load, measure
from bench.standins import target as target_standin

BEFORE_SECONDS = 4.0
TRIGGER_SECONDS = 8.0
AFTER_SECONDS = 8.0
SETTLE_SECONDS = 1.0
DEEP_SLOTS = 10
DEEP_WORK_MS = 20.0
DEEP_TARGETS = 2
SLOWDOWN = 4.0
CALLER_TIMEOUT_MS = 1_000.0
ATTEMPTS = 4
BIN_SECONDS = 0.25
RECOVERED_SHARE = 0.95
RECOVERED_BINS = 4
BROWSE_RATE = 90.0
PAY_RATE = 10.0
FLOOD_FACTOR = 3.0
WORKSPACES = deployments.BOARD_WORKSPACES
CALLS_PER_CHAIN = 3


@dataclasses.dataclass
class Run:
    """What was observed in one run, with or without overload control.

    Attributes:
      outcomes: Outcomes of the requests, as their callers saw them.
      executions: Number of executions at all targets, by request id.
      deep_starts: When the last service of the chain started each execution,
        in seconds since the start of the load.
    """

    outcomes: list[load.Outcome]
    executions: dict[str, int]
    deep_starts: list[float]


def services() -> dict[str, list[target_standin.Behaviour]]:
    """Returns the targets of a chain: payments, permits, grades."""

    def make_targets(
        service: str, slots: int, work_ms: float, *calls: str
    ) -> list[target_standin.Behaviour]:
        return [
            target_standin.Behaviour(
                service=service,
                slots=slots,
                work_ms=work_ms,
                calls=list(calls),
            )
            for _ in range(DEEP_TARGETS)
        ]

    return {
        "grades": make_targets("grades", DEEP_SLOTS, DEEP_WORK_MS),
        "permits": make_targets("permits", 200, 2.0, "/grades/grade"),
        "payments": make_targets("payments", 200, 2.0, "/permits/status"),
    }


def callers(keys: dict[str, str]) -> list[load.Caller]:
    """Returns callers of all workspaces, which browse and pay.

    The first one browses at `FLOOD_FACTOR` times the rate of the others.
    """
    result = []
    for number, name in enumerate(WORKSPACES):
        factor = FLOOD_FACTOR if number == 0 else 1.0
        kinds = [
            load.Kind(
                kind, "POST", path, rate, operation=kind == "pay",
                patience_ms=CALLER_TIMEOUT_MS, attempts=ATTEMPTS,
            )
            for kind, path, rate in (
                ("browse", "/payments/list", BROWSE_RATE * factor),
                ("pay", "/payments/fees", PAY_RATE),
            )
        ]  # fmt: skip
        result.append(load.Caller(name, keys[name], kinds))
    return result


async def trigger(running: fleet.Fleet) -> None:
    """Slows the last service of the chain for `TRIGGER_SECONDS`."""
    deep = [u for u in running.units if u.behaviour.service == "grades"]
    await asyncio.sleep(BEFORE_SECONDS)
    for unit in deep:
        await running.control(unit, slow=SLOWDOWN)
    await asyncio.sleep(TRIGGER_SECONDS)
    for unit in deep:
        await running.control(unit, slow=1.0)


async def drive(running: fleet.Fleet, keys: dict[str, str]) -> Run:
    """Sends the load before, during and after the trigger."""
    first = [u for u in running.units if u.behaviour.service == "payments"]
    loader = load.Load([unit.callers for unit in first], seed=7)
    seconds = BEFORE_SECONDS + TRIGGER_SECONDS + AFTER_SECONDS
    await asyncio.gather(
        loader.run(callers(keys), seconds=seconds), trigger(running)
    )
    executions: dict[str, int] = {}
    deep_starts: list[float] = []
    for unit in running.units:
        for entry in await running.history(unit):
            executions[entry["id"]] = executions.get(entry["id"], 0) + 1
            if unit.behaviour.service == "grades":
                # The event loop's clock is the same in all processes of a
                # machine.
                deep_starts.append(entry["at"] - loader.started)
    return Run(loader.outcomes, executions, deep_starts)


def run_fleet(*, controlled: bool) -> Run:
    """Runs the load on a new fleet, with or without overload control."""
    with fleet.open_fleet() as running:
        running.start_store()
        running.plan(services(), domains=2)
        running.start_units(
            overload_control=controlled, fleet_instances=len(running.units)
        )
        keys = deployments.configure(running.store, rate=100_000, burst=10_000)
        asyncio.run(running.wait_ready())
        return asyncio.run(drive(running, keys))


def capacity(*, slowed: bool) -> float:
    """Returns the capacity of the last service, in requests a second."""
    work_ms = DEEP_WORK_MS * (SLOWDOWN if slowed else 1.0)
    return DEEP_TARGETS * DEEP_SLOTS * 1_000 / work_ms


def completed_in(run: Run, start: float, end: float) -> list[load.Outcome]:
    """Returns the requests whose complete answer came in a time span."""
    return [
        o for o in run.outcomes
        if o.whole and start <= o.started + o.seconds < end
    ]  # fmt: skip


def offered_rate() -> float:
    """Returns the offered load without retries, in requests a second."""
    browse = BROWSE_RATE * (len(WORKSPACES) - 1 + FLOOD_FACTOR)
    return browse + PAY_RATE * len(WORKSPACES)


def goodput_ratio(run: Run) -> float:
    """Returns goodput during the trigger, as a share of what is possible.

    What is possible is the lower of the slowed capacity and the offered load.
    """
    start = BEFORE_SECONDS + SETTLE_SECONDS
    end = BEFORE_SECONDS + TRIGGER_SECONDS
    possible = min(capacity(slowed=True), offered_rate()) * (end - start)
    return len(completed_in(run, start, end)) / possible


def deep_utilization(run: Run) -> float:
    """Returns the utilization of the last service during the trigger.

    It is the number of executions started, over the slowed capacity.
    """
    start = BEFORE_SECONDS + SETTLE_SECONDS
    end = BEFORE_SECONDS + TRIGGER_SECONDS
    began = sum(start <= at < end for at in run.deep_starts)
    return began / (capacity(slowed=True) * (end - start))


def recovery_ms(run: Run) -> float:
    """Returns the time from the end of the trigger to recovery, in ms.

    Goodput has recovered when `RECOVERED_BINS` bins in a row serve at least
    `RECOVERED_SHARE` of the load sent in them, or of normal goodput if that is
    lower. If it never does, the time is all of `AFTER_SECONDS`.
    """
    began = BEFORE_SECONDS + TRIGGER_SECONDS
    normal = min(capacity(slowed=False), offered_rate()) * BIN_SECONDS
    bins = int(AFTER_SECONDS / BIN_SECONDS)
    recovered = []
    for number in range(bins):
        start = began + number * BIN_SECONDS
        sent = [
            o for o in run.outcomes
            if start <= o.started < start + BIN_SECONDS
        ]  # fmt: skip
        served = sum(o.whole for o in sent)
        recovered.append(served >= RECOVERED_SHARE * min(len(sent), normal))
    for number in range(bins - RECOVERED_BINS + 1):
        if all(recovered[number : number + RECOVERED_BINS]):
            return number * BIN_SECONDS * 1_000
    return AFTER_SECONDS * 1_000


def in_trigger(run: Run) -> list[load.Outcome]:
    """Returns the requests sent in the trigger after `SETTLE_SECONDS`."""
    start = BEFORE_SECONDS + SETTLE_SECONDS
    end = BEFORE_SECONDS + TRIGGER_SECONDS
    return [o for o in run.outcomes if start <= o.started < end]


def important_ratio(run: Run) -> float:
    """Returns the share of payments answered completely, in the trigger."""
    payments = [o for o in in_trigger(run) if o.kind == "pay"]
    return sum(o.whole for o in payments) / len(payments)


def worst_workspace_ratio(run: Run) -> float:
    """Returns the goodput of the worst served workspace over the mean.

    Counts browsing in the trigger only.
    """
    browsing = [o for o in in_trigger(run) if o.kind == "browse"]
    served = {
        name: sum(o.whole for o in browsing if o.workspace == name)
        for name in WORKSPACES
    }
    fair = sum(served.values()) / len(WORKSPACES)
    return min(served.values()) / fair if fair else 0.0


def main() -> int:
    """Runs the experiment and prints its result line."""
    controlled = run_fleet(controlled=True)
    baseline = run_fleet(controlled=False)
    before_trigger = [
        o for o in controlled.outcomes
        if o.started < BEFORE_SECONDS and o.started > SETTLE_SECONDS
    ]  # fmt: skip
    print(
        measure.result(
            "overload",
            {
                "goodput_ratio": goodput_ratio(controlled),
                "baseline_goodput_ratio": goodput_ratio(baseline),
                "deep_utilization": deep_utilization(controlled),
                "baseline_deep_utilization": deep_utilization(baseline),
                "recovery_ms": recovery_ms(controlled),
                "baseline_recovery_ms": recovery_ms(baseline),
                "worst_workspace_ratio": worst_workspace_ratio(controlled),
                "baseline_worst_workspace_ratio": worst_workspace_ratio(
                    baseline
                ),
                "important_goodput_ratio": important_ratio(controlled),
                "baseline_important_goodput_ratio": important_ratio(baseline),
                "refused_inside_rate_ratio": sum(
                    not o.whole for o in before_trigger
                )
                / len(before_trigger),
                "attempts_per_call_max": max(controlled.executions.values())
                / CALLS_PER_CHAIN,
                "baseline_attempts_per_call_max": max(
                    baseline.executions.values()
                )
                / CALLS_PER_CHAIN,
                "offered_per_s": offered_rate(),
                "capacity_per_s": capacity(slowed=False),
                "capacity_slowed_per_s": capacity(slowed=True),
            },
        )
    )
    return 0
