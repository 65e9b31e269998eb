"""Measures the cost of a hop: direct, byte relay, one node and two nodes.

All call paths are measured in many short, interleaved rounds of one run,
because absolute figures vary by half between runs on a shared machine.
"""

from __future__ import annotations

import asyncio
import dataclasses
import statistics
import time

from multidict import CIMultiDict

from bench import deployments, fleet, measure
from bench.standins import target as target_standin
from currantcart.http1 import client, headers

RATE = 370.0
ROUNDS = 12
ROUND_SECONDS = 1.0
WARM_UP_SECONDS = 0.3
SATURATION_SECONDS = 1.5
SATURATION_ROUNDS = 3
SATURATION_CALLERS = 32
SIZES = (256, 65_536)
DIRECT, RELAY, ONE, TWO = "direct", "relay", "one", "two"


@dataclasses.dataclass
class Path:
    """One call path to the target, and what was measured on it.

    Attributes:
      name: Its name in the figures.
      address: Address that callers connect to.
      url: Path of the request.
      processes: Ids of the processes on the path whose processor time counts.
      latency: Latency of the recorded calls.
      cpu_seconds: Processor time of the processes in the recorded rounds.
      calls: Number of recorded calls.
      throughput: Calls a second of each saturation round.
      round_p50: Median latency of each recorded round, in ms.
    """

    name: str
    address: str
    url: str
    processes: list[int]
    latency: measure.Latency = dataclasses.field(
        default_factory=measure.Latency
    )
    cpu_seconds: float = 0.0
    calls: int = 0
    throughput: list[float] = dataclasses.field(default_factory=list)
    round_p50: list[float] = dataclasses.field(default_factory=list)


