"""Overload: a chain three services deep whose last one slows to a quarter.

Callers retry hard. The baseline is the same load on the same fleet with
overload control off: plain proxying, three attempts at each hop.
"""

from __future__ import annotations

import asyncio
import dataclasses

from bench import deployments, fleet, load, measure
from bench.standins import target as target_standin

CALM_SECONDS = 4.0
TRIGGER_SECONDS = 8.0
AFTER_SECONDS = 8.0
SETTLE_SECONDS = 1.0
DEEP_SLOTS = 10
DEEP_WORK_MS = 20.0
DEEP_TARGETS = 2
SLOWDOWN = 4.0
PATIENCE_MS = 1_000.0
ATTEMPTS = 4
BIN_SECONDS = 0.25
RECOVERED_SHARE = 0.95
RECOVERED_BINS = 4
BROWSE_RATE = 90.0
PAY_RATE = 10.0
FLOOD_FACTOR = 3.0
WORKSPACES = deployments.BOARD_WORKSPACES
CALLS_OF_CHAIN = 3


@dataclasses.dataclass
class Run:
    """What one run, controlled or not, brought.

    Attributes:
      outcomes: What callers saw.
      runs: Runs at any target for each request.
      deep: Seconds since the start at which the deep service began each run.
    """

    outcomes: list[load.Outcome]
    runs: dict[str, int]
    deep: list[float]


def services() -> dict[str, list[target_standin.Behaviour]]:
    """Returns targets of grades, permits and payments, in a chain."""

    def behave(
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
        "grades": behave("grades", DEEP_SLOTS, DEEP_WORK_MS),
        "permits": behave("permits", 200, 2.0, "/grades/grade"),
        "payments": behave("payments", 200, 2.0, "/permits/status"),
    }


def callers(keys: dict[str, str]) -> list[load.Caller]:
    """Returns workspaces that browse and pay; the first one floods."""
    made = []
    for number, name in enumerate(WORKSPACES):
        factor = FLOOD_FACTOR if number == 0 else 1.0
        kinds = [
            load.Kind(
                kind, "POST", path, rate, operation=kind == "pay",
                patience_ms=PATIENCE_MS, attempts=ATTEMPTS,
            )
            for kind, path, rate in (
                ("browse", "/payments/list", BROWSE_RATE * factor),
                ("pay", "/payments/fees", PAY_RATE),
            )
        ]  # fmt: skip
        made.append(load.Caller(name, keys[name], kinds))
    return made


async def trigger(running: fleet.Fleet) -> None:
    """Slows the deep service for a while."""
    deep = [u for u in running.units if u.behaviour.service == "grades"]
    await asyncio.sleep(CALM_SECONDS)
    for unit in deep:
        await running.control(unit, slow=SLOWDOWN)
    await asyncio.sleep(TRIGGER_SECONDS)
    for unit in deep:
        await running.control(unit, slow=1.0)


async def drive(running: fleet.Fleet, keys: dict[str, str]) -> Run:
    """Sends the load over the trigger."""
    entry = [u for u in running.units if u.behaviour.service == "payments"]
    loader = load.Load([unit.callers for unit in entry], seed=7)
    seconds = CALM_SECONDS + TRIGGER_SECONDS + AFTER_SECONDS
    await asyncio.gather(
        loader.run(callers(keys), seconds=seconds), trigger(running)
    )
    runs: dict[str, int] = {}
    deep: list[float] = []
    for unit in running.units:
        for ran in await running.history(unit):
            runs[ran["id"]] = runs.get(ran["id"], 0) + 1
            if unit.behaviour.service == "grades":
                # The loop's time is the machine's, the same in each process.
                deep.append(ran["at"] - loader.started)
    return Run(loader.outcomes, runs, deep)


def one_run(*, controlled: bool) -> Run:
    """Runs the fleet once."""
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
    """Returns whole requests a second that the deep service can carry."""
    work_ms = DEEP_WORK_MS * (SLOWDOWN if slowed else 1.0)
    return DEEP_TARGETS * DEEP_SLOTS * 1_000 / work_ms


