"""Measures fleet-wide state: configuration, key withdrawal, membership."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from bench import deployments, fleet, load, measure
from bench.standins import target as target_standin

POLL_SECONDS = 0.02
WAIT_SECONDS_MAX = 30.0
EDITS = 8
NODES = 9
WITHDRAWALS = 5
CALLER_RATE = 60.0
SIZES = (8, 24, 48)
IDLE_SECONDS = 8.0
Status = dict[str, Any]


def start_fleet(running: fleet.Fleet, count: int) -> dict[str, str]:
    """Starts and configures a store and the nodes of one service.

    Returns:
      A key for each workspace.
    """
    running.start_store()
    running.plan(
        {
            "grades": [
                target_standin.Behaviour("grades", slots=100, work_ms=1)
                for _ in range(count)
            ]
        }
    )
    running.start_units(fleet_instances=count)
    keys = deployments.configure(running.store, rate=1e5, burst=1e4)
    asyncio.run(running.wait_ready())
    return keys


class StatusPoller:
    """Polls the status of nodes over persistent connections."""

    def __init__(
        self, session: aiohttp.ClientSession, units: list[fleet.Unit]
    ) -> None:
        self.session = session
        self.units = units

    async def status(self, unit: fleet.Unit) -> Status:
        async with self.session.get(f"http://{unit.admin}/status") as response:
            found: Status = await response.json()
            return found

    async def wait_until(
        self, condition: Callable[[Status], bool]
    ) -> list[float]:
        """Waits until every node meets a condition.

        Returns:
          Monotonic time at which each node first met it, in seconds.

        Raises:
          RuntimeError: A node does not meet it in `WAIT_SECONDS_MAX`.
        """

        async def wait_for(unit: fleet.Unit) -> float:
            end = time.monotonic() + WAIT_SECONDS_MAX
            while not condition(await self.status(unit)):
                if time.monotonic() > end:
                    raise RuntimeError(
                        f"{unit.instance}: condition not met in time"
                    )
                await asyncio.sleep(POLL_SECONDS)
            return time.monotonic()

        return list(await asyncio.gather(*(wait_for(u) for u in self.units)))


def run_with_poller(
    units: list[fleet.Unit], work: Callable[[StatusPoller], Awaitable[Any]]
) -> Any:
    """Runs work with a status poller of the given nodes."""

    async def run() -> Any:
        async with aiohttp.ClientSession() as session:
            return await work(StatusPoller(session, units))

    return asyncio.run(run())


def percentile_of(values: list[float], percent: float) -> float:
    """Returns a percentile of a short list, rounded up to one of its values."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def has_revision(revision: int) -> Callable[[Status], bool]:
    """Returns the condition that a node has a revision or a later one."""
    return lambda found: bool(found["revision"] >= revision)


async def edit_workspace(running: fleet.Fleet, number: int) -> int:
    """Changes a workspace by the command line and returns the revision."""
    answer = await asyncio.to_thread(
        deployments.command,
        running.store, "workspace", "set", "mill-1",
        "--rate", str(1e5 + number),
    )  # fmt: skip
    return int(answer["revision"])


async def set_store_faults(running: fleet.Fleet, **faults: Any) -> None:
    """Sets the faults that the store stand-in injects."""
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"http://{running.store}/fault", json=faults) as answer,
    ):
        await answer.read()


def config_main() -> int:
    """Measures the time from an accepted edit until all nodes apply it."""
    with fleet.open_fleet() as running:
        start_fleet(running, NODES)

        async def work(poller: StatusPoller) -> tuple[list[float], int, float]:
            delays_ms: list[float] = []
            reverted = 0
            before = await asyncio.gather(*map(poller.status, poller.units))
            began = time.monotonic()
            for number in range(EDITS):
                if number == EDITS // 2:
                    await set_store_faults(running, lose_answers=1)
                revision = await edit_workspace(running, number)
                accepted = time.monotonic()
                applied_at = await poller.wait_until(has_revision(revision))
                delays_ms += [(at - accepted) * 1_000 for at in applied_at]
                after = await asyncio.gather(*map(poller.status, poller.units))
                reverted += sum(f["revision"] < revision for f in after)
            seconds = time.monotonic() - began
            calls = sum(f["store_calls"] for f in after) - sum(
                f["store_calls"] for f in before
            )
            return delays_ms, reverted, calls / seconds

        delays_ms, reverted, calls = run_with_poller(running.units, work)
    print(
        measure.result(
            "config",
            {
                "in_force_p50_ms": max(0.0, percentile_of(delays_ms, 50)),
                "in_force_p99_ms": max(0.0, percentile_of(delays_ms, 99)),
                "reverted": reverted,
                "store_calls_per_s": calls,
                "nodes": NODES,
                "edits": EDITS,
            },
        )
    )
    return int(reverted > 0)


