"""One seeded run: faults in overlapping series, load, then the promises."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from bench.soak import promises, wire, world
from bench.standins import http_target, key_value

NODES = 6
PER_SECOND = 60.0
START_SECONDS = 3.0
CALM_SECONDS = 7.0
REGRESSIONS = pathlib.Path(__file__).parent / "regressions.txt"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run showed.

    Attributes:
      seed: Its seed.
      sent: Requests.
      served: Part of them that got a 2xx.
      served_after: The same, once the faults had passed.
      broken: Promises that were broken.
      faults: Faults in their order.
    """

    seed: int
    sent: int
    served: float
    served_after: float
    broken: list[str]
    faults: list[str]


Played = TypeVar("Played")
Fault = Callable[[world.World, random.Random], Awaitable[None]]


async def hold(rng: random.Random) -> None:
    """Lets a fault last."""
    await asyncio.sleep(rng.uniform(0.5, 3.0))


async def kill(fleet: world.World, rng: random.Random) -> None:
    """Kills some nodes at once; they start again."""
    count = rng.choice((1, 1, 2, len(fleet.places)))
    places = rng.sample(fleet.places, count)
    await asyncio.gather(
        *(fleet.restart(place, signal.SIGKILL) for place in places)
    )


async def stop_gracefully(fleet: world.World, rng: random.Random) -> None:
    """Stops a node as the platform does; it starts again."""
    await fleet.restart(rng.choice(fleet.places), signal.SIGTERM)


async def pause(fleet: world.World, rng: random.Random) -> None:
    """Freezes a node for a while."""
    place = rng.choice(fleet.places)
    fleet.send_signal(place, signal.SIGSTOP)
    await hold(rng)
    fleet.send_signal(place, signal.SIGCONT)


async def reread(fleet: world.World, rng: random.Random) -> None:
    """Has nodes read their settings again."""
    for place in rng.sample(fleet.places, 3):
        fleet.send_signal(place, signal.SIGHUP)


async def spoil_wire(fleet: world.World, rng: random.Random) -> None:
    """Delays, cuts or silences the streams to a node."""
    place = rng.choice(fleet.places)
    place.wire.mode = rng.choice(list(wire.Mode))
    await hold(rng)
    place.wire.mode = wire.Mode.PASS


async def reset_wire(fleet: world.World, rng: random.Random) -> None:
    """Resets the streams to a node."""
    rng.choice(fleet.places).wire.reset()


async def spoil_store(fleet: world.World, rng: random.Random) -> None:
    """Has the store misbehave."""
    fleet.store.fault = rng.choice(list(key_value.Fault))
    await hold(rng)
    fleet.store.fault = key_value.Fault.NONE


async def spoil_target(fleet: world.World, rng: random.Random) -> None:
    """Has a target fail part of what it gets."""
    target = rng.choice(fleet.places).target
    sound = target.script
    kind = rng.choice(("cut", "shed", "twice", "silent", "slow"))

    def script(seen: http_target.Seen) -> bytes | None:
        if rng.random() < 0.6:
            return sound(seen)
        whole = sound(seen) or b""
        answers = {"cut": whole[:-9], "twice": whole * 2, "silent": None}
        return answers.get(kind, whole)

    target.sheds = 0.5 if kind == "shed" else 0.0
    target.work_seconds = 0.4 if kind == "slow" else 0.02
    target.script = script
    await hold(rng)
    target.script, target.sheds, target.work_seconds = sound, 0.0, 0.02


async def replace(fleet: world.World, rng: random.Random) -> None:
    """Has a target drain and another one start in its place."""
    place = rng.choice(fleet.places)
    if place.phase == "ready":
        await fleet.replace_target(place)


async def change(fleet: world.World, rng: random.Random) -> None:
    """Changes the configuration; every second time a key goes."""
    if rng.random() < 0.5:
        fleet.withdraw()
    else:
        fleet.configure()


FAULTS: tuple[Fault, ...] = (
    kill, stop_gracefully, pause, reread, spoil_wire, spoil_wire, reset_wire,
    spoil_store, spoil_target, replace, change,
)  # fmt: skip


async def series(
    fleet: Played,
    faults: Sequence[Callable[[Played, random.Random], Awaitable[None]]],
    rng: random.Random,
    seconds: float,
    told: list[str],
) -> None:
    """Plays faults one after the other; several series overlap."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        fault = rng.choice(faults)
        told.append(fault.__name__)
        await fault(fleet, rng)
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def play(seed: int, seconds: float, folder: pathlib.Path) -> Result:
    """Plays one run."""
    rng = random.Random(seed)
    fleet = world.World(folder, random.Random(seed + 1))
    told: list[str] = []
    try:
        await fleet.start(NODES)
        await asyncio.sleep(START_SECONDS)
        load = asyncio.create_task(fleet.load(PER_SECOND, seconds))
        await asyncio.gather(
            *(
                series(
                    fleet,
                    FAULTS,
                    random.Random(rng.random()),
                    seconds - 1,
                    told,
                )
                for _ in range(2)
            )
        )
        await load
        await asyncio.sleep(CALM_SECONDS)
        after = await fleet.load(PER_SECOND, 2.0)
    finally:
        await fleet.stop()
    valid = [sent for sent in after if sent.key in fleet.keys]
    everything = list(fleet.record.sent.values())
    return Result(
        seed,
        len(everything),
        share_served(everything),
        share_served(valid),
        list(promises.broken(fleet.record)),
        told,
    )


def regression_seeds() -> list[int]:
    """Returns the seeds that failed once."""
    lines = REGRESSIONS.read_text().splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line and not line.startswith("#")
    ]


def share_served(sent: list[promises.Sent]) -> float:
    """Returns the part of requests that got a 2xx."""
    return sum(200 <= item.status < 300 for item in sent) / max(1, len(sent))


def run(
    seed: int, seconds: float, folder: pathlib.Path | None = None
) -> Result:
    """Plays one run in a loop of its own."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(seed, seconds, folder))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(play(seed, seconds, pathlib.Path(name)))
