"""What all nodes share: configuration, withdrawal, membership, and its cost."""

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


def open_units(running: fleet.Fleet, count: int) -> dict[str, str]:
    """Starts a store and nodes of one service, and configures them."""
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


class Watch:
    """Asks all nodes for their status over kept connections."""

    def __init__(
        self, session: aiohttp.ClientSession, units: list[fleet.Unit]
    ) -> None:
        self.session = session
        self.units = units

    async def status(self, unit: fleet.Unit) -> Status:
        async with self.session.get(f"http://{unit.admin}/status") as response:
            found: Status = await response.json()
            return found

    async def until(self, condition: Callable[[Status], bool]) -> list[float]:
        """Returns when each node first met a condition, in seconds."""

        async def one(unit: fleet.Unit) -> float:
            end = time.monotonic() + WAIT_SECONDS_MAX
            while not condition(await self.status(unit)):
                if time.monotonic() > end:
                    raise RuntimeError(f"{unit.instance}: it never came")
                await asyncio.sleep(POLL_SECONDS)
            return time.monotonic()

        return list(await asyncio.gather(*(one(u) for u in self.units)))


def run_watched(
    units: list[fleet.Unit], work: Callable[[Watch], Awaitable[Any]]
) -> Any:
    """Runs work with a watch."""

    async def run() -> Any:
        async with aiohttp.ClientSession() as session:
            return await work(Watch(session, units))

    return asyncio.run(run())


