"""Stand-ins for the scripts of cases 4 to 8: store, workers, clients, platform.

Only the standard library is used. The nodes are started with the command of
the deploy file, on loopback addresses, with the settings that the template
gives for a small deployment.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
SITE = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_SECONDS = 6.0
BEAT_SECONDS = 0.5


given_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, and that no connection gets by chance.

    The system gives connections ports from 32768 on.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(10_000, 32_000)
        if port in given_ports:
            continue
        with socket.socket() as item:
            try:
                item.bind((HOST, port))
            except OSError:
                continue
        given_ports.add(port)
        found.append(port)
    return found


@dataclasses.dataclass
class Message:
    """A request or an answer; `first` holds the words of its first line."""

    first: list[str]
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first[1])

    @property
    def request_id(self) -> str:
        return self.fields.get("currantcart-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a head; raises EOFError if the connection ends before."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length, or none."""
    found = await read_head(reader)
    size = int(found.fields.get("content-length", "0"))
    found.body = await reader.readexactly(size)
    return found


LOST = (OSError, EOFError, asyncio.TimeoutError, ValueError, IndexError)


class Record:
    """Writes a line for each event, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def add(self, event: str, **values: object) -> None:
        at = time.monotonic() - self.began
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{at:8.3f} {event} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: items, leases, and watches."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.events: list[tuple[int, str]] = []
        self.is_down = False

    def touch(self, key: str) -> int:
        self.revision += 1
        self.events.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        created = self.items[key][2] if key in self.items else 0
        revision = self.touch(key)
        self.items[key] = (value, revision, created or revision, lease)
        return revision

    def expire(self) -> None:
        now = time.monotonic()
        ended = {item for item, (at, _) in self.leases.items() if at < now}
        for item in ended:
            del self.leases[item]
        for key in [k for k, item in self.items.items() if item[3] in ended]:
            if self.items[key][3]:
                del self.items[key]
                self.touch(key)

    def shown(self, key: str) -> dict[str, object]:
        if key not in self.items:
            return {"key": key, "revision": 0, "as-of": self.revision}
        value, revision, created, lease = self.items[key]
        return {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": revision, "created-at": created, "lease": lease,
            "as-of": self.revision,
        }  # fmt: skip

    async def answer(self, request: Message) -> tuple[int, dict[str, object]]:
        self.expire()
        parts = urllib.parse.urlsplit(request.first[1])
        query = dict(urllib.parse.parse_qsl(parts.query))
        call = parts.path.removeprefix("/currantcart/")
        body = json.loads(request.body) if request.body else {}
        if call == "kv-key":
            known = query["key"] in self.items
            return (200 if known else 404), self.shown(query["key"])
        if call == "kv-range":
            items = [
                self.shown(key)
                for key in sorted(self.items)
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items, "has-more": False, "as-of": self.revision,
            }  # fmt: skip
        if call == "kv-watch":
            end = time.monotonic() + int(query["wait-ms"]) / 1e3
            while time.monotonic() < end:
                events = [
                    self.shown(key)
                    | ({} if key in self.items else {"removed": True})
                    for revision, key in self.events
                    if revision > int(query["after"])
                    and key.startswith(query["prefix"])
                ]
                if events:
                    return 200, {"events": events, "as-of": self.revision}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 0.5)
            return 200, {"events": [], "as-of": self.revision}
        if call == "kv-lease":
            self.revision += 1
            ttl = float(body["ttl-s"])
            self.leases[self.revision] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self.revision, "ttl-s": ttl}
        if call.startswith("kv-keep/"):
            number = int(call.split("/")[1])
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl-s": ttl}
        if call == "kv-txn":
            for row in body.get("expect", []):
                present = self.items.get(row["key"])
                if (present[1] if present else 0) != row["revision"]:
                    rows = [self.shown(r["key"]) for r in body["expect"]]
                    return 412, {"items": rows}
            for row in body.get("writes", []):
                lease = row.get("lease", 0)
                if lease and lease not in self.leases:
                    return 404, {}
            revision = self.revision
            for row in body.get("writes", []):
                value = base64.b64decode(row["value"])
                revision = self.put(row["key"], value, row.get("lease", 0))
            for key in body.get("delete-keys", []):
                if self.items.pop(key, None):
                    revision = self.touch(key)
            return 200, {"revision": revision}
        return 404, {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*LOST):
            while True:
                request = await read_message(reader)
                if self.is_down:
                    status, found = 503, {}
                else:
                    status, found = await self.answer(request)
                data = json.dumps(found).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        writer.close()


def config(
    routes: list[list[object]], services: list[str], *, version: int = 7,
    keys: dict[str, list[str]] | None = None,
) -> bytes:  # fmt: skip
    """Returns a configuration document.

    A route: name, prefix, kind, timeout, objective, attempts, keyless, service.
    """
    tenants = [
        [name, found, 1, 0, 0] for name, found in (keys or {}).items()
    ]
    return json.dumps({
        "version": version,
        "routes": {
            "columns": [
                "name", "host", "prefix", "kind", "timeout-s",
                "target-latency-s", "priority", "traffic-split",
                "max-attempts", "auth-exempt", "service",
            ],
            "rows": [
                [r[0], SITE, r[1], r[2], r[3], r[4], 1, None, r[5], r[6], r[7]]
                for r in routes
            ],
        },
        "services": {
            "columns": [
                "name", "health-path", "max-connections", "protocol", "tls",
            ],
            "rows": [[name, "/health", 430, "h1", False] for name in services],
        },
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 67108864,
            "header-timeout-s": 3, "idle-timeout-s": 15,
        },
        "tenants": {
            "columns": [
                "name", "api-keys", "priority", "rate-per-s", "burst-size",
            ],
            "rows": tenants,
        },
        "base-version": version - 1,
    }).encode()  # fmt: skip


class Worker:
    """A worker: runs requests, `work` seconds each, and reports to its node.

    Attributes:
      runs: Requests that it began to work on, with times and bodies' sizes.
      answer: Returns the bytes of the answer to a request that it ran.
    """

    def __init__(self, record: Record, name: str, service: str) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.slots = 55
        self.state = "ready"
        self.work = lambda request: 0.02
        self.body = lambda request: f"answer to {request.request_id}".encode()
        self.runs: list[tuple[str, float, int]] = []
        self.done: dict[str, float] = {}
        self.port = 0
        self.control = 0

    def sealed(self, request: Message, status: int = 200) -> bytes:
        data = self.body(request)
        return (
            f"HTTP/1.1 {status} OK\r\n"
            f"Currantcart-Request-Id: {request.request_id}\r\n"
            f"Currantcart-Server-Seal: 3e1b.{self.name}\r\n"
            "Keep-Alive: timeout=10\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request.first[1] == "/health":
                    writer.write(
                        "HTTP/1.1 200 OK\r\n"
                        f"Currantcart-Instance-Id: {self.name}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = request.fields.get("currantcart-expect-instance")
                if expected not in (None, self.name):
                    writer.write(
                        b"HTTP/1.1 421 No\r\nCurrantcart-Not-Executed: 1\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    continue
                await self.run(request, reader, writer)
        except LOST:
            pass
        finally:
            writer.close()

    async def run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request; drops it if its connection closes meanwhile."""
        self.runs.append(
            (request.request_id, time.monotonic(), len(request.body))
        )
        self.record.add(
            "run", worker=self.name, id=request.request_id,
            method=request.first[0], path=request.first[1],
            bytes=len(request.body),
        )  # fmt: skip
        end = time.monotonic() + self.work(request)
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof() or reader.exception():
                self.record.add(
                    "dropped", worker=self.name, id=request.request_id
                )
                raise EOFError
        writer.write(self.sealed(request))
        self.done[request.request_id] = time.monotonic()
        self.record.add("ran", worker=self.name, id=request.request_id)
        await writer.drain()

    async def report(self, call: str, body: dict[str, object]) -> bool:
        """Sends a report to the node beside it; returns whether it is acked."""
        data = json.dumps(body).encode()
        head = (
            f"POST /currantcart/rpc?call=instances.{call}&of={self.name} "
            f"HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode()
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, self.control)
            writer.write(head + data)
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer.status == 200
        except LOST:
            return False
        finally:
            if writer is not None:
                writer.close()

    async def beat(self) -> bool:
        self.sequence += 1
        return await self.report("heartbeat", {
            "service": self.service, "address": f"{HOST}:{self.port}",
            "zone": "dar-a", "version": "v1", "slots": self.slots,
            "state": self.state, "cold-remaining-s": 0,
            "sequence": self.sequence, "born": self.born,
        })  # fmt: skip

    async def beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)


