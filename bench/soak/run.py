"""One seeded run: overlapping series of faults under load, then the checks."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from bench.soak import promises, wire, world
from bench.standins import http_target, key_value

NODES = 6
PER_SECOND = 60.0
START_SECONDS = 3.0
RECOVERY_SECONDS = 7.0
PLANNED_SECONDS_MIN = 20.0
"""Duration from which a run has evacuations and targets that state a limit or a
leave: they last longer than faults."""
WORK_SECONDS = 0.02
STUTTER_WORK_SECONDS = 0.25
STUTTER_SECONDS = 0.6
FULL_WORK_SECONDS = 1.2
"""Work time of a target whose slots fill up at the load of a run."""
FATAL_REPEATS = 10
PIPELINED_CONNECTIONS = 8
REGRESSIONS = pathlib.Path(__file__).parent / "regressions.txt"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one run.

    Attributes:
      seed: Seed of the run.
      sent: Number of requests sent.
      served: Share of the requests that were answered with a 2xx status.
      served_after: The same share, for requests sent after the last fault.
      broken: One line for each broken promise.
      faults: Names of the injected faults in their order.
    """

    seed: int
    sent: int
    served: float
    served_after: float
    broken: list[str]
    faults: list[str]


AnyWorld = TypeVar("AnyWorld")
Fault = Callable[[world.World, random.Random], Awaitable[None]]


async def hold(rng: random.Random) -> None:
    """Waits for the random duration of a fault."""
    await asyncio.sleep(rng.uniform(0.5, 3.0))


async def kill(fleet: world.World, rng: random.Random) -> None:
    """Kills one, two or all nodes at once and restarts them."""
    count = rng.choice((1, 1, 2, len(fleet.places)))
    instances = rng.sample(fleet.places, count)
    await asyncio.gather(
        *(fleet.restart(instance, signal.SIGKILL) for instance in instances)
    )


async def stop_gracefully(fleet: world.World, rng: random.Random) -> None:
    """Stops a node with SIGTERM, as the platform does, and restarts it."""
    await fleet.restart(rng.choice(fleet.places), signal.SIGTERM)


async def pause(fleet: world.World, rng: random.Random) -> None:
    """Suspends a node's process for the duration of the fault."""
    instance = rng.choice(fleet.places)
    fleet.send_signal(instance, signal.SIGSTOP)
    await hold(rng)
    fleet.send_signal(instance, signal.SIGCONT)


async def reread(fleet: world.World, rng: random.Random) -> None:
    """Has three nodes reload their settings."""
    for instance in rng.sample(fleet.places, 3):
        fleet.send_signal(instance, signal.SIGHUP)


async def spoil_wire(fleet: world.World, rng: random.Random) -> None:
    """Delays or drops the data of the streams to a node."""
    instance = rng.choice(fleet.places)
    instance.wire.mode = rng.choice(list(wire.Mode))
    await hold(rng)
    instance.wire.mode = wire.Mode.PASS
    fleet.record.delayed[instance.name] = time.monotonic()


async def reset_wire(fleet: world.World, rng: random.Random) -> None:
    """Resets the streams to a node."""
    instance = rng.choice(fleet.places)
    instance.wire.reset()
    fleet.record.delayed[instance.name] = time.monotonic()


async def spoil_store(fleet: world.World, rng: random.Random) -> None:
    """Injects a random fault into the store."""
    fleet.store.fault = rng.choice(list(key_value.Fault))
    await hold(rng)
    fleet.store.fault = key_value.Fault.NONE


