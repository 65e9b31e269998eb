"""The soak on the own interface: nodes, keys and once-only payments."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from bench import checkers, deployments, fleet, load
from bench.soak import processes, run
from bench.standins import target as target_standin

CALM_SECONDS = 7.0
AFTER_SECONDS = 2.0
ONCE = load.Kind(
    "once", "POST", "/payments/fees", 15.0, 100,
    patience_ms=3_000.0, attempts=4, operation=True,
)  # fmt: skip
CHARGE = load.Kind("charge", "POST", "/payments/x", 10.0, 100)
BROWSE = load.Kind("browse", "GET", "/permits/status", 25.0, attempts=2)
TARGETS = {"payments": 2, "permits": 2, "grades": 1}


class World:
    """Nodes, targets and the store as processes, and what was seen.

    Attributes:
      running: The processes.
      restarts: Restarts under way, by process.
      ended: Nodes that ended of their own.
    """

    def __init__(self, running: fleet.Fleet, rng: random.Random) -> None:
        self.running = running
        self.rng = rng
        self.restarts: dict[str, int] = {}
        self.ended: list[str] = []
        self.outcomes: list[load.Outcome] = []
        self.key = ""

    def start(self) -> None:
        """Starts everything, and configures it as operators do."""
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
        """Returns a node by chance."""
        return self.rng.choice(self.running.units)

    async def restart(self, unit: fleet.Unit, number: signal.Signals) -> None:
        """Ends a node and starts it again."""
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
        """Notes nodes that end of their own, and starts them again."""
        while True:
            await asyncio.sleep(processes.POLL_SECONDS)
            for unit in self.running.units:
                name = f"node-{unit.instance}"
                status = self.running.processes[name].poll()
                if status is not None and not self.restarts.get(name):
                    self.ended.append(f"{unit.instance}: {status}")
                    await self.restart(unit, signal.SIGKILL)

    async def send(self, seconds: float, *, seed: int) -> list[load.Outcome]:
        """Sends all kinds for a time; returns what became of them."""
        sender = load.Load(
            [unit.callers for unit in self.running.units], seed=seed
        )
        sender.sent = len(self.outcomes)
        caller = load.Caller("mill-1", self.key, [ONCE, CHARGE, BROWSE])
        await sender.run([caller], seconds=seconds)
        self.outcomes += sender.outcomes
        return sender.outcomes

    async def ran(self) -> list[checkers.Ran]:
        """Returns what ran at the targets of payments."""
        return [
            checkers.Ran(entry["id"], "payments", operation=entry["operation"])
            for unit in self.running.units
            if unit.behaviour.service == "payments"
            for entry in await self.running.history(unit)
        ]


Fault = Callable[[World, random.Random], Awaitable[None]]


async def kill(world: World, rng: random.Random) -> None:
    """Kills a node, or two at once."""
    units = rng.sample(world.running.units, rng.choice((1, 1, 2)))
    await asyncio.gather(*(world.restart(u, signal.SIGKILL) for u in units))


async def stop_gracefully(world: World, rng: random.Random) -> None:
    """Stops a node as the platform does."""
    await world.restart(rng.choice(world.running.units), signal.SIGTERM)


async def pause(world: World, rng: random.Random) -> None:
    """Freezes a node for a while."""
    name = f"node-{world.unit().instance}"
    process = world.running.processes[name]
    if process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        await run.hold(rng)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)


async def spoil_store(world: World, rng: random.Random) -> None:
    """Has the store misbehave."""
    faults: dict[str, object] = rng.choice(
        [{"down": True}, {"lose_answers": 20}, {"lose_writes": 20}]
    )
    await world.running.ask_store("PUT", "/fault", faults)
    await run.hold(rng)
    await world.running.ask_store("PUT", "/fault", {})


async def spoil_target(world: World, rng: random.Random) -> None:
    """Has a target fail part of its calls, or work slowly."""
    unit = world.unit()
    change = rng.choice([{"fail_ratio": 0.4}, {"slow": 20.0}])
    await world.running.control(unit, **change)
    await run.hold(rng)
    await world.running.control(unit, fail_ratio=0.0, slow=1.0)


FAULTS: tuple[Fault, ...] = (
    kill, stop_gracefully, pause, spoil_store, spoil_target,
)  # fmt: skip


def broken(outcomes: list[load.Outcome], ran: list[checkers.Ran]) -> list[str]:
    """Returns a line for each promise that was broken."""
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
    """Plays one run on processes that have been started."""
    rng = random.Random(seed)
    world = World(running, random.Random(seed + 1))
    await asyncio.to_thread(world.start)
    await running.wait_ready()
    told: list[str] = []
    watching = asyncio.create_task(world.supervise())
    await asyncio.gather(
        world.send(seconds, seed=seed),
        *(
            run.series(
                world,
                FAULTS,
                random.Random(rng.random()),
                seconds - 1,
                told,
            )
            for _ in range(2)
        ),
    )
    await asyncio.sleep(CALM_SECONDS)
    after = await world.send(AFTER_SECONDS, seed=seed + 2)
    watching.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watching
    lines = [f"ENDED: {ended}" for ended in world.ended]
    lines += broken(world.outcomes, await world.ran())
    return run.Result(
        seed,
        len(world.outcomes),
        share_whole(world.outcomes),
        share_whole(after),
        lines,
        told,
    )


def share_whole(outcomes: list[load.Outcome]) -> float:
    """Returns the part of the requests that got their whole answer."""
    return sum(item.whole for item in outcomes) / max(1, len(outcomes))


def run_own(seed: int, seconds: float) -> run.Result:
    """Plays one run in a loop of its own."""
    with fleet.open_fleet() as running:
        return asyncio.run(play(running, seed, seconds))
