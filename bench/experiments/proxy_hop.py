"""Measures processor time per call and node on the platform's call path.

The baseline is a byte relay. The caller's node and the target's node run as
processes; callers, target and store run in this process. Rounds of the two
paths are interleaved, because absolute figures vary by half between runs on a
shared machine.

For comparison: before the platform's path existed, each node on the product's
own path used 0.71 ms per call at 370 calls a second (`overhead`: 1.414 ms for
two nodes).
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import cast

import httptools
import uvloop

from bench import fleet, measure
from bench.soak import world

RATES = (370.0, 2_000.0)
CONNECTIONS = 24
ROUNDS = 4
ROUND_SECONDS = 2.0
START_SECONDS = 3.0


class Caller(asyncio.Protocol):
    """A caller with a persistent connection and one request at a time.

    Attributes:
      busy: Whether a request waits for its answer.
      latency: Receives the latency of each answer.
      failed: Answers with a status other than 200.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.sent_at = 0.0
        self.busy = False
        self.latency: measure.Latency | None = None
        self.failed = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.busy = False
        self.failed += self.parser.get_status_code() != 200
        if self.latency is not None:
            self.latency.add(time.perf_counter() - self.sent_at)

    def send(self, data: bytes, latency: measure.Latency) -> None:
        assert self.transport is not None
        self.latency = latency
        self.busy = True
        self.sent_at = time.perf_counter()
        self.transport.write(data)


def request(number: int) -> bytes:
    """Returns a request with the usual header fields."""
    return (
        f"GET /read/1 HTTP/1.1\r\nHost: {world.SITE}\r\n"
        f"Currantcart-Request-Id: r{number:016x}\r\n"
        "Currantcart-Deadline-Ms: 3000\r\nApi-Key: key-0\r\n"
        "Accept: */*\r\nUser-Agent: bench/1\r\n\r\n"
    ).encode()


class CallPath:
    """One call path to the target, and what was measured on it.

    Attributes:
      port: Port that callers connect to.
      processes: Ids of the processes whose processor time counts, by name.
      callers: Callers that are connected.
      latency: Latency of all calls.
      seconds: Processor time of each process, by name.
      calls: Number of calls sent.
    """

    def __init__(self, port: int, processes: dict[str, int]) -> None:
        self.port = port
        self.processes = processes
        self.callers: list[Caller] = []
        self.latency = measure.Latency()
        self.seconds = dict.fromkeys(processes, 0.0)
        self.calls = 0

    async def run_round(
        self, rate: float, numbers: itertools.count[int]
    ) -> None:
        """Sends calls at a constant rate for one round."""
        loop = asyncio.get_running_loop()
        while len(self.callers) < CONNECTIONS:
            _, made = await loop.create_connection(
                Caller, world.HOST, self.port
            )
            self.callers.append(made)
        before = {
            name: measure.processor_seconds(pid)
            for name, pid in self.processes.items()
        }
        start = time.perf_counter()
        sent = 0
        while (now := time.perf_counter() - start) < ROUND_SECONDS:
            due = int(now * rate) - sent
            for caller in self.callers:
                if due <= 0:
                    break
                if not caller.busy:
                    caller.send(request(next(numbers)), self.latency)
                    sent, due = sent + 1, due - 1
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
        self.calls += sent
        for name, pid in self.processes.items():
            self.seconds[name] += measure.processor_seconds(pid) - before[name]

    def cpu_ms(self, name: str) -> float:
        """Returns the mean processor time of a process per call, in ms."""
        return 1e3 * self.seconds[name] / max(1, self.calls)


def start_relay(port: int, target: int) -> subprocess.Popen[bytes]:
    """Starts a relay in front of a target."""
    return subprocess.Popen(
        [
            sys.executable, "-m", "bench.standins.relay",
            str(port), f"{world.HOST}:{target}",
        ]
    )  # fmt: skip


async def measure_rate(rate: float, folder: pathlib.Path) -> dict[str, float]:
    """Measures both call paths at one rate."""
    places = world.World(folder, random.Random(1))
    relay: subprocess.Popen[bytes] | None = None
    try:
        await places.start(2, beating=1)
        front, back = places.places
        back.target.work_seconds = 0.0
        (relay_port,) = fleet.free_ports(1)
        relay = start_relay(relay_port, back.ports[4])
        await asyncio.sleep(START_SECONDS)
        assert front.process is not None
        assert back.process is not None
        node_path = CallPath(
            front.ports[0],
            {"front": front.process.pid, "guard": back.process.pid},
        )
        relay_path = CallPath(relay_port, {"relay": relay.pid})
        numbers = itertools.count()
        for _ in range(ROUNDS):
            for path in (relay_path, node_path):
                await path.run_round(rate, numbers)
    finally:
        if relay is not None:
            relay.kill()
            relay.wait()
        await places.stop()
    suffix = f"_{rate:.0f}"
    failed = sum(caller.failed for caller in node_path.callers)
    return {
        f"calls{suffix}": node_path.calls,
        f"failed{suffix}": failed,
        f"front_cpu_ms{suffix}": node_path.cpu_ms("front"),
        f"guard_cpu_ms{suffix}": node_path.cpu_ms("guard"),
        f"relay_cpu_ms{suffix}": relay_path.cpu_ms("relay"),
        f"p50_ms{suffix}": node_path.latency.percentile(50),
        f"p99_ms{suffix}": node_path.latency.percentile(99),
        f"relay_p50_ms{suffix}": relay_path.latency.percentile(50),
        f"relay_p99_ms{suffix}": relay_path.latency.percentile(99),
    }


def main() -> int:
    """Runs the experiment and prints its result line."""
    figures: dict[str, float | int | str] = {}
    for rate in RATES:
        with tempfile.TemporaryDirectory() as name:
            figures.update(uvloop.run(measure_rate(rate, pathlib.Path(name))))
    print(measure.result("proxy_hop", figures))
    return 0