async def spoil_target(fleet: world.World, rng: random.Random) -> None:
    """Makes a target fail, shed or delay part of its requests."""
    target = rng.choice(fleet.places).target
    original = target.script
    kind = rng.choice(("cut", "shed", "twice", "silent", "slow"))

    def script(seen: http_target.Seen) -> bytes | None:
        if rng.random() < 0.6:
            return original(seen)
        complete = original(seen) or b""
        answers = {
            "cut": complete[:-9],
            "twice": complete * 2,
            "silent": None,
        }
        return answers.get(kind, complete)

    target.shed_ratio = 0.5 if kind == "shed" else 0.0
    target.work_seconds = 0.4 if kind == "slow" else 0.02
    target.script = script
    await hold(rng)
    target.script, target.shed_ratio, target.work_seconds = original, 0.0, 0.02


async def replace(fleet: world.World, rng: random.Random) -> None:
    """Drains a target and starts a successor."""
    instance = rng.choice(fleet.places)
    if instance.phase == "ready":
        await fleet.replace_target(instance)


async def change(fleet: world.World, rng: random.Random) -> None:
    """Changes the configuration; withdraws a key with probability 0.5."""
    if rng.random() < 0.5:
        fleet.withdraw()
    else:
        fleet.configure()


async def evacuate(fleet: world.World, rng: random.Random) -> None:
    """Evacuates a failure domain for longer than its bound."""
    domain = world.domain_of(rng.randrange(world.DOMAINS))
    evacuation = fleet.evacuate(domain)
    await asyncio.sleep(promises.EVACUATION_SECONDS + rng.uniform(1.0, 4.0))
    fleet.restore(evacuation)


async def limit(fleet: world.World, rng: random.Random) -> None:
    """Has a target state a rate limit for longer than the checked window."""
    instance = rng.choice(fleet.places)
    stated = fleet.limit(instance, rng.uniform(0.5, 3.0))
    await asyncio.sleep(
        promises.ADAPT_SECONDS
        + promises.LIMIT_WINDOW_SECONDS
        + rng.uniform(0.5, 3.0)
    )
    fleet.lift(instance, stated)


async def state_leave(fleet: world.World, rng: random.Random) -> None:
    """Has a target state in answers that it leaves, before it reports it."""
    instance = rng.choice(fleet.places)
    if instance.phase == "ready":
        instance.target.leaving = True
        await hold(rng)
        await fleet.replace_target(instance)


async def press(fleet: world.World, rng: random.Random) -> None:
    """Has the workspace with a rate limit send several times its rate."""
    await fleet.load(
        world.RATE.per_second * rng.uniform(2.0, 6.0),
        rng.uniform(3.0, 8.0),
        call=fleet.call_with_rate,
    )


async def stutter(fleet: world.World, rng: random.Random) -> None:
    """Makes the targets of a failure domain slow for short times."""
    domain = rng.randrange(world.DOMAINS)
    targets = [place.target for place in fleet.places[domain :: world.DOMAINS]]
    for _ in range(rng.randint(2, 5)):
        for seconds in (STUTTER_WORK_SECONDS, WORK_SECONDS):
            for target in targets:
                target.work_seconds = seconds
            await asyncio.sleep(STUTTER_SECONDS)


async def kill_full(fleet: world.World, rng: random.Random) -> None:
    """Kills a node while requests wait for its target."""
    instance = rng.choice(fleet.places)
    target = instance.target
    target.work_seconds = FULL_WORK_SECONDS
    await hold(rng)
    await fleet.restart(instance, signal.SIGKILL)
    target.work_seconds = WORK_SECONDS


async def repeat_fatal(fleet: world.World, rng: random.Random) -> None:
    """Repeats a request that ends the target that runs it."""
    path = f"{world.FATAL_PATH}{rng.randrange(10**9)}"
    for _ in range(FATAL_REPEATS):
        await fleet.call_fatal(path)
        await asyncio.sleep(rng.uniform(0.2, 0.8))


async def pipeline(fleet: world.World, rng: random.Random) -> None:
    """Sends requests one behind the other on several connections."""
    await asyncio.gather(
        *(fleet.call_pipelined(rng) for _ in range(PIPELINED_CONNECTIONS))
    )