def withdraw_main() -> int:
    """Measures how long connected callers can still use a withdrawn key."""
    with fleet.open_fleet() as running:
        start_fleet(running, NODES)

        async def withdraw_key(number: int) -> float:
            created = await asyncio.to_thread(
                deployments.command, running.store, "key", "give", "shop-1"
            )
            await asyncio.sleep(2.0)
            loader = load.Load([u.callers for u in running.units], seed=number)
            kind = load.Kind("call", "GET", "/grades/a", CALLER_RATE)
            caller = load.Caller("shop-1", created["key"], [kind])
            sending = asyncio.create_task(loader.run([caller], seconds=6.0))
            await asyncio.sleep(1.0)
            await asyncio.to_thread(
                deployments.command,
                running.store, "key", "withdraw", created["key_id"],
            )  # fmt: skip
            accepted = time.monotonic() - loader.started
            if number % 2:
                await set_store_faults(running, down=True)
                await asyncio.sleep(2.0)
                await set_store_faults(running)
            await sending
            last = max(o.started for o in loader.outcomes if o.whole)
            refused = [o for o in loader.outcomes if o.code == "key_unknown"]
            assert refused, "the withdrawn key never stopped working"
            return max(0.0, (last - accepted) * 1_000)

        async def work() -> list[float]:
            return [await withdraw_key(number) for number in range(WITHDRAWALS)]

        delays_ms = asyncio.run(work())
    print(
        measure.result(
            "withdraw",
            {
                "withdraw_p50_ms": percentile_of(delays_ms, 50),
                "withdraw_p99_ms": percentile_of(delays_ms, 99),
                "withdrawals": WITHDRAWALS,
                "with_store_outage": WITHDRAWALS // 2,
                "nodes": NODES,
            },
        )
    )
    return 0


def status_of(found: Status, instance: str) -> str:
    """Returns the status of an instance in the member list of a node."""
    for member in found["members"]:
        if member["instance"] == instance:
            return str(member["status"])
    return "unknown"


async def measure_idle_cost(
    running: fleet.Fleet, poller: StatusPoller
) -> dict[str, float]:
    """Measures processor time, memory and traffic of nodes without load."""
    pids = [running.processes[f"node-{u.instance}"].pid for u in running.units]
    before = await asyncio.gather(*map(poller.status, poller.units))
    cpu_before = [measure.processor_seconds(pid) for pid in pids]
    await asyncio.sleep(IDLE_SECONDS)
    cpu = [
        measure.processor_seconds(pid) - spent
        for pid, spent in zip(pids, cpu_before, strict=True)
    ]
    after = await asyncio.gather(*map(poller.status, poller.units))
    count = len(pids)

    def rate(name: str) -> float:
        gained = sum(
            a[name] - b[name] for a, b in zip(after, before, strict=True)
        )
        return float(gained) / IDLE_SECONDS

    return {
        "cpu_percent": 100 * sum(cpu) / IDLE_SECONDS / count,
        "rss_mb": sum(map(measure.resident_mb, pids)) / count,
        "bytes_per_s": rate("gossip_bytes") / count,
        "store_calls_per_s": rate("store_calls"),
    }


async def changes(
    running: fleet.Fleet, poller: StatusPoller
) -> dict[str, float]:
    """Measures when all other nodes see a leave, a failure and a join."""
    leaving, failing = running.units[-1], running.units[-2]
    others = StatusPoller(poller.session, running.units[:-2])
    began = time.monotonic()
    running.signal(f"node-{leaving.instance}", signal.SIGTERM)
    left = await others.wait_until(
        lambda found: status_of(found, leaving.instance) == "leaving"
    )
    leave_ms = (max(left) - began) * 1_000
    running.processes[f"node-{failing.instance}"].kill()
    began = time.monotonic()
    dead = await others.wait_until(
        lambda found: status_of(found, failing.instance) == "dead"
    )
    dead_ms = (max(dead) - began) * 1_000
    running.processes[f"node-{failing.instance}"].wait()
    running.start_node(failing, fleet_instances=len(running.units))
    await running.wait_up(poller.session, failing)
    began = time.monotonic()
    joined = await others.wait_until(
        lambda found: status_of(found, failing.instance) == "alive"
    )
    return {
        "leave_ms": leave_ms,
        "dead_ms": dead_ms,
        "join_ms": max(0.0, max(joined) - began) * 1_000,
    }


def membership_main() -> int:
    """Measures membership changes and idle cost at several fleet sizes."""
    figures: dict[str, float | int | str] = {}
    for size in SIZES:
        with fleet.open_fleet() as running:
            start_fleet(running, size)

            async def work(
                poller: StatusPoller, running: fleet.Fleet = running
            ) -> dict[str, float]:
                cost = await measure_idle_cost(running, poller)
                return cost | await changes(running, poller)

            found = run_with_poller(running.units, work)
        for name, value in found.items():
            figures[f"{name}_{size}"] = value
    figures["sizes"] = str(SIZES)
    print(measure.result("membership", figures))
    return 0
