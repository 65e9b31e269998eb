"""Soak of the product's own interface: nodes, keys, once-only payments."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from bench import checkers, deployments, fleet, load
from bench.soak import processes, run
from bench.standins import target as target_standin

RECOVERY_SECONDS = 7.0
AFTER_SECONDS = 2.0
ONCE = load.Kind(
    "once", "POST", "/payments/fees", 15.0, 100,
    patience_ms=3_000.0, attempts=4, operation=True,
)  # fmt: skip
CHARGE = load.Kind("charge", "POST", "/payments/x", 10.0, 100)
BROWSE = load.Kind("browse", "GET", "/permits/status", 25.0, attempts=2)
TARGETS = {"payments": 2, "permits": 2, "grades": 1}


class World:
    """Nodes, targets and the store as processes, with the observed outcomes.

    Attributes:
      running: Processes of the fleet.
      rng: Chooses nodes.
      restarts: Number of restarts in progress, by process name.
      ended: Instance and exit status of each node that exited unexpectedly.
      outcomes: Outcome of each request that was sent.
      key: API key of the workspace that sends the requests.
    """

    def __init__(self, running: fleet.Fleet, rng: random.Random) -> None:
        self.running = running
        self.rng = rng
        self.restarts: dict[str, int] = {}
        self.ended: list[str] = []
        self.outcomes: list[load.Outcome] = []
        self.key = ""

    def start(self) -> None:
        """Starts all processes and applies the configuration."""
        running = self.running
        running.start_store()
        running.plan(
            {
                name: [
                    target_standin.Behaviour(service=name, work_ms=10)
                    for _ in range(count)
                ]
                for name, count in TARGETS.items()
            }
        )
        running.start_units(fleet_instances=len(running.units))
        keys = deployments.configure(running.store, rate=1e5, burst=1e4)
        self.key = keys["mill-1"]

    def unit(self) -> fleet.Unit:
        """Returns a random node with its target."""
        return self.rng.choice(self.running.units)

    async def restart(self, unit: fleet.Unit, number: signal.Signals) -> None:
        """Ends a node's process with a signal and restarts it."""
        running = self.running
        name = f"node-{unit.instance}"
        self.restarts[name] = self.restarts.get(name, 0) + 1
        await processes.replace(
            lambda: running.processes[name],
            lambda: running.start_node(
                unit, fleet_instances=len(running.units)
            ),
            number,
        )
        self.restarts[name] -= 1

    async def supervise(self) -> None:
        """Records and restarts nodes that exit unexpectedly."""
        while True:
            await asyncio.sleep(processes.POLL_SECONDS)
            for unit in self.running.units:
                name = f"node-{unit.instance}"
                status = self.running.processes[name].poll()
                if status is not None and not self.restarts.get(name):
                    self.ended.append(f"{unit.instance}: {status}")
                    await self.restart(unit, signal.SIGKILL)

    async def send(self, seconds: float, *, seed: int) -> list[load.Outcome]:
        """Sends requests of all kinds and returns their outcomes."""
        sender = load.Load(
            [unit.callers for unit in self.running.units], seed=seed
        )
        sender.sent = len(self.outcomes)
        caller = load.Caller("mill-1", self.key, [ONCE, CHARGE, BROWSE])
        await sender.run([caller], seconds=seconds)
        self.outcomes += sender.outcomes
        return sender.outcomes

    async def ran(self) -> list[checkers.Ran]:
        """Returns the runs at the targets of the payments service."""
        return [
            checkers.Ran(entry["id"], "payments", operation=entry["operation"])
            for unit in self.running.units
            if unit.behaviour.service == "payments"
            for entry in await self.running.history(unit)
        ]


Fault = Callable[[World, random.Random], Awaitable[None]]


async def kill(world: World, rng: random.Random) -> None:
    """Kills one node, or two at once."""
    units = rng.sample(world.running.units, rng.choice((1, 1, 2)))
    await asyncio.gather(*(world.restart(u, signal.SIGKILL) for u in units))


