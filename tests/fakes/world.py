"""Real nodes on the in-memory event loop, with stand-in targets and callers."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
import json
import random
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from multidict import CIMultiDict

from bench.standins import target as target_standin
from currantcart import clock as clock_module
from currantcart import errors
from currantcart.config import document
from currantcart.graph import document as graph_document
from currantcart.http1 import client, headers
from currantcart.node import app
from currantcart.settings import model as settings_model
from currantcart.workspace import model as workspace_model
from tests.fakes import loop as fake_loop
from tests.fakes import store as fake_store

SECRET = "test-secret-test-secret"
KEY = "cck_test"
WALL_MS = 1_700_000_000_000.0


@dataclasses.dataclass
class Reply:
    """Response that a caller received.

    Attributes:
      request_id: Id that the request carried.
      status: HTTP status; 0 if no complete response was received.
      body: Complete body.
      fields: The body parsed as JSON; empty if it is not JSON.
      headers: Headers.
      seconds: Time from the request to the response.
    """

    request_id: str
    status: int = 0
    body: bytes = b""
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    seconds: float = 0.0

    @property
    def code(self) -> str:
        return str(self.fields.get("code", ""))

    @property
    def whole(self) -> bool:
        return self.status == 200 and self.fields.get("id") == self.request_id


@dataclasses.dataclass
class Place:
    """One node and its target."""

    name: str
    node: app.Node
    target: target_standin.TargetStandIn
    settings: settings_model.Settings
    context: contextvars.Context


def default_document() -> document.Document:
    """Returns a configuration with three services and two workspaces."""
    services = graph_document.ServicesText.model_validate(
        {
            "services": {
                "grades": {"idempotent": True, "importance": "sheddable"},
                "permits": {"depends_on": ["grades"], "idempotent": True},
                "payments": {
                    "depends_on": ["permits"],
                    "routes": [
                        {"path": "/fees", "importance": "critical"},
                        {"path": "/list", "importance": "sheddable",
                         "idempotent": True},
                    ],
                },
            }
        }
    )  # fmt: skip
    limits = document.WorkspaceText(rate=1e6, burst=1e6)
    return document.Document(
        revision=1,
        services=services,
        workspaces={"mill": limits, "shop": limits},
        keys={
            "k1": document.KeyText(
                digest=workspace_model.digest_of(KEY), workspace="mill"
            ),
            "k2": document.KeyText(
                digest=workspace_model.digest_of(f"{KEY}2"), workspace="shop"
            ),
        },
    )


class World:
    """The nodes of one test, their targets and their store.

    Attributes:
      loop: Loop that they run on.
      store: Store of all nodes.
      places: Nodes with their targets, by name.
      requests: Number of calls made.
      pools: Callers' connections, by node.
    """

    def __init__(self, loop: fake_loop.MemoryLoop) -> None:
        self.loop = loop
        self.store = fake_store.MemoryStore()
        self.places: dict[str, Place] = {}
        self.requests = 0
        self.pools: dict[str, client.TargetPool] = {}
        self.store.put(document.STORE_KEY, document.encode(default_document()))

    def configure(self, parsed: document.Document) -> None:
        """Stores a configuration."""
        self.store.put(document.STORE_KEY, document.encode(parsed))

    async def start(
        self,
        name: str,
        service: str,
        *,
        slots: int = 10,
        work_ms: float = 10.0,
        calls: tuple[str, ...] = (),
        attempts: int = 1,
        **more: Any,
    ) -> Place:
        """Starts a node and its target."""
        number = len(self.places) + 1
        host = f"10.0.0.{number}"
        settings = settings_model.Settings.model_validate(
            {
                "instance": name,
                "failure_domain": f"domain-{number % 3}",
                "listen": {
                    "callers": f"{host}:80",
                    "peers": f"{host}:70",
                    "admin": f"{host}:90",
                },
                "target": {
                    "service": service,
                    "address": f"{host}:50",
                    "slots": slots,
                    "ramp_ms": 0,
                },
                "fleet_secret": SECRET,
                "store": "10.0.1.1:8500",
                "seeds": ["10.0.0.1:70"],
                **more,
            }
        )
        behaviour = target_standin.Behaviour(
            service=service,
            slots=slots * 2,
            work_ms=work_ms,
            calls=list(calls),
            attempts=attempts,
            node=f"{host}:80",
        )
        context = contextvars.copy_context()
        context.run(fake_loop.OWNER.set, name)
        place: Place = await self.run_as(
            context, self.build(settings, behaviour, context)
        )
        self.places[name] = place
        return place

    async def build(
        self,
        settings: settings_model.Settings,
        behaviour: target_standin.Behaviour,
        context: contextvars.Context,
    ) -> Place:
        target = target_standin.TargetStandIn(behaviour, self.loop)
        host, _, port = settings.target.address.rpartition(":")
        beside = contextvars.copy_context()
        beside.run(fake_loop.OWNER.set, f"target-{settings.instance}")
        await self.run_as(
            beside, self.loop.create_server(target.accept, host, int(port))
        )
        node = app.Node(
            settings,
            clock=clock_module.Clock(
                now=lambda: self.loop.time() * 1_000,
                wall=lambda: WALL_MS + self.loop.time() * 1_000,
            ),
            loop=self.loop,
            store=self.store,
            rng=random.Random(settings.instance),
        )
        await node.start()
        return Place(settings.instance, node, target, settings, context)

    async def run_as(
        self, context: contextvars.Context, work: Coroutine[Any, Any, Any]
    ) -> Any:
        """Runs a coroutine as the owner of a context."""
        return await self.loop.create_task(work, context=context)

    async def settle(self, seconds: float = 3.0) -> None:
        """Waits until the nodes have discovered each other."""
        await asyncio.sleep(seconds)

    async def call(
        self,
        via: str,
        path: str,
        *,
        method: str = "GET",
        key: str | None = KEY,
        body: bytes = b"",
        chunks: list[tuple[float, bytes]] | None = None,
        context: str | None = None,
        **fields: str,
    ) -> Reply:
        """Makes one call and returns the response.

        Args:
          via: Node that receives the call.
          path: Path with the service.
          method: HTTP method.
          key: API key to send; None for none.
          body: Complete body.
          context: Call context to send; None for none.
          chunks: A streamed body: pauses in seconds and bytes.
          **fields: Headers, with underscores in place of hyphens.
        """
        self.requests += 1
        reply = Reply(request_id=f"r{self.requests}")
        given: CIMultiDict[str] = CIMultiDict(
            {"Host": "test", target_standin.REQUEST_ID: reply.request_id}
        )
        if key is not None:
            given[headers.AUTHORIZATION] = f"Bearer {key}"
        if context is not None:
            given[headers.CONTEXT] = context
        given.update({k.replace("_", "-"): v for k, v in fields.items()})
        pool = self.pool(via)
        began = self.loop.time()
        connection = None
        clean = False
        try:
            connection = await pool.lease()
            await connection.start(
                method=method,
                path=path,
                headers=given,
                chunk=body,
                last=chunks is None,
            )
            await send_chunks(connection, chunks or [])
            answer = await connection.answer()
            reply.headers = dict(answer.message.headers)
            reply.body = await answer.body.read()
            reply.status = answer.message.code
            clean = True
            reply.fields = json.loads(reply.body)
        except (*client.TRANSPORT_ERRORS, errors.Refusal, ValueError) as error:
            reply.fields = {"code": type(error).__name__}
        finally:
            reply.seconds = self.loop.time() - began
            if connection is not None:
                pool.release(connection, clean=clean)
        return reply

    def pool(self, via: str) -> client.TargetPool:
        """Returns the callers' connections to a node."""
        if via not in self.pools:
            address = self.places[via].settings.listen.callers
            host, port = settings_model.split_address(address)
            self.pools[via] = client.TargetPool(
                host=host, port=port, connections_max=1_000, loop=self.loop
            )
        return self.pools[via]

    def history(self, service: str) -> list[dict[str, Any]]:
        """Returns the calls that ran at the targets of a service."""
        return [
            entry
            for place in self.places.values()
            if place.settings.target.service == service
            for entry in place.target.history
        ]

    async def stop(self) -> None:
        """Stops all nodes."""
        for place in self.places.values():
            await place.node.stop()


async def send_chunks(
    connection: client.TargetConnection, chunks: list[tuple[float, bytes]]
) -> None:
    """Sends a body in chunks, each after its pause."""
    for number, (pause, chunk) in enumerate(chunks):
        await asyncio.sleep(pause)
        await connection.send(chunk, last=number == len(chunks) - 1)


async def open_world(
    loop: fake_loop.MemoryLoop,
) -> AsyncIterator[World]:
    """Yields a world without nodes, and stops its nodes at the end."""
    world = World(loop)
    try:
        yield world
    finally:
        await world.stop()