class Node:
    """A node as the platform starts it, and the worker beside it."""

    def __init__(
        self, lab: Lab, number: int, worker: Worker, zone: str
    ) -> None:
        self.lab = lab
        self.name = f"sidecar-{zone}-{number}"
        self.worker = worker
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.callers, self.peers, self.ready, self.control, self.metrics = (
            free_ports(5)
        )
        worker.control = self.control
        self.dialled = self.peers
        self.settings = lab.folder / f"{self.name}.json"

    def write_settings(self) -> None:
        self.settings.write_text(json.dumps({
            "instance": self.name, "failure_domain": self.zone,
            "region": "dar", "service": self.worker.service,
            "target": f"{HOST}:{self.worker.port}",
            "listen": {
                "callers": f"{HOST}:{self.callers}",
                "peers": f"{HOST}:{self.peers}",
                "readiness": f"{HOST}:{self.ready}",
                "reports": f"{HOST}:{self.control}",
                "metrics": f"{HOST}:{self.metrics}",
                "advertised": f"{HOST}:{self.dialled}",
            },
            "store": f"{HOST}:{self.lab.store_port}",
            "descriptors": 4100, "memory_mb": 300,
            "placement": {"by_completion": True},
            "fair_shares": {"enabled": True},
            "exchange": {"mesh_nodes_max": 24},
            "first_start": True, "hand_back": {"moves_max": 2},
            "rate_queue": {"enabled": True},
            "bounds": {
                "revoke_seconds": 5, "drain_seconds": 2, "grace_seconds": 6,
                "retry_ratio": 0.2, "retry_slack": 48,
                "retry_window_seconds": 10,
            },
        }))  # fmt: skip

    def start(self) -> None:
        self.write_settings()
        log = (self.lab.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "deploy/node.py"],
            cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.lab.folder),
                "CURRANTCART_BOOT": str(self.settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )  # fmt: skip
        log.close()
        self.lab.record.add("start", node=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.lab.record.add("signal", node=self.name, signal=number.name)
        self.process.send_signal(number)

    async def terminate(self) -> int | None:
        """Stops the process as the platform does; returns its status."""
        self.send(signal.SIGTERM)
        assert self.process is not None
        end = time.monotonic() + GRACE_SECONDS
        while time.monotonic() < end:
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            self.send(signal.SIGKILL)
            self.process.wait()
        self.lab.record.add(
            "ended", node=self.name, status=self.process.returncode
        )
        return self.process.returncode

    def rss_mb(self) -> float:
        """Returns the resident memory of the process."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(
                b"GET /currantcart/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return answer.status == 200
        except LOST:
            return False


class Lab:
    """Store, nodes and workers of one script."""

    def __init__(self, record: pathlib.Path) -> None:
        self.record = Record(record)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.store_port = 0
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.servers: list[asyncio.Server] = []

    async def open(self) -> None:
        server = await asyncio.start_server(self.store.serve, HOST, 0)
        self.servers.append(server)
        self.store_port = server.sockets[0].getsockname()[1]

    async def add(self, service: str, zone: str) -> Node:
        """Adds a machine with its worker."""
        number = len(self.nodes) + 1
        worker = Worker(self.record, f"i-{number:08x}", service)
        server = await asyncio.start_server(
            worker.serve, HOST, 0, limit=1 << 20
        )
        self.servers.append(server)
        worker.port = server.sockets[0].getsockname()[1]
        node = Node(self, number, worker, zone)
        self.nodes.append(node)
        return node

    async def start(self) -> None:
        """Starts all nodes, and waits until they serve."""
        for node in self.nodes:
            node.start()
            self.tasks.append(asyncio.create_task(node.worker.beats()))
        end = time.monotonic() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise RuntimeError("a node doesn't become ready")
            await asyncio.sleep(0.1)
        # Traffic starts ten seconds after the machines do; four are enough for
        # the nodes to know each other and to be in touch.
        await asyncio.sleep(4.0)

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(OSError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                node.process.wait()
        kept = os.environ.get("KEEP")
        if kept:
            for item in self.folder.glob("*.log"):
                (pathlib.Path(kept) / item.name).write_bytes(item.read_bytes())
        self.temporary.cleanup()


def head_of(
    method: str, path: str, request_id: str, *, deadline_ms: int = 5000,
    key: str = "", length: int | None = None,
) -> bytes:  # fmt: skip
    """Returns the head of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {SITE}",
        f"Currantcart-Request-Id: {request_id}",
        f"Currantcart-Deadline-Ms: {deadline_ms}",
    ]  # fmt: skip
    if key:
        lines.append(f"Api-Key: {key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def main(record: pathlib.Path, work: Callable[[Lab], object]) -> None:
    """Runs a script; exits with 1 if the rule was broken, 0 if it held.

    What was sent, answered and run is written to `record`.
    """

    async def run() -> int:
        lab = Lab(record)
        lab.record.add("begin", trouble=int(TROUBLE))
        try:
            await lab.open()
            broken = await asyncio.wait_for(work(lab), 110)
        except Exception as error:  # The case could not run.
            lab.record.add("unable", error=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            lab.end()
        for line in broken:
            lab.record.add("broken", what=line)
            print("broken:", line)
        lab.record.add("end", broken=len(broken))
        return 1 if broken else 0

    status = asyncio.run(run())
    sys.stdout.flush()
    # Connections that are still open would be closed on a loop that has ended.
    os._exit(status)
