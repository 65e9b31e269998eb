"""A small deployment on loopback: nodes as processes, the rest as stand-ins.

Workers, clients, the platform's store and the platform itself run in the process of
the case; each node is a process of its own, started by the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from bench.standins import key_value  # noqa: E402

HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
BOUNDS = {
    "revoke-s": 5,
    "drain-s": 2,
    "grace-s": 6,
    "retry-budget-ratio": 0.2,
    "retry-budget-slack": 48,
    "budget-window-s": 10,
}


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    held = [socket.socket() for _ in range(count)]
    try:
        for item in held:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in held]
    finally:
        for item in held:
            item.close()


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in the settings' template, as the pages describe it."""

    def look_up(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def section(found: re.Match[str]) -> str:
        return found[2] if look_up(found[1]) not in (None, False) else ""

    def value(found: re.Match[str]) -> str:
        item = look_up(found[1])
        if found[2]:
            return json.dumps(item)
        return "" if item is None else str(item)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


class Record:
    """The lines of `record.txt`: what was sent, answered and run, and when."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def add(self, event: str, **values: object) -> float:
        now = self.now()
        if self.file.closed:
            return now
        text = " ".join(f"{key}={item}" for key, item in values.items())
        self.file.write(f"{now:8.3f} {event} {text}\n")
        return now


@dataclasses.dataclass
class Machine:
    """A machine with its node and its worker."""

    name: str
    zone: str
    service: str
    ports: dict[str, int]
    settings: pathlib.Path
    worker: Worker | None = None
    process: subprocess.Popen[bytes] | None = None
    held_down: bool = False
    started: list[float] = dataclasses.field(default_factory=list)
    peak_mb: float = 0.0
    misses: int = 0
    over_memory: list[float] = dataclasses.field(default_factory=list)


class Worker:
    """A sound worker, as the pages describe one.

    With `bytes_per_s` it reads the body of a request no faster than that.
    """

    def __init__(self, lab: Lab, machine: Machine, *, slots: int, work_s: float) -> None:
        self.lab = lab
        self.machine = machine
        self.slots = slots
        self.work_s = work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.bytes_per_s = 0.0
        self.reached: list[tuple[float, str, str]] = []

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Small windows, as on the users' links.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        listening.bind((HOST, self.machine.ports["app"]))
        self.server = await loop.create_server(
            lambda: WorkerConnection(self), sock=listening
        )

    async def beat(self) -> None:
        while True:
            self.sequence += 1
            body = {
                "service": self.machine.service,
                "address": f"{HOST}:{self.machine.ports['app']}",
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-s": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            await self.report("instances.heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self, call: str, body: dict[str, object]) -> bool:
        """Sends one message about itself to the node of its machine."""
        path = f"/currantcart/rpc?call={call}&of={self.id}"
        answer = await self.lab.exchange(
            self.machine.ports["control"],
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n",
            json.dumps(body).encode(),
            1.0,
        )
        return 200 <= answer.status < 300


class WorkerConnection(asyncio.Protocol):
    """One connection of a worker, for one request at a time."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.parts: list[bytes] = []
        self.head = b""
        self.missing = 0
        self.transport: Any = None
        self.work: asyncio.TimerHandle | None = None
        self.request_id = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.worker.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        self.worker.connections.discard(self)
        if self.work is not None:
            self.work.cancel()
            self.work = None
            self.worker.running -= 1
            self.worker.lab.record.add("dropped", id=self.request_id, worker=self.worker.id)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.head:
            self.parts.append(data)
            head, found, rest = b"".join(self.parts).partition(b"\r\n\r\n")
            if not found:
                return
            self.parts, self.head, data = [], head, rest
            length = re.search(rb"\r\ncontent-length: (\d+)", head, re.I)
            self.missing = int(length[1]) if length else 0
        self.missing -= len(data)
        if self.missing > 0:
            if self.worker.bytes_per_s:
                self.transport.pause_reading()
                loop = asyncio.get_running_loop()
                loop.call_later(len(data) / self.worker.bytes_per_s, self.read_on)
            return
        lines, self.head = self.head.decode("latin-1").split("\r\n"), b""
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        self.handle(lines[0].split(" ")[1], fields)

    def read_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def handle(self, path: str, fields: dict[str, str]) -> None:
        worker = self.worker
        record = worker.lab.record
        self.request_id = fields.get("currantcart-request-id", "")
        if path == "/health":
            self.answer(200, b"ok", f"Currantcart-Instance-Id: {worker.id}\r\n")
            return
        expected = fields.get("currantcart-expect-instance", worker.id)
        if expected != worker.id:
            self.answer(421, b"", f"Currantcart-Instance-Id: {worker.id}\r\n")
            return
        now = record.add("runs", id=self.request_id, worker=worker.id, path=path)
        worker.reached.append((now, self.request_id, path))
        worker.running += 1
        loop = asyncio.get_running_loop()
        self.work = loop.call_later(worker.work_s * random.uniform(0.7, 1.3), self.finish)

    def finish(self) -> None:
        self.work = None
        self.worker.running -= 1
        body = f"body of {self.request_id}".encode()
        self.answer(200, body, f"Currantcart-Server-Seal: {self.worker.id}.{self.request_id}\r\n")

    def answer(self, status: int, body: bytes, more: str) -> None:
        data = (
            f"HTTP/1.1 {status} Answer\r\nCurrantcart-Request-Id: {self.request_id}\r\n"
            f"{more}Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.transport.write(data)


@dataclasses.dataclass
class Answer:
    """What a client got; status 0 if no complete answer."""

    status: int = 0
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


@dataclasses.dataclass
class Sent:
    """A request of a client, and its answer."""

    id: str
    kind: str
    machine: str
    at: float
    status: int = 0
    answered_at: float = float("inf")
    kept: bool = False
    closed: bool = False


class Lab:
    """The deployment: machines, the platform's store, the platform, clients."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.store = key_value.KeyValueStandIn(time.monotonic)
        self.store_port = 0
        self.machines: list[Machine] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.sent: list[Sent] = []
        self.ids = itertools.count()
        self.ended = threading.Event()

    def keep(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, config: dict[str, Any], services: dict[str, tuple[int, int, float]]) -> None:
        """Starts everything; `services`: machines, slots and work by service."""
        (self.store_port,) = free_ports(1)
        loop = asyncio.get_running_loop()
        await loop.create_server(self.store.accept, HOST, self.store_port)
        self.store.operate("op/config", json.dumps(config).encode())
        for service, (count, slots, work_s) in services.items():
            for number in range(count):
                zone = "abc"[number % 3]
                names = ("inbound", "outbound", "ready", "control", "app", "peers")
                ports = dict(zip(names, free_ports(len(names)), strict=True))
                name = f"sidecar-{zone}-{len(self.machines) + 1}"
                machine = Machine(name, zone, service, ports, self.folder / f"{name}.json")
                machine.worker = Worker(self, machine, slots=slots, work_s=work_s)
                await machine.worker.open()
                self.machines.append(machine)
        for machine in self.machines:
            self.launch(machine, first=True)
            assert machine.worker is not None
            self.keep(machine.worker.beat())
            self.keep(self.supervise(machine))

    def watch_memory(self, limit_mb: float) -> None:
        """Kills each node that exceeds its memory, as the platform does.

        A thread looks at the peak of the resident memory each five milliseconds.
        """

        def watch() -> None:
            while not self.ended.wait(0.005):
                for machine in self.machines:
                    process = machine.process
                    if process is None or process.poll() is not None:
                        continue
                    with contextlib.suppress(OSError):
                        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
                        found = re.search(r"VmHWM:\s+(\d+) kB", status)
                        peak_mb = int(found[1]) / 1024 if found else 0.0
                        machine.peak_mb = max(machine.peak_mb, peak_mb)
                        if peak_mb > limit_mb:
                            process.kill()
                            at = self.record.add(
                                "over_memory", machine=machine.name, peak_mb=round(peak_mb)
                            )
                            machine.over_memory.append(at)

        threading.Thread(target=watch, daemon=True).start()

    def launch(self, machine: Machine, *, first: bool = False) -> None:
        """Starts a node as the platform does."""
        ports = machine.ports
        fields = {
            "node-name": machine.name,
            "zone": machine.zone,
            "region": "r",
            "ip": HOST,
            "service": machine.service,
            "app-addr": f"{HOST}:{ports['app']}",
            "first-start": first,
            "listen": {key: f"{HOST}:{ports[key]}" for key in ("inbound", "outbound", "ready", "control")},
            "internal-ports": [ports["peers"], ports["peers"]],
            "platform": {"address": f"{HOST}:{self.store_port}"},
            "limits": {"max-fds": 4100},
            "bounds": BOUNDS,
        }
        settings = json.loads(render(self.template, fields))
        # The machines share one address here, so the metrics' port can't be theirs all.
        settings["listen"].pop("metrics", None)
        machine.settings.write_text(json.dumps(settings))
        with (self.folder / f"{machine.name}.log").open("ab") as output:
            machine.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    "PATH": os.environ["PATH"],
                    "CURRANTCART_BOOT": str(machine.settings),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
            )
        machine.started.append(self.record.add("node_starts", machine=machine.name))

    async def supervise(self, machine: Machine) -> None:
        """Starts a node again that has ended, after a short delay."""
        while True:
            await asyncio.sleep(0.1)
            process = machine.process
            if process is None or machine.held_down or process.poll() is None:
                continue
            self.record.add("node_ended", machine=machine.name, status=process.returncode)
            await asyncio.sleep(0.4)
            if not machine.held_down:
                self.launch(machine)

    async def all_ready(self, seconds: float) -> bool:
        """Waits until all nodes answer their readiness probe with 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.is_ready(machine) for machine in self.machines]
            if all(states):
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, machine: Machine) -> bool:
        head = f"GET /currantcart/readiness HTTP/1.1\r\nHost: {HOST}\r\n"
        answer = await self.exchange(machine.ports["ready"], head, b"", 1.0)
        return answer.status == 200

    async def probe_readiness(self) -> None:
        """Asks each node once a second whether it is ready, as the platform does."""
        while True:
            for machine in self.machines:
                self.keep(self.probe(machine))
            await asyncio.sleep(1)

    async def probe(self, machine: Machine) -> None:
        ready = await self.is_ready(machine)
        if ready == (machine.misses >= 2):
            self.record.add("readiness", machine=machine.name, ready=ready)
        machine.misses = 0 if ready else machine.misses + 1

    def gets_work(self, machine: Machine) -> bool:
        """Returns whether the clients of a machine get new work.

        After two misses they get none, unless fewer than half of the nodes of the zone
        are in.
        """
        zone = [item for item in self.machines if item.zone == machine.zone]
        present = sum(item.misses < 2 for item in zone)
        return machine.misses < 2 or present < len(zone) / 2

    # Clients.

    async def exchange(self, port: int, head: str, body: bytes, seconds: float) -> Answer:
        """Sends one request on a new connection and reads the answer."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(HOST, port)
                length = f"Content-Length: {len(body)}\r\n" if body else ""
                writer.write(f"{head}{length}\r\n".encode() + body)
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(
                    line.lower().split(": ", 1) for line in lines.split("\r\n")[1:] if line
                )
                size = int(fields.get("content-length", "0"))
                return Answer(int(lines.split(" ", 2)[1]), fields, await reader.readexactly(size))
        except (OSError, TimeoutError, EOFError, ValueError):
            return Answer()
        finally:
            if writer is not None:
                writer.transport.abort()

    async def request(
        self, machine: Machine, kind: str, *, method: str, host: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> Sent:
        """Sends one client's request, and waits as long as its deadline says."""
        request_id = f"{random.getrandbits(48):012x}{next(self.ids):04x}"
        sent = Sent(request_id, kind, machine.name, 0.0)
        sent.at = self.record.add("sent", id=request_id, kind=kind, machine=machine.name)
        self.sent.append(sent)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Currantcart-Request-Id: {request_id}\r\n"
            f"Currantcart-Deadline-Ms: {deadline_ms}\r\nApi-Key: key-of-a-tenant-1\r\n"
        )
        answer = await self.exchange(machine.ports["outbound"], head, body, deadline_ms / 1000)
        sent.status = answer.status
        if answer.status:
            sent.answered_at = self.record.add("answered", id=request_id, status=answer.status)
        else:
            self.record.add("no_answer", id=request_id)
        return sent

    async def keep_sending(
        self, machine: Machine, kind: str, until: float, *, method: str, host: str, prefix: str, body: bytes = b""
    ) -> None:
        """Sends requests one after the other on a connection that is kept."""
        while self.record.now() < until:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await self.use_connection(machine, kind, until, method, host, prefix, body)
            await asyncio.sleep(0.3)

    async def use_connection(
        self, machine: Machine, kind: str, until: float, method: str, host: str, prefix: str, body: bytes
    ) -> None:
        reader, writer = await asyncio.open_connection(HOST, machine.ports["outbound"])
        try:
            for number in itertools.count():
                if self.record.now() >= until:
                    return
                request_id = f"{random.getrandbits(48):012x}{next(self.ids):04x}"
                sent = Sent(request_id, kind, machine.name, 0.0, kept=number > 0)
                sent.at = self.record.add(
                    "sent", id=request_id, kind=kind, machine=machine.name, kept=sent.kept
                )
                self.sent.append(sent)
                length = f"Content-Length: {len(body)}\r\n" if body else ""
                writer.write(
                    f"{method} {prefix}{random.randrange(10**6)} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Currantcart-Request-Id: {request_id}\r\nCurrantcart-Deadline-Ms: 5000\r\n"
                    f"Api-Key: key-of-a-tenant-1\r\n{length}\r\n".encode() + body
                )
                try:
                    async with asyncio.timeout(5):
                        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                        size = re.search(r"\r\ncontent-length: (\d+)", head)
                        await reader.readexactly(int(size[1]) if size else 0)
                except (OSError, EOFError):
                    sent.closed = True
                    self.record.add("closed_without_answer", id=request_id)
                    raise
                sent.status = int(head.split(" ", 2)[1])
                sent.answered_at = self.record.add("answered", id=request_id, status=sent.status)
                if "\r\nconnection: close" in head:
                    return
                await asyncio.sleep(0.01)
        finally:
            writer.transport.abort()

    async def load(self, per_second: float, until: float, send: Callable[[], Any]) -> None:
        """Sends requests at a mean rate until a time of the record."""
        calls = set()
        while self.record.now() < until:
            call = asyncio.create_task(send())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(random.expovariate(per_second))
        if calls:
            await asyncio.wait(calls)

    def stop(self) -> None:
        """Ends all processes that were started."""
        self.ended.set()
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.held_down = True
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        self.record.file.close()
        with contextlib.suppress(OSError):
            self.temporary.cleanup()