def ended_whole(run: Run, start: float, end: float) -> list[load.Outcome]:
    """Returns requests that ended whole in a span."""
    return [
        o for o in run.outcomes
        if o.whole and start <= o.started + o.seconds < end
    ]  # fmt: skip


def offered_rate() -> float:
    """Returns requests a second, before retries."""
    browse = BROWSE_RATE * (len(WORKSPACES) - 1 + FLOOD_FACTOR)
    return browse + PAY_RATE * len(WORKSPACES)


def goodput_ratio(run: Run) -> float:
    """Returns whole requests over what capacity allows, in the trigger."""
    start = CALM_SECONDS + SETTLE_SECONDS
    end = CALM_SECONDS + TRIGGER_SECONDS
    possible = min(capacity(slowed=True), offered_rate()) * (end - start)
    return len(ended_whole(run, start, end)) / possible


def deep_utilization(run: Run) -> float:
    """Returns runs of the deep service over its capacity, in the trigger."""
    start = CALM_SECONDS + SETTLE_SECONDS
    end = CALM_SECONDS + TRIGGER_SECONDS
    began = sum(start <= at < end for at in run.deep)
    return began / (capacity(slowed=True) * (end - start))


def recovery_ms(run: Run) -> float:
    """Returns how long after the trigger goodput is back for good."""
    began = CALM_SECONDS + TRIGGER_SECONDS
    normal = min(capacity(slowed=False), offered_rate()) * BIN_SECONDS
    bins = int(AFTER_SECONDS / BIN_SECONDS)
    good = []
    for number in range(bins):
        start = began + number * BIN_SECONDS
        sent = [
            o for o in run.outcomes
            if start <= o.started < start + BIN_SECONDS
        ]  # fmt: skip
        served = sum(o.whole for o in sent)
        good.append(served >= RECOVERED_SHARE * min(len(sent), normal))
    for number in range(bins - RECOVERED_BINS + 1):
        if all(good[number : number + RECOVERED_BINS]):
            return number * BIN_SECONDS * 1_000
    return AFTER_SECONDS * 1_000


def in_trigger(run: Run) -> list[load.Outcome]:
    """Returns the requests that were sent in the settled trigger."""
    start = CALM_SECONDS + SETTLE_SECONDS
    end = CALM_SECONDS + TRIGGER_SECONDS
    return [o for o in run.outcomes if start <= o.started < end]


def important_ratio(run: Run) -> float:
    """Returns the share of payments that finished, in the trigger."""
    pays = [o for o in in_trigger(run) if o.kind == "pay"]
    return sum(o.whole for o in pays) / len(pays)


def worst_workspace_ratio(run: Run) -> float:
    """Returns the worst share served over the fair one, of browsing."""
    browsing = [o for o in in_trigger(run) if o.kind == "browse"]
    served = {
        name: sum(o.whole for o in browsing if o.workspace == name)
        for name in WORKSPACES
    }
    fair = sum(served.values()) / len(WORKSPACES)
    return min(served.values()) / fair if fair else 0.0


def main() -> int:
    """Runs the bench and prints its line."""
    controlled = one_run(controlled=True)
    baseline = one_run(controlled=False)
    calm = [
        o for o in controlled.outcomes
        if o.started < CALM_SECONDS and o.started > SETTLE_SECONDS
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
                "refused_inside_rate_ratio": sum(not o.whole for o in calm)
                / len(calm),
                "attempts_per_call_max": max(controlled.runs.values())
                / CALLS_OF_CHAIN,
                "baseline_attempts_per_call_max": max(baseline.runs.values())
                / CALLS_OF_CHAIN,
                "offered_per_s": offered_rate(),
                "capacity_per_s": capacity(slowed=False),
                "capacity_slowed_per_s": capacity(slowed=True),
            },
        )
    )
    return 0
