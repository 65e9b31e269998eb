"""Real nodes as processes; targets, store and callers in this one."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from bench import fleet
from bench.soak import processes, promises, wire
from bench.standins import http_target, key_value
from currantcart.platform import names

HOST = "127.0.0.1"
STARTER = pathlib.Path(__file__).parents[2] / "deploy" / "node.py"
SERVICE = "grades"
SITE = "shop.example"
BEAT_SECONDS = 0.5
ANSWER_SECONDS_MAX = 6.0
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeout-s", "target-latency-s",
    "priority", "max-attempts", "auth-exempt", "service",
]  # fmt: skip


@dataclasses.dataclass
class Place:
    """A node, the wire before it and the target beside it."""

    name: str
    settings: pathlib.Path
    ports: list[int]
    wire: wire.FaultyWire
    target: http_target.HttpTarget
    process: subprocess.Popen[bytes] | None = None
    server: asyncio.Server | None = None
    phase: str = "ready"
    restarts: int = 0
    sequence: int = 0
    born: int = 1


class World:
    """A fleet on loopback.

    Attributes:
      record: What callers and targets saw.
      places: The nodes.
      keys: Keys in force.
    """

    def __init__(self, folder: pathlib.Path, rng: random.Random) -> None:
        self.folder = folder
        self.rng = rng
        self.record = promises.Record()
        self.places: list[Place] = []
        self.store = key_value.KeyValueStandIn(time.monotonic)
        self.store_port = 0
        self.version = 0
        self.keys = ["key-0", "key-1"]
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int, *, beating: int = 0) -> None:
        """Starts store, nodes and targets.

        Args:
          count: Nodes.
          beating: The first of them whose target reports itself.
        """
        loop = asyncio.get_running_loop()
        (self.store_port,) = fleet.free_ports(1)
        await loop.create_server(self.store.accept, HOST, self.store_port)
        self.configure()
        for number in range(count):
            await self.add(number)
        for place in self.places:
            self.launch(place)
            self.keep(self.supervise(place))
        for place in self.places[beating:]:
            self.keep(self.beat(place))

    def keep(self, work: object) -> None:
        """Runs work until the end."""
        assert asyncio.iscoroutine(work)
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def configure(self) -> None:
        """Writes a configuration, as the operator does."""
        self.version += self.rng.randint(1, 4)
        rows = [
            [kind, SITE, f"/{kind}/", promise, 3, 1, 1, 2, False, SERVICE]
            for kind, promise in (
                ("read", "idempotent"),
                ("pay", "non_idempotent"),
            )
        ]
        document = {
            "version": self.version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {"columns": ["name"], "rows": [[SERVICE]]},
            "tenants": {
                "columns": ["name", "api-keys"],
                "rows": [["mill", self.keys]],
            },
        }
        self.store.operate(names.CONFIG_KEY, json.dumps(document).encode())

    def withdraw(self) -> None:
        """Takes the oldest key away and gives a new one."""
        gone = self.keys.pop(0)
        self.keys.append(f"key-{next(self.numbers) + 10}")
        self.configure()
        self.record.withdrawn[gone] = time.monotonic()

    async def add(self, number: int) -> None:
        """Prepares a node, its wire and its target."""
        ports = fleet.free_ports(6)
        name = f"n{number}"
        settings = self.folder / f"{name}.json"
        settings.write_text(
            json.dumps(
                {
                    "instance": name,
                    "failure_domain": f"d{number % 3}",
                    "region": "r",
                    "service": SERVICE,
                    "target": f"{HOST}:{ports[4]}",
                    "listen": {
                        "callers": f"{HOST}:{ports[0]}",
                        "peers": f"{HOST}:{ports[1]}",
                        "readiness": f"{HOST}:{ports[2]}",
                        "reports": f"{HOST}:{ports[3]}",
                        "advertised": f"{HOST}:{ports[5]}",
                    },
                    "store": f"{HOST}:{self.store_port}",
                }
            )
        )
        place = Place(
            name,
            settings,
            ports,
            wire.FaultyWire(ports[1]),
            http_target.HttpTarget(target_id=f"t{number}-1"),
        )
        await place.wire.start(ports[5])
        loop = asyncio.get_running_loop()
        place.server = await loop.create_server(
            lambda: place.target.accept(), HOST, ports[4]
        )
        self.watch(place)
        self.places.append(place)

    def watch(self, place: Place) -> None:
        """Has the runs of a place's present target recorded."""
        target = place.target

        def answer(seen: http_target.Seen) -> bytes | None:
            body = promises.answer_to(seen.request_id)
            return http_target.sealed(seen, body=body)

        def on_run(seen: http_target.Seen) -> None:
            self.record.ran.append(
                promises.Ran(
                    seen.request_id,
                    target.target_id,
                    time.monotonic(),
                    seen.body,
                    seen.headers.get("currantcart-tenant", ""),
                    seen.headers.get("currantcart-expect-instance", ""),
                )
            )

        target.script = answer
        target.on_run = on_run
        target.work_seconds = 0.02

    def launch(self, place: Place) -> None:
        """Starts a node's process."""
        output = (self.folder / f"{place.name}.log").open("ab")
        place.process = subprocess.Popen(
            [sys.executable, str(STARTER)],
            stdout=output,
            stderr=output,
            env={**os.environ, "CURRANTCART_BOOT": str(place.settings)},
        )
        output.close()

    def send_signal(self, place: Place, number: signal.Signals) -> None:
        """Signals a node's process, by its id."""
        if place.process is not None and place.process.poll() is None:
            place.process.send_signal(number)

    async def restart(self, place: Place, number: signal.Signals) -> None:
        """Ends a node's process and starts it again."""
        place.restarts += 1
        await processes.replace(
            lambda: place.process, lambda: self.launch(place), number
        )
        place.restarts -= 1

    async def supervise(self, place: Place) -> None:
        """Starts a process again that has ended of its own, and notes it."""
        while True:
            await asyncio.sleep(0.1)
            process = place.process
            if process is None or place.restarts or process.poll() is None:
                continue
            self.record.ended.append(f"{place.name}: {process.returncode}")
            self.launch(place)

    async def beat(self, place: Place) -> None:
        """Sends the heartbeats of a place's targets."""
        while True:
            if place.phase == "ready":
                await self.report(place, "ready")
            await asyncio.sleep(BEAT_SECONDS)

    async def report(self, place: Place, state: str) -> bool:
        """Sends one report; returns whether it was acknowledged."""
        place.sequence += 1
        body = json.dumps(
            {
                "service": SERVICE,
                "address": f"{HOST}:{place.ports[4]}",
                "slots": 10,
                "state": state,
                "sequence": place.sequence,
                "born": place.born,
            }
        ).encode()
        call = f"{names.HEARTBEAT_CALL}&of={place.target.target_id}"
        head = f"POST {names.REPORT_PATH}?call={call} HTTP/1.1\r\nHost: x\r\n"
        status, _, _ = await self.exchange(place.ports[3], head, body, 1.0)
        return status == 200

    async def replace_target(self, place: Place) -> None:
        """Has a target drain, and another one start in its place."""
        place.phase = "draining"
        old = place.target
        if await self.report(place, "draining"):
            self.record.left[old.target_id] = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        for side in old.connections:
            if side.transport is not None:
                side.transport.abort()
        place.born += 1
        place.sequence = 0
        name = old.target_id.partition("-")[0]
        place.target = http_target.HttpTarget(target_id=f"{name}-{place.born}")
        self.watch(place)
        place.phase = "ready"

    # Callers.

    async def call(self) -> promises.Sent:
        """Sends one request and records what came of it."""
        pay = self.rng.random() < 0.4
        body = b"x" * self.rng.choice((3, 3, 3, 90_000)) if pay else b""
        sent = promises.Sent(
            f"r{next(self.numbers)}",
            self.rng.choice([*self.keys, *self.record.withdrawn][:4]),
            not pay,
            time.monotonic(),
            body,
        )
        self.record.sent[sent.request_id] = sent
        place = self.rng.choice(self.places)
        method, path = ("POST", "/pay/1") if pay else ("GET", "/read/1")
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {SITE}\r\n"
            f"Currantcart-Request-Id: {sent.request_id}\r\n"
            f"Currantcart-Deadline-Ms: 3000\r\nApi-Key: {sent.key}\r\n"
        )
        sent.status, sent.answered_id, sent.answer = await self.exchange(
            place.ports[0], head, body, ANSWER_SECONDS_MAX
        )
        return sent

    async def exchange(
        self, port: int, head: str, body: bytes, seconds: float
    ) -> tuple[int, str, bytes]:
        """Makes one exchange on a connection of its own.

        Returns:
          Status, id and body of the answer; zero without a whole one.
        """
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(HOST, port)
                length = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write((head + length).encode() + body)
                lines = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in lines.splitlines()[1:]
                    if line
                )
                size = int(fields.get("content-length", "0"))
                answer = await reader.readexactly(size)
                status = int(lines.split(" ", 2)[1])
                shown = fields.get("currantcart-request-id", "")
                return status, shown, answer
        except (OSError, TimeoutError, EOFError, ValueError):
            return 0, "", b""
        finally:
            if writer is not None:
                writer.transport.abort()

    async def load(
        self, per_second: float, seconds: float
    ) -> list[promises.Sent]:
        """Sends requests at a steady pace; returns them once all ended."""
        calls: list[asyncio.Task[promises.Sent]] = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            calls.append(asyncio.create_task(self.call()))
            await asyncio.sleep(self.rng.expovariate(per_second))
        return list(await asyncio.gather(*calls))

    async def stop(self) -> None:
        """Ends the processes that this world started."""
        for task in list(self.tasks):
            task.cancel()
        for place in self.places:
            self.send_signal(place, signal.SIGCONT)
            self.send_signal(place, signal.SIGKILL)
            place.wire.close()
            if place.server is not None:
                place.server.close()
            if place.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    place.process.wait(timeout=5)