ROUTES = [
    "name", "host", "prefix", "kind", "timeout-s", "target-latency-s",
    "priority", "traffic-split", "max-attempts", "auth-exempt", "service",
]  # fmt: skip


def configuration(routes: list[list[Any]], services: list[str]) -> dict[str, Any]:
    """Returns an operator's configuration, as `fleetbench wire` shows one."""
    return {
        "version": 7,
        "routes": {"columns": ROUTES, "rows": routes},
        "services": {
            "columns": ["name", "health-path", "max-connections", "protocol", "tls"],
            "rows": [[name, "/health", 430, "h1", False] for name in services],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-s": 3.0,
            "idle-timeout-s": 15.0,
        },
        "tenants": {
            "columns": ["name", "api-keys", "priority", "rate-per-s", "burst-size"],
            "rows": [["tenant-1", ["key-of-a-tenant-1"], None, None, None]],
        },
    }


def run(folder: pathlib.Path, play: Callable[[Lab], Any]) -> None:
    """Plays a case; the exit status is 1 if the rule was broken, 0 if it held, else 2."""

    async def main() -> int:
        lab = Lab(folder)
        try:
            async with asyncio.timeout(105):
                return int(await play(lab))
        finally:
            lab.stop()

    def end(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    try:
        code = asyncio.run(main())
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.exit(code)
