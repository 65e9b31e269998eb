"""Real nodes of a platform's deployment on the in-memory event loop."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
import json
import random
from collections.abc import AsyncIterator
from typing import Any, cast

import httptools
import msgspec

from bench.standins import http_target
from currantcart import clock as clock_module
from currantcart.platform import config, names, reports
from currantcart.proxy import context as proxy_context
from currantcart.proxy import header_names, node
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import config_feed
from currantcart.telemetry import decisions
from tests.fakes import leased
from tests.fakes import loop as fake_loop

KEY = "key-one"
HOST = "shop.example"
SHARING_SECONDS = 15.0
"""Time after its start from which a node has a share of the retry slack."""
WALL_MS = 1_700_000_000_000.0
RESIDENT_BYTES = 40 * 1024 * 1024

DEPLOYMENT = node.Deployment(
    operator_keys=config_feed.OperatorKeys(
        prefix=names.OPERATOR_PREFIX,
        config=names.CONFIG_KEY,
        evacuations=names.EVACUATIONS_PREFIX,
    ),
    nodes_prefix=names.NODES_PREFIX,
    readiness_path=names.READINESS_PATH,
    parse_config=config.parse,
    parse_report=reports.parse,
)
ROUTE_COLUMNS = [
    "name", "host", "prefix", "kind", "timeout-s", "target-latency-s",
    "priority", "traffic-split", "max-attempts", "auth-exempt", "service",
]  # fmt: skip


def route(
    name: str,
    service: str,
    *,
    kind: str = "idempotent",
    timeout: float = 5.0,
    attempts: int = 2,
    keyless: bool = False,
    split: list[dict[str, Any]] | None = None,
) -> list[Any]:
    """Returns the row of a route with the prefix `/NAME/`."""
    return [
        name, HOST, f"/{name}/", kind, timeout, 1.0, 1, split, attempts,
        keyless, None if split else service,
    ]  # fmt: skip


def document(
    version: int,
    routes: list[list[Any]] | None = None,
    *,
    keys: tuple[str, ...] = (KEY,),
    rate: float = 0.0,
    burst: float = 0.0,
    cold_rate: float = 0.0,
    keyed: bool = True,
) -> bytes:
    """Returns an operator's configuration."""
    if routes is None:
        routes = [
            route("read", "grades"),
            route("pay", "grades", kind="non_idempotent"),
            route("inner", "grades", keyless=True),
        ]
    tenants = {
        "columns": [
            "name", "api-keys", "priority", "rate-per-s", "burst-size",
        ],
        "rows": [["mill", list(keys), 1, rate, burst]],
    }  # fmt: skip
    return json.dumps(
        {
            "version": version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": [
                    "name", "health-path", "max-connections", "cold-start-s",
                    "cold-per-s",
                ],
                "rows": [["grades", "/health", 100, 3.0, cold_rate]],
            },
            **({"tenants": tenants} if keyed else {}),
            "limits": {
                "max-header-bytes": 4096,
                "max-body-bytes": 1_000_000,
                "header-timeout-s": 3,
                "idle-timeout-s": 15,
            },
            "base-version": version - 1,
        }
    ).encode()  # fmt: skip


def silent(seen: http_target.Seen) -> None:
    """Leaves a request unanswered."""
    del seen