HEAVY_FAULTS: tuple[Fault, ...] = (press, press, stutter, kill_full)
FAULTS: tuple[Fault, ...] = (
    kill, stop_gracefully, pause, reread, spoil_wire, spoil_wire, reset_wire,
    spoil_store, spoil_target, replace, change,
)  # fmt: skip


async def series(
    fleet: AnyWorld,
    faults: Sequence[Callable[[AnyWorld, random.Random], Awaitable[None]]],
    rng: random.Random,
    seconds: float,
    injected: list[str],
) -> None:
    """Injects random faults one after another.

    Several series run concurrently, so faults overlap.

    Args:
      fleet: World that the faults act on.
      faults: Faults to choose from.
      rng: Chooses the faults and their pauses.
      seconds: Time after which no further fault begins.
      injected: Receives the name of each fault.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        fault = rng.choice(faults)
        injected.append(fault.__name__)
        await fault(fleet, rng)
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def play(
    seed: int, seconds: float, folder: pathlib.Path, *, heavy: bool
) -> Result:
    """Runs load and faults with one seed, then checks the promises."""
    rng = random.Random(seed)
    fleet = world.World(folder, random.Random(seed + 1), heavy=heavy)
    injected: list[str] = []
    try:
        await fleet.start(NODES)
        await asyncio.sleep(START_SECONDS)
        load = asyncio.create_task(fleet.load(PER_SECOND, seconds))
        planned = random.Random(seed + 2)
        fleet.run_in_background(
            series(
                fleet,
                (repeat_fatal,),
                random.Random(seed + 6),
                seconds - 1,
                injected,
            )
        )
        fleet.run_in_background(
            series(
                fleet,
                (pipeline,),
                random.Random(seed + 7),
                seconds - 1,
                [],
            )
        )
        if heavy:
            fleet.run_in_background(
                series(
                    fleet,
                    HEAVY_FAULTS,
                    random.Random(seed + 5),
                    seconds - 1,
                    injected,
                )
            )
        if seconds >= PLANNED_SECONDS_MIN:
            fleet.run_in_background(
                series(fleet, (evacuate,), planned, seconds - 1, injected)
            )
            for number, fault in enumerate((limit, state_leave), start=3):
                stating = random.Random(seed + number)
                fleet.run_in_background(
                    series(fleet, (fault,), stating, seconds - 1, injected)
                )
        await asyncio.gather(
            *(
                series(
                    fleet,
                    FAULTS,
                    random.Random(rng.random()),
                    seconds - 1,
                    injected,
                )
                for _ in range(2)
            )
        )
        await load
        await asyncio.sleep(RECOVERY_SECONDS)
        after = await fleet.load(PER_SECOND, 2.0)
        # Without other faults, no node has an excuse for not knowing of an end.
        await repeat_fatal(fleet, rng)
    finally:
        await fleet.stop()
    valid = [sent for sent in after if sent.key in fleet.keys]
    all_sent = list(fleet.record.sent.values())
    return Result(
        seed,
        len(all_sent),
        share_served(all_sent),
        share_served(valid),
        list(promises.broken(fleet.record)),
        injected,
    )


def regression_seeds() -> list[int]:
    """Returns the seeds that have failed in earlier runs."""
    lines = REGRESSIONS.read_text().splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line and not line.startswith("#")
    ]


def share_served(sent: list[promises.Sent]) -> float:
    """Returns the share of requests that were answered with a 2xx status."""
    return sum(200 <= item.status < 300 for item in sent) / max(1, len(sent))


def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path | None = None,
    *,
    heavy: bool = False,
) -> Result:
    """Runs one seed in a new event loop.

    Args:
      seed: Seed of the run.
      seconds: Duration of the load with faults.
      folder: Keeps settings and logs; a temporary folder if None.
      heavy: Whether the nodes use what is meant for heavy load.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(seed, seconds, folder, heavy=heavy))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(play(seed, seconds, pathlib.Path(name), heavy=heavy))