async def stop_gracefully(world: World, rng: random.Random) -> None:
    """Stops a node with SIGTERM, as the platform does."""
    await world.restart(rng.choice(world.running.units), signal.SIGTERM)


async def pause(world: World, rng: random.Random) -> None:
    """Suspends a node's process for the duration of the fault."""
    name = f"node-{world.unit().instance}"
    process = world.running.processes[name]
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        await run.hold(rng)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)


async def spoil_store(world: World, rng: random.Random) -> None:
    """Takes the store down, or has it lose answers or writes."""
    faults: dict[str, object] = rng.choice(
        [{"down": True}, {"lose_answers": 20}, {"lose_writes": 20}]
    )
    await world.running.ask_store("PUT", "/fault", faults)
    await run.hold(rng)
    await world.running.ask_store("PUT", "/fault", {})


async def spoil_target(world: World, rng: random.Random) -> None:
    """Makes a target fail a share of its calls, or work slowly."""
    unit = world.unit()
    change = rng.choice([{"fail_ratio": 0.4}, {"slow": 20.0}])
    await world.running.control(unit, **change)
    await run.hold(rng)
    await world.running.control(unit, fail_ratio=0.0, slow=1.0)


FAULTS: tuple[Fault, ...] = (
    kill, stop_gracefully, pause, spoil_store, spoil_target,
)  # fmt: skip


def broken(outcomes: list[load.Outcome], ran: list[checkers.Ran]) -> list[str]:
    """Returns one line for each broken promise."""
    kinds = {outcome.request_id: outcome.kind for outcome in outcomes}
    once = [r for r in ran if kinds.get(r.request_id) == ONCE.name]
    charged = [r for r in ran if kinds.get(r.request_id) == CHARGE.name]
    lines = checkers.operations_ran_once(once)
    lines += checkers.runs_are_bounded(charged, most=1)
    lines += checkers.not_run_is_true(
        [
            checkers.Asked(
                outcome.request_id,
                "payments",
                outcome.status,
                outcome.request_id,
                not_run=outcome.attempts == outcome.not_run_attempts,
            )
            for outcome in outcomes
            if outcome.kind != BROWSE.name and outcome.attempts
        ],
        ran,
    )
    lines += [
        f"{outcome.request_id} got another request's answer"
        for outcome in outcomes
        if outcome.code == "crossed_answer"
    ]
    return lines


async def play(running: fleet.Fleet, seed: int, seconds: float) -> run.Result:
    """Runs load and faults with one seed, then checks the promises."""
    rng = random.Random(seed)
    world = World(running, random.Random(seed + 1))
    await asyncio.to_thread(world.start)
    await running.wait_ready()
    injected: list[str] = []
    watching = asyncio.create_task(world.supervise())
    await asyncio.gather(
        world.send(seconds, seed=seed),
        *(
            run.series(
                world,
                FAULTS,
                random.Random(rng.random()),
                seconds - 1,
                injected,
            )
            for _ in range(2)
        ),
    )
    await asyncio.sleep(RECOVERY_SECONDS)
    after = await world.send(AFTER_SECONDS, seed=seed + 2)
    watching.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watching
    lines = [f"ENDED: {ended}" for ended in world.ended]
    lines += broken(world.outcomes, await world.ran())
    return run.Result(
        seed,
        len(world.outcomes),
        share_complete(world.outcomes),
        share_complete(after),
        lines,
        injected,
    )


def share_complete(outcomes: list[load.Outcome]) -> float:
    """Returns the share of requests that got their complete answer."""
    return sum(item.whole for item in outcomes) / max(1, len(outcomes))


def run_own(seed: int, seconds: float) -> run.Result:
    """Runs one seed on a new fleet and event loop."""
    with fleet.open_fleet() as running:
        return asyncio.run(play(running, seed, seconds))
