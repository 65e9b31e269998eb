"""Fleet of node processes; targets, store and callers run in this process."""

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
import sysconfig
import time
from collections.abc import Callable, Coroutine

from bench import fleet
from bench.soak import processes, promises, wire
from bench.standins import http_target, key_value
from currantcart.platform import names

HOST = "127.0.0.1"
STARTER = pathlib.Path(__file__).parents[2] / "deploy" / "node.py"
SERVICE = "grades"
SITE = "shop.example"
DOMAINS = 3
HEARTBEAT_SECONDS = 0.5
DOWN_SECONDS = 1.0
"""Time until a target that has ended is started again."""
FATAL_PATH = "/read/fatal-"
"""Prefix of the paths of requests that end the target that runs them."""
ANSWER_SECONDS_MAX = 6.0
CLOSED_EARLY_SHARE = 0.2
"""Share of pipelined connections that are closed before all answers."""
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeout-s", "target-latency-s",
    "priority", "max-attempts", "auth-exempt", "service",
]  # fmt: skip
HEAVY_SETTINGS = {
    "exchange": {"mesh_nodes_max": 3, "targets_per_service": 3},
    "rate_queue": {"enabled": True},
    "fair_shares": {"enabled": True},
    "placement": {"by_completion": True},
    "hand_back": {"moves_max": 2},
}
RATE = promises.Rate("shop", 20.0, 20.0)
RATE_KEY = "shop-key"