def worst(values: list[float], percent: float) -> float:
    """Returns a percentile of a short list, rounded up to a member."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def has_revision(revision: int) -> Callable[[Status], bool]:
    """Returns the condition that a node has a revision."""
    return lambda found: bool(found["revision"] >= revision)


async def edit(running: fleet.Fleet, number: int) -> int:
    """Makes one edit with the command line and returns its revision."""
    answer = await asyncio.to_thread(
        deployments.command,
        running.store, "workspace", "set", "mill-1",
        "--rate", str(1e5 + number),
    )  # fmt: skip
    return int(answer["revision"])


async def put_fault(running: fleet.Fleet, **faults: Any) -> None:
    """Sets the faults of the store."""
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"http://{running.store}/fault", json=faults) as answer,
    ):
        await answer.read()


def config_main() -> int:
    """Measures how long an accepted edit takes to be in force everywhere."""
    with fleet.open_fleet() as running:
        open_units(running, NODES)

        async def work(watch: Watch) -> tuple[list[float], int, float]:
            taken: list[float] = []
            reverted = 0
            before = await asyncio.gather(*map(watch.status, watch.units))
            began = time.monotonic()
            for number in range(EDITS):
                if number == EDITS // 2:
                    await put_fault(running, lose_answers=1)
                revision = await edit(running, number)
                accepted = time.monotonic()
                times = await watch.until(has_revision(revision))
                taken += [(at - accepted) * 1_000 for at in times]
                after = await asyncio.gather(*map(watch.status, watch.units))
                reverted += sum(f["revision"] < revision for f in after)
            seconds = time.monotonic() - began
            calls = sum(f["store_calls"] for f in after) - sum(
                f["store_calls"] for f in before
            )
            return taken, reverted, calls / seconds

        taken, reverted, calls = run_watched(running.units, work)
    print(
        measure.result(
            "config",
            {
                "in_force_p50_ms": max(0.0, worst(taken, 50)),
                "in_force_p99_ms": max(0.0, worst(taken, 99)),
                "reverted": reverted,
                "store_calls_per_s": calls,
                "nodes": NODES,
                "edits": EDITS,
            },
        )
    )
    return int(reverted > 0)


def withdraw_main() -> int:
    """Measures how long a withdrawn key still works, on connected callers."""
    with fleet.open_fleet() as running:
        open_units(running, NODES)

        async def one(number: int) -> float:
            given = await asyncio.to_thread(
                deployments.command, running.store, "key", "give", "shop-1"
            )
            await asyncio.sleep(2.0)
            loader = load.Load([u.callers for u in running.units], seed=number)
            kind = load.Kind("call", "GET", "/grades/a", CALLER_RATE)
            caller = load.Caller("shop-1", given["key"], [kind])
            sending = asyncio.create_task(loader.run([caller], seconds=6.0))
            await asyncio.sleep(1.0)
            await asyncio.to_thread(
                deployments.command,
                running.store, "key", "withdraw", given["key_id"],
            )  # fmt: skip
            accepted = time.monotonic() - loader.started
            if number % 2:
                await put_fault(running, down=True)
                await asyncio.sleep(2.0)
                await put_fault(running)
            await sending
            last = max(o.started for o in loader.outcomes if o.whole)
            refused = [o for o in loader.outcomes if o.code == "key_unknown"]
            assert refused, "the key never stopped"
            return max(0.0, (last - accepted) * 1_000)

        async def work() -> list[float]:
            return [await one(number) for number in range(WITHDRAWALS)]

        taken = asyncio.run(work())
    print(
        measure.result(
            "withdraw",
            {
                "withdraw_p50_ms": worst(taken, 50),
                "withdraw_p99_ms": worst(taken, 99),
                "withdrawals": WITHDRAWALS,
                "with_store_outage": WITHDRAWALS // 2,
                "nodes": NODES,
            },
        )
    )
    return 0


def status_of(found: Status, instance: str) -> str:
    """Returns what a node believes of an instance."""
    for member in found["members"]:
        if member["instance"] == instance:
            return str(member["status"])
    return "unknown"


async def idle_cost(running: fleet.Fleet, watch: Watch) -> dict[str, float]:
    """Measures what control costs a node that serves nothing."""
    pids = [running.processes[f"node-{u.instance}"].pid for u in running.units]
    before = await asyncio.gather(*map(watch.status, watch.units))
    cpu_before = [measure.processor_seconds(pid) for pid in pids]
    await asyncio.sleep(IDLE_SECONDS)
    cpu = [
        measure.processor_seconds(pid) - spent
        for pid, spent in zip(pids, cpu_before, strict=True)
    ]
    after = await asyncio.gather(*map(watch.status, watch.units))
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


async def changes(running: fleet.Fleet, watch: Watch) -> dict[str, float]:
    """Measures a leave, a death and a join, as all others see them."""
    leaving, dying = running.units[-1], running.units[-2]
    others = Watch(watch.session, running.units[:-2])
    began = time.monotonic()
    running.signal(f"node-{leaving.instance}", signal.SIGTERM)
    left = await others.until(
        lambda found: status_of(found, leaving.instance) == "leaving"
    )
    leave_ms = (max(left) - began) * 1_000
    running.processes[f"node-{dying.instance}"].kill()
    began = time.monotonic()
    dead = await others.until(
        lambda found: status_of(found, dying.instance) == "dead"
    )
    dead_ms = (max(dead) - began) * 1_000
    running.processes[f"node-{dying.instance}"].wait()
    running.start_node(dying, fleet_instances=len(running.units))
    await running.wait_up(watch.session, dying)
    began = time.monotonic()
    joined = await others.until(
        lambda found: status_of(found, dying.instance) == "alive"
    )
    return {
        "leave_ms": leave_ms,
        "dead_ms": dead_ms,
        "join_ms": max(0.0, max(joined) - began) * 1_000,
    }


def membership_main() -> int:
    """Measures membership and the cost of control at several sizes."""
    figures: dict[str, float | int | str] = {}
    for size in SIZES:
        with fleet.open_fleet() as running:
            open_units(running, size)

            async def work(
                watch: Watch, running: fleet.Fleet = running
            ) -> dict[str, float]:
                cost = await idle_cost(running, watch)
                return cost | await changes(running, watch)

            found = run_watched(running.units, work)
        for name, value in found.items():
            figures[f"{name}_{size}"] = value
    figures["sizes"] = str(SIZES)
    print(measure.result("membership", figures))
    return 0