@dataclasses.dataclass
class Reply:
    """Response to a caller; status 0 if the connection ended before it."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


class Caller(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      parser: Parser of the responses.
      transport: Transport; None before the connection is made.
      replies: Complete final responses.
      more: Set when a response is complete or the connection ends.
      ended: Whether the connection has ended.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.replies: list[Reply] = []
        self.more = asyncio.Event()
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.present = Reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.present.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.present.body += body

    def on_message_complete(self) -> None:
        self.present.status = self.parser.get_status_code()
        if self.present.status >= 200:
            self.replies.append(self.present)
            self.more.set()

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.ended = True
        self.more.set()

    def send(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    async def reply(self, number: int = 1) -> Reply:
        """Waits for the response with a given number, counted from 1."""
        while len(self.replies) < number and not self.ended:
            self.more.clear()
            await self.more.wait()
        if len(self.replies) < number:
            return Reply()
        return self.replies[number - 1]

    def leave(self) -> None:
        assert self.transport is not None
        self.transport.close()


def request(
    path: str = "/read/1",
    *,
    method: str = "GET",
    request_id: str = "r1",
    body: bytes = b"",
    deadline: int = 4_000,
    key: str | None = KEY,
    extra: str = "",
) -> bytes:
    """Returns an encoded request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Currantcart-Request-Id: {request_id}",
        f"Currantcart-Deadline-Ms: {deadline}",
    ]
    if key is not None:
        lines.append(f"Api-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    text = "\r\n".join(lines) + "\r\n" + extra + "\r\n"
    return text.encode() + body


@dataclasses.dataclass
class Place:
    """One node and its target."""

    name: str
    settings: proxy_settings.ProxySettings
    node: node.Node
    target: http_target.HttpTarget
    context: contextvars.Context
    sequence: int = 0
    born: int = 1_000


class Mesh:
    """Nodes that share a store.

    Attributes:
      store: The store.
      places: Nodes with their targets, by name.
      lines: Log lines of the nodes.
      starts: Number of node processes started.
      clock: Clock of all nodes.
      exchange: Setting `exchange` of nodes that are added.
    """

    def __init__(self, loop: fake_loop.MemoryLoop) -> None:
        self.loop = loop
        self.exchange = proxy_settings.Exchange()
        self.store = leased.FakeLeasedStore()
        self.places: dict[str, Place] = {}
        self.lines: list[str] = []
        self.starts = 0
        self.clock = clock_module.Clock(
            now=lambda: loop.time() * 1_000 + 1_000_000,
            wall=lambda: loop.time() * 1_000 + WALL_MS,
        )

    def write(self, data: bytes) -> int:
        self.lines += data.decode().splitlines()
        return len(data)

    def settings(
        self, name: str, number: int, service: str, domain: str
    ) -> proxy_settings.ProxySettings:
        ip = f"10.0.0.{number}"
        return proxy_settings.ProxySettings(
            instance=name,
            failure_domain=domain,
            region="r",
            service=service,
            target=f"{ip}:9000",
            listen=proxy_settings.Listen(
                callers=f"{ip}:8000",
                peers=f"{ip}:7000",
                readiness=f"{ip}:8001",
                reports=f"{ip}:8002",
            ),
            store="10.9.9.9:1",
            first_start=True,
            exchange=self.exchange,
        )

    async def add(
        self,
        name: str,
        *,
        service: str = "grades",
        domain: str = "a",
        report: bool = True,
        slots: int = 20,
    ) -> Place:
        """Starts a new target and its node."""
        settings = self.settings(name, len(self.places) + 1, service, domain)
        target = http_target.HttpTarget(target_id=f"t-{name}")
        host, port = proxy_settings.split_address(settings.target)
        await self.loop.create_server(target.accept, host, port)
        place = Place(
            name,
            settings,
            self.build(settings),
            target,
            contextvars.copy_context(),
        )
        self.places[name] = place
        await self.start(place)
        if report:
            await self.report(place, slots=slots)
        return place

    def build(self, settings: proxy_settings.ProxySettings) -> node.Node:
        self.starts += 1
        context = proxy_context.Context(
            settings=settings,
            header_names=names.HEADER_NAMES,
            keys=header_names.HeaderKeys.of(names.HEADER_NAMES),
            process=f"p{self.starts}",
            clock=self.clock,
            loop=self.loop,
            rng=random.Random(self.starts),
            log=decisions.DecisionLog(
                instance=settings.instance,
                now=self.clock.now,
                wall=self.clock.wall,
                write=self.write,
                loop=self.loop,
            ),
        )
        made = node.Node(context, store=self.store, deployment=DEPLOYMENT)
        # The memory of the process that runs the tests says nothing of a node.
        made.memory.read = lambda: RESIDENT_BYTES
        return made

    async def start(self, place: Place) -> None:
        task = place.context.run(self.loop.create_task, self.begin(place))
        await task

    async def begin(self, place: Place) -> None:
        fake_loop.OWNER.set(place.name)
        place.context = contextvars.copy_context()
        await place.node.start()

    async def restart(self, place: Place) -> None:
        """Kills a node and starts it again without any of its state."""
        self.kill(place)
        place.settings = msgspec.structs.replace(
            place.settings, first_start=False
        )
        place.node = self.build(place.settings)
        await self.start(place)

    def kill(self, place: Place) -> None:
        for task in list(place.node.background.tasks):
            task.cancel()
        self.loop.kill(place.name)

    async def report(
        self,
        place: Place,
        *,
        state: str = "ready",
        slots: int = 20,
        sequence: int | None = None,
        cold: float = 0.0,
    ) -> int:
        """Sends a target's report to its node and returns the HTTP status."""
        if sequence is None:
            place.sequence += 1
            sequence = place.sequence
        body = json.dumps(
            {
                "service": place.settings.service,
                "address": place.settings.target,
                "zone": place.settings.failure_domain,
                "version": "v1",
                "slots": slots,
                "state": state,
                "cold-remaining-s": cold,
                "sequence": sequence,
                "born": place.born,
            }
        ).encode()
        return await self.control(
            place, f"instances.heartbeat&of={place.target.target_id}", body
        )

    async def deregister(self, place: Place) -> int:
        """Sends a leave; returns its status."""
        return await self.control(
            place, f"instances.deregister&of={place.target.target_id}", b""
        )

    async def control(self, place: Place, call: str, body: bytes) -> int:
        caller = await self.dial(place.settings.listen.reports)
        caller.send(
            f"POST /currantcart/rpc?call={call} HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        status = (await caller.reply()).status
        caller.leave()
        return status

    async def dial(self, address: str) -> Caller:
        host, port = proxy_settings.split_address(address)
        _, caller = await self.loop.create_connection(Caller, host, port)
        return cast(Caller, caller)

    async def connect(self, place: Place) -> Caller:
        """Opens a caller's connection to a node."""
        return await self.dial(place.settings.listen.callers)

    async def ask(self, place: Place, data: bytes) -> Reply:
        """Sends one request on a new connection and returns the response."""
        caller = await self.connect(place)
        caller.send(data)
        reply = await caller.reply()
        caller.leave()
        return reply

    async def repeated_run(self, request_id: str) -> Place:
        """Returns the place of a target that runs a retry.

        Another target has rejected the request before. This one does not answer
        until its script is replaced.
        """
        front = await self.add("a", service="other")
        near = await self.add("b")
        far = await self.add("c", domain="far")
        await self.settle(SHARING_SECONDS)
        near.target.script = http_target.not_executed
        far.target.script = silent
        caller = await self.connect(front)
        caller.send(request(request_id=request_id))
        await self.settle(0.1)
        return far

    async def settle(self, seconds: float = 1.5) -> None:
        """Waits until the nodes have discovered each other."""
        await asyncio.sleep(seconds)

    async def close(self) -> None:
        for place in self.places.values():
            await place.node.stop()


async def open_mesh(loop: fake_loop.MemoryLoop) -> AsyncIterator[Mesh]:
    """Yields a mesh without nodes, with a first configuration stored."""
    mesh = Mesh(loop)
    mesh.store.operate(names.CONFIG_KEY, document(1))
    yield mesh
    await mesh.close()