@dataclasses.dataclass
class Instance:
    """A node, the proxy in front of its peer port, and its target.

    Attributes:
      name: Instance name of the node.
      settings: Settings file of the node.
      ports: Callers, peers, readiness, reports, target, advertised peers.
      wire: Proxy between the advertised port and the peer port.
      target: Current target.
      process: Current process of the node.
      server: Listening socket of the target.
      phase: State that the target reports.
      restarts: Number of restarts in progress.
      sequence: Sequence number of the target's last report.
      born: Incarnation of the target, counted from 1.
    """

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


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a node; status 0 if no complete one was received.

    Attributes:
      status: Its status.
      fields: Its header, names and values in lower case.
      body: Its body.
    """

    status: int = 0
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer.

    Raises:
      EOFError: The connection was closed before it was complete.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = dict(
        line.lower().split(": ", 1) for line in lines.splitlines()[1:] if line
    )
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Answer(int(lines.split(" ", 2)[1]), fields, body)


def domain_of(number: int) -> str:
    """Returns the failure domain of a node by its index."""
    return f"d{number % DOMAINS}"


class World:
    """A fleet on loopback.

    Attributes:
      record: What callers and targets observed.
      places: Nodes with their targets.
      keys: API keys that are valid in the current configuration.
      heavy: Whether the nodes use what is meant for heavy load, and a
        workspace with a rate limit exists.
    """

    def __init__(
        self, folder: pathlib.Path, rng: random.Random, *, heavy: bool = False
    ) -> None:
        self.folder = folder
        self.heavy = heavy
        self.rng = rng
        self.record = promises.Record()
        self.places: list[Instance] = []
        self.store = key_value.KeyValueStandIn(time.monotonic)
        self.store_port = 0
        self.version = 0
        self.keys = ["key-0", "key-1"]
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int, *, beating: int = 0) -> None:
        """Starts the store, the nodes and the targets.

        Args:
          count: Number of nodes.
          beating: Index of the first node whose target sends heartbeats.
        """
        loop = asyncio.get_running_loop()
        (self.store_port,) = fleet.free_ports(1)
        await loop.create_server(self.store.accept, HOST, self.store_port)
        self.configure()
        if self.heavy:
            self.record.rates.append(RATE)
        for number in range(count):
            await self.add(number)
        for instance in self.places:
            self.launch(instance)
            self.run_in_background(self.supervise(instance))
        for instance in self.places[beating:]:
            self.run_in_background(self.send_heartbeats(instance))

    def run_in_background(self, work: object) -> None:
        """Runs a coroutine in the background until `stop`."""
        assert asyncio.iscoroutine(work)
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def configure(self) -> None:
        """Writes a new version of the configuration to the store."""
        self.version += self.rng.randint(1, 4)
        rows = [
            [kind, SITE, f"/{kind}/", promise, 3, 1, 1, 2, keyless, SERVICE]
            for kind, promise, keyless in (
                ("read", "idempotent", False),
                ("pay", "non_idempotent", False),
                ("open-read", "idempotent", True),
                ("open-pay", "non_idempotent", True),
            )
        ]
        workspaces: list[list[object]] = [["mill", self.keys, 0, 0]]
        if self.heavy:
            workspaces.append(
                [RATE.workspace, [RATE_KEY], RATE.per_second, RATE.burst]
            )
        document = {
            "version": self.version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {"columns": ["name"], "rows": [[SERVICE]]},
            "tenants": {
                "columns": ["name", "api-keys", "rate-per-s", "burst-size"],
                "rows": workspaces,
            },
        }
        self.store.operate(names.CONFIG_KEY, json.dumps(document).encode())

    def withdraw(self) -> None:
        """Replaces the oldest key by a new one in the configuration."""
        oldest = self.keys.pop(0)
        self.keys.append(f"key-{next(self.numbers) + 10}")
        self.configure()
        self.record.withdrawn[oldest] = time.monotonic()

    def evacuate(self, domain: str) -> promises.Evacuation:
        """Evacuates a failure domain until `restore`."""
        self.store.operate(names.EVACUATIONS_PREFIX + domain, b"{}")
        evacuation = promises.Evacuation(domain, time.monotonic())
        self.record.evacuations.append(evacuation)
        return evacuation

    def restore(self, evacuation: promises.Evacuation) -> None:
        """Ends an evacuation."""
        evacuation.until = time.monotonic()
        self.store.remove(names.EVACUATIONS_PREFIX + evacuation.domain)

    async def add(self, number: int) -> None:
        """Prepares a node with its proxy and its target."""
        ports = fleet.free_ports(6)
        name = f"n{number}"
        settings = self.folder / f"{name}.json"
        settings.write_text(
            json.dumps(
                {
                    "instance": name,
                    "failure_domain": domain_of(number),
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
                    **(HEAVY_SETTINGS if self.heavy else {}),
                }
            )
        )
        instance = Instance(
            name,
            settings,
            ports,
            wire.FaultyWire(ports[1]),
            http_target.HttpTarget(target_id=f"t{number}-1"),
        )
        await instance.wire.start(ports[5])
        loop = asyncio.get_running_loop()
        instance.server = await loop.create_server(
            lambda: instance.target.accept(), HOST, ports[4]
        )
        self.places.append(instance)
        self.record_runs(instance)

    def record_runs(self, instance: Instance) -> None:
        """Records the runs of a node's current target."""
        target = instance.target
        domain = domain_of(self.places.index(instance))

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
                    domain,
                    instance.name,
                )
            )
            if seen.path.startswith(FATAL_PATH) and instance.target is target:
                self.run_in_background(self.end_target(instance, seen.path))

        target.script = answer
        target.on_run = on_run
        target.work_seconds = 0.02

    def launch(self, instance: Instance) -> None:
        """Starts the process of a node."""
        output = (self.folder / f"{instance.name}.log").open("ab")
        instance.process = subprocess.Popen(
            [sys.executable, "-S", str(STARTER)],
            stdout=output,
            stderr=output,
            env={
                **os.environ,
                "CURRANTCART_BOOT": str(instance.settings),
                # Without its site module the interpreter does not find these.
                "PYTHONPATH": sysconfig.get_path("purelib"),
            },
        )
        output.close()

    def send_signal(self, instance: Instance, number: signal.Signals) -> None:
        """Sends a signal to a node's process if it still runs."""
        if number is not signal.SIGHUP:
            self.record.disturbed[instance.name] = time.monotonic()
        processes.send(instance.process, number)

    async def restart(self, instance: Instance, number: signal.Signals) -> None:
        """Ends a node's process with a signal and restarts it."""
        instance.restarts += 1
        self.record.disturbed[instance.name] = time.monotonic()
        await processes.replace(
            lambda: instance.process, lambda: self.launch(instance), number
        )
        instance.restarts -= 1

    async def supervise(self, instance: Instance) -> None:
        """Records and restarts a process that exited unexpectedly."""
        while True:
            await asyncio.sleep(0.1)
            process = instance.process
            if process is None or instance.restarts or process.poll() is None:
                continue
            self.record.ended.append(f"{instance.name}: {process.returncode}")
            self.launch(instance)

    async def send_heartbeats(self, instance: Instance) -> None:
        """Sends the heartbeats of a node's target while it is ready."""
        while True:
            if instance.phase == "ready":
                await self.report(instance, "ready")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def report(self, instance: Instance, state: str) -> bool:
        """Sends one report and returns whether it was acknowledged."""
        instance.sequence += 1
        body = json.dumps(
            {
                "service": SERVICE,
                "address": f"{HOST}:{instance.ports[4]}",
                "slots": 10,
                "state": state,
                "sequence": instance.sequence,
                "born": instance.born,
            }
        ).encode()
        call = f"{names.HEARTBEAT_CALL}&of={instance.target.target_id}"
        head = f"POST {names.REPORT_PATH}?call={call} HTTP/1.1\r\nHost: x\r\n"
        answer = await self.exchange(instance.ports[3], head, body, 1.0)
        return answer.status == 200

    def limit(self, instance: Instance, per_second: float) -> promises.Limit:
        """Has a node's target state a limit until `lift`."""
        instance.target.limit = per_second
        limit = promises.Limit(
            instance.target.target_id, per_second, time.monotonic()
        )
        self.record.limits.append(limit)
        return limit

    def lift(self, instance: Instance, limit: promises.Limit) -> None:
        """Has a node's target state no limit any more."""
        limit.until = time.monotonic()
        instance.target.limit = None

    async def replace_target(self, instance: Instance) -> None:
        """Drains a target, aborts its connections and starts a successor."""
        instance.phase = "draining"
        previous = instance.target
        if await self.report(instance, "draining"):
            self.record.left[previous.target_id] = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        self.succeed_target(instance)
        instance.phase = "ready"

    async def end_target(self, instance: Instance, path: str) -> None:
        """Ends a target under a request, and starts its successor later."""
        if instance.phase != "ready" or instance.server is None:
            return
        instance.phase = "ended"
        self.record.ends.setdefault(path, []).append(time.monotonic())
        instance.server.close()
        self.succeed_target(instance)
        await asyncio.sleep(DOWN_SECONDS)
        loop = asyncio.get_running_loop()
        instance.server = await loop.create_server(
            lambda: instance.target.accept(), HOST, instance.ports[4]
        )
        instance.phase = "ready"

    def succeed_target(self, instance: Instance) -> None:
        """Aborts a target's connections and puts a new one in its place."""
        previous = instance.target
        for connection in previous.connections:
            if connection.transport is not None:
                connection.transport.abort()
        instance.born += 1
        instance.sequence = 0
        name = previous.target_id.partition("-")[0]
        instance.target = http_target.HttpTarget(
            target_id=f"{name}-{instance.born}"
        )
        self.record_runs(instance)

    # Callers.

    async def call(self) -> promises.Sent:
        """Sends one request and records its answer."""
        pay = self.rng.random() < 0.4
        body = b"x" * self.rng.choice((3, 3, 3, 90_000)) if pay else b""
        sent = promises.Sent(
            f"r{next(self.numbers)}",
            self.rng.choice([*self.keys, *self.record.withdrawn][:4]),
            not pay,
            time.monotonic(),
            body,
        )
        return await self.send(sent, pay=pay)

    async def call_with_rate(self) -> promises.Sent:
        """Sends one request of the workspace with a rate limit."""
        sent = promises.Sent(
            f"r{next(self.numbers)}",
            RATE_KEY,
            True,
            time.monotonic(),
            b"",
            workspace=RATE.workspace,
        )
        return await self.send(sent, pay=False)

    async def call_fatal(self, path: str) -> promises.Sent:
        """Sends a request that ends the target that runs it."""
        sent = promises.Sent(
            f"r{next(self.numbers)}",
            self.keys[-1],
            True,
            time.monotonic(),
            b"",
            path=path,
        )
        return await self.send(sent, pay=False)

    async def send(self, sent: promises.Sent, *, pay: bool) -> promises.Sent:
        """Sends a request to a random node and records its answer."""
        self.record.sent[sent.request_id] = sent
        instance = self.rng.choice(self.places)
        method = "POST" if pay else "GET"
        sent.path = sent.path or ("/pay/1" if pay else "/read/1")
        head = (
            f"{method} {sent.path} HTTP/1.1\r\nHost: {SITE}\r\n"
            f"Currantcart-Request-Id: {sent.request_id}\r\n"
            f"Currantcart-Deadline-Ms: 3000\r\nApi-Key: {sent.key}\r\n"
        )
        sent.instance = instance.name
        answer = await self.exchange(
            instance.ports[0], head, sent.body, ANSWER_SECONDS_MAX
        )
        self.record_answer(sent, answer)
        return sent

    def record_answer(self, sent: promises.Sent, answer: Answer) -> None:
        """Records the answer to a request."""
        sent.status, sent.answer = answer.status, answer.body
        sent.answered_id = answer.fields.get("currantcart-request-id", "")
        if "server-leaving" in answer.fields:
            self.record_told_leave(sent)

    async def call_pipelined(self, rng: random.Random) -> None:
        """Sends requests one behind the other on one connection.

        The last one is a payment. Half of the connections use routes without
        keys; some are closed before all answers were received.

        Args:
          rng: Chooses the node, the requests and how many answers are read.
        """
        instance = rng.choice(self.places)
        prefix, key, workspace = rng.choice(
            [("", self.keys[-1], "mill"), ("open-", "", "")]
        )
        calls: list[promises.Sent] = []
        data = b""
        for number in range(count := rng.randint(2, 5)):
            pay = number == count - 1
            sent = promises.Sent(
                f"r{next(self.numbers)}", key, not pay, time.monotonic(),
                b"fee" if pay else b"", instance=instance.name,
                workspace=workspace,
            )  # fmt: skip
            sent.path = f"/{prefix}{'pay' if pay else 'read'}/1"
            self.record.sent[sent.request_id] = sent
            calls.append(sent)
            key_line = f"Api-Key: {key}\r\n" if key else ""
            data += (
                f"{'POST' if pay else 'GET'} {sent.path} HTTP/1.1\r\n"
                f"Host: {SITE}\r\n"
                f"Currantcart-Request-Id: {sent.request_id}\r\n"
                f"Currantcart-Deadline-Ms: 3000\r\n{key_line}"
                f"Content-Length: {len(sent.body)}\r\n\r\n"
            ).encode() + sent.body
        if rng.random() < CLOSED_EARLY_SHARE:
            del calls[rng.randrange(count) :]
        with contextlib.suppress(OSError, TimeoutError, EOFError, ValueError):
            async with asyncio.timeout(ANSWER_SECONDS_MAX):
                await self.exchange_pipelined(instance, data, calls)

    async def exchange_pipelined(
        self, instance: Instance, data: bytes, calls: list[promises.Sent]
    ) -> None:
        """Sends requests on a new connection, and reads their answers.

        Raises:
          OSError: The connection was refused or reset.
          EOFError: It was closed before all answers were received.
        """
        reader, writer = await asyncio.open_connection(HOST, instance.ports[0])
        try:
            writer.write(data)
            for sent in calls:
                self.record_answer(sent, await read_answer(reader))
        finally:
            writer.transport.abort()

    def record_told_leave(self, sent: promises.Sent) -> None:
        """Records that a node passed on that a target is leaving."""
        for ran in reversed(self.record.ran):
            if ran.request_id == sent.request_id:
                key = (sent.instance, ran.target_id)
                self.record.told_leave.setdefault(key, time.monotonic())
                return

    async def exchange(
        self, port: int, head: str, body: bytes, seconds: float
    ) -> Answer:
        """Sends one request on a new connection and reads the answer."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(HOST, port)
                length = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write((head + length).encode() + body)
                return await read_answer(reader)
        except (OSError, TimeoutError, EOFError, ValueError):
            return Answer()
        finally:
            if writer is not None:
                writer.transport.abort()

    async def load(
        self,
        per_second: float,
        seconds: float,
        *,
        call: Callable[[], Coroutine[None, None, promises.Sent]] | None = None,
    ) -> list[promises.Sent]:
        """Sends requests at a mean rate; returns them once all have ended.

        Args:
          per_second: Requests per second.
          seconds: For how long.
          call: Sends one request; `call` by default.
        """
        call = call or self.call
        calls: list[asyncio.Task[promises.Sent]] = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            calls.append(asyncio.create_task(call()))
            await asyncio.sleep(self.rng.expovariate(per_second))
        return list(await asyncio.gather(*calls))

    async def stop(self) -> None:
        """Ends the background tasks and the processes of the nodes."""
        for task in list(self.tasks):
            task.cancel()
        for instance in self.places:
            # Not recorded: it would excuse what happened before.
            processes.send(instance.process, signal.SIGCONT)
            processes.send(instance.process, signal.SIGKILL)
            instance.wire.close()
            if instance.server is not None:
                instance.server.close()
            if instance.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    instance.process.wait(timeout=5)