class Driver:
    """Sends calls along one path over persistent connections."""

    def __init__(self, path: Path, key: str) -> None:
        host, _, port = path.address.rpartition(":")
        self.path = path
        self.key = key
        self.pool = client.TargetPool(
            host=host,
            port=int(port),
            connections_max=512,
            loop=asyncio.get_running_loop(),
        )

    async def call(self) -> float:
        """Makes one call and returns its duration in seconds."""
        fields: CIMultiDict[str] = CIMultiDict(
            {
                "Host": "bench",
                "User-Agent": "bench/1",
                "Accept": "*/*",
                headers.AUTHORIZATION: f"Bearer {self.key}",
            }
        )
        connection = await self.pool.lease()
        began = time.perf_counter()
        await connection.start(
            method="GET",
            path=self.path.url,
            headers=fields,
            chunk=b"",
            last=True,
        )
        answer = await connection.answer()
        await answer.body.read()
        seconds = time.perf_counter() - began
        self.pool.release(connection, clean=True)
        if answer.message.code != 200:
            raise RuntimeError(
                f"path {self.path.name} answered {answer.message.code}, not 200"
            )
        return seconds

    async def send_at_rate(
        self, seconds: float, *, rate: float, record: bool
    ) -> None:
        """Sends calls at a constant rate, without waiting for answers.

        Args:
          seconds: Duration.
          rate: Calls a second.
          record: Whether the calls count in the figures of the path.
        """
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[float]] = []
        started = loop.time()
        for number in range(int(seconds * rate)):
            delay = started + number / rate - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(loop.create_task(self.call()))
        durations = await asyncio.gather(*tasks)
        if record:
            for value in durations:
                self.path.latency.add(value)
            self.path.calls += len(durations)
            self.path.round_p50.append(statistics.median(durations) * 1_000)

    async def saturate(self, seconds: float) -> None:
        """Sends from many callers, each after its last call was answered."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        count = 0

        async def caller() -> None:
            nonlocal count
            while loop.time() < end:
                await self.call()
                count += 1

        await asyncio.gather(*(caller() for _ in range(SATURATION_CALLERS)))
        self.path.throughput.append(count / seconds)


def cpu_seconds_of(path: Path) -> float:
    """Returns the processor time of the processes on a path, in seconds."""
    return sum(measure.processor_seconds(pid) for pid in path.processes)


async def run_rounds(paths: list[Path], key: str) -> None:
    """Measures the paths in short, interleaved rounds.

    The first round warms up and is not recorded.
    """
    drivers = [Driver(path, key) for path in paths]
    for number in range(ROUNDS + 1):
        for driver in drivers:
            await driver.send_at_rate(WARM_UP_SECONDS, rate=RATE, record=False)
            before = cpu_seconds_of(driver.path)
            await driver.send_at_rate(
                ROUND_SECONDS, rate=RATE, record=number > 0
            )
            if number > 0:
                driver.path.cpu_seconds += cpu_seconds_of(driver.path) - before
    for _ in range(SATURATION_ROUNDS):
        for driver in drivers:
            await driver.saturate(SATURATION_SECONDS)


def build_paths(
    running: fleet.Fleet, relay_port: int, service: str
) -> list[Path]:
    """Returns the four call paths to the target of a service."""
    near = next(u for u in running.units if u.behaviour.service == service)
    far = next(u for u in running.units if u.behaviour.service != service)

    def pid(name: str) -> int:
        return running.processes[name].pid

    return [
        Path(DIRECT, near.target, "/x", []),
        Path(RELAY, f"{fleet.HOST}:{relay_port}", "/x", [pid("relay")]),
        Path(
            ONE, near.callers, f"/{service}/x", [pid(f"node-{near.instance}")]
        ),
        Path(
            TWO,
            far.callers,
            f"/{service}/x",
            [pid(f"node-{near.instance}"), pid(f"node-{far.instance}")],
        ),
    ]


def measure_size(size: int) -> dict[str, float]:
    """Measures all paths with answers of one size, in bytes."""
    with fleet.open_fleet() as running:
        running.start_store()
        running.plan(
            {
                name: [
                    target_standin.Behaviour(
                        service=name,
                        slots=400,
                        work_ms=0,
                        answer_bytes=size,
                        keep_history=False,
                    )
                ]
                for name in ("grades", "itineraries")
            }
        )
        (relay_port,) = fleet.free_ports(1)
        running.start_units()
        running.spawn(
            "relay",
            [
                "-m",
                "bench.standins.relay",
                str(relay_port),
                running.units[0].target,
            ],
        )
        keys = deployments.configure(
            running.store, rate=1_000_000, burst=1_000_000
        )
        asyncio.run(running.wait_ready())
        paths = build_paths(running, relay_port, "grades")
        asyncio.run(run_rounds(paths, keys["mill-1"]))
    return compute_figures({path.name: path for path in paths})


def compute_figures(paths: dict[str, Path]) -> dict[str, float]:
    """Computes the figures of one run from its paths, by name."""

    def added(name: str, percent: float) -> float:
        return paths[name].latency.percentile(percent) - paths[
            DIRECT
        ].latency.percentile(percent)

    def cpu_ms(name: str) -> float:
        return paths[name].cpu_seconds * 1_000 / paths[name].calls

    throughput = {
        name: statistics.median(path.throughput) for name, path in paths.items()
    }
    return {
        "direct_p50_ms": paths[DIRECT].latency.percentile(50),
        "direct_p99_ms": paths[DIRECT].latency.percentile(99),
        "relay_added_p50_ms": added(RELAY, 50),
        "relay_added_p99_ms": added(RELAY, 99),
        "one_added_p50_ms": added(ONE, 50),
        "one_added_p99_ms": added(ONE, 99),
        "added_p50_ms": added(TWO, 50),
        "added_p99_ms": added(TWO, 99),
        "relay_cpu_ms_per_call": cpu_ms(RELAY),
        "one_cpu_ms_per_call": cpu_ms(ONE),
        "cpu_ms_per_call": cpu_ms(TWO),
        "cpu_ratio": cpu_ms(TWO) / 2 / cpu_ms(RELAY),
        "added_p50_ratio": added(TWO, 50) / added(RELAY, 50),
        "saturation_ratio": throughput[TWO] / throughput[DIRECT],
        "relay_saturation_ratio": throughput[RELAY] / throughput[DIRECT],
        "direct_calls_per_s": throughput[DIRECT],
        "two_calls_per_s": throughput[TWO],
    }


def main() -> int:
    """Runs the experiment and prints its result line."""
    figures: dict[str, float | int | str] = {}
    for size in SIZES:
        suffix = "" if size == SIZES[0] else "_64k"
        for name, value in measure_size(size).items():
            figures[name + suffix] = value
    print(measure.result("overhead", figures))
    return 0
