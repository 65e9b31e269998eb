"""Stand-in for a target: slots, service time, calls of its own, a history.

`PUT /_control` changes its behaviour while it runs and `GET /_history` tells
what ran. Everything else is a call: it takes a slot, works, calls the services
below through its node with the call context, and answers with the id that the
caller sent, so that a crossed or cut answer shows.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import sys
from typing import Any

from multidict import CIMultiDict, CIMultiDictProxy

from currantcart import errors
from currantcart.http1 import client, headers, server

HISTORY_MAX = 200_000
REQUEST_ID = "X-Request-Id"


@dataclasses.dataclass
class Behaviour:
    """How the target behaves.

    Attributes:
      service: Its service.
      slots: Calls that it works on at once; others queue inside.
      work_ms: Mean time of its own work.
      slow: Factor on the time of its work.
      calls: Paths of services that it calls for each call.
      attempts: Attempts that it makes for each call of its own.
      fail_ratio: Share of calls that it fails.
      fail_status: Status of those.
      answer_bytes: Size of its answers.
      node: Address of its node for its own calls.
      keep_history: Whether it remembers what ran.
    """

    service: str
    slots: int = 50
    work_ms: float = 5.0
    slow: float = 1.0
    calls: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 1
    fail_ratio: float = 0.0
    fail_status: int = 500
    answer_bytes: int = 0
    node: str = ""
    keep_history: bool = True


class TargetStandIn:
    """A running stand-in."""

    def __init__(
        self, behaviour: Behaviour, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.behaviour = behaviour
        self.loop = loop
        self.slots = asyncio.Semaphore(behaviour.slots)
        self.connections: set[server.ServerConnection] = set()
        self.history: list[dict[str, Any]] = []
        self.rng = random.Random(behaviour.service)
        self.pool: client.TargetPool | None = None
        if behaviour.node:
            host, _, port = behaviour.node.rpartition(":")
            self.pool = client.TargetPool(
                host=host, port=int(port), connections_max=5_000, loop=loop
            )

    def accept(self) -> server.ServerConnection:
        return server.ServerConnection(
            handler=self.handle,
            refuse=lambda refusal: b"",
            registry=self.connections,
            loop=self.loop,
        )

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        try:
            body = await read_all(exchange)
            path = exchange.message.path
            if path == "/_control":
                for name, value in json.loads(body).items():
                    setattr(self.behaviour, name, value)
                await respond(exchange, 200, b"{}")
            elif path == "/_history":
                await respond(exchange, 200, json.dumps(self.history).encode())
            else:
                await self.run_call(exchange, body)
        except server.PAYLOAD_ERRORS:
            exchange.abort()

    async def run_call(self, exchange: server.Exchange, body: bytes) -> None:
        """Runs one call."""
        given = exchange.message.headers
        request_id = given.get(REQUEST_ID, "")
        entry = {
            "id": request_id,
            "operation": given.get(headers.IDEMPOTENCY_KEY, ""),
            "leaked": headers.AUTHORIZATION in given,
            "bytes": len(body),
            "at": self.loop.time(),
            "done": False,
        }
        if self.behaviour.keep_history and len(self.history) < HISTORY_MAX:
            self.history.append(entry)
        async with self.slots:
            work_ms = self.behaviour.work_ms * self.behaviour.slow
            if work_ms:
                await asyncio.sleep(
                    work_ms * self.rng.uniform(0.8, 1.2) / 1_000
                )
            status = 200
            if self.rng.random() < self.behaviour.fail_ratio:
                status = self.behaviour.fail_status
            for path in self.behaviour.calls:
                if status == 200:
                    status = await self.call_below(path, given, request_id)
        entry["done"] = status == 200
        answer = {"id": request_id, "service": self.behaviour.service}
        text = json.dumps(answer).encode().ljust(self.behaviour.answer_bytes)
        await respond(exchange, status, text)

    async def call_below(
        self, path: str, given: CIMultiDictProxy[str], request_id: str
    ) -> int:
        """Calls a service below through the node."""
        status = 503
        for _ in range(self.behaviour.attempts):
            status = await self.call_once(path, given, request_id)
            if status == 200:
                return 200
        return 502 if status == 502 else 503

    async def call_once(
        self, path: str, given: CIMultiDictProxy[str], request_id: str
    ) -> int:
        """Makes one attempt at a service below."""
        assert self.pool is not None
        fields: CIMultiDict[str] = CIMultiDict(
            {"Host": "node", REQUEST_ID: request_id}
        )
        for name in (headers.CONTEXT, headers.TRACEPARENT):
            if name in given:
                fields[name] = given[name]
        clean = False
        try:
            connection = await self.pool.lease()
        except errors.Refusal:
            return 503
        try:
            await connection.start(
                method="GET", path=path, headers=fields, chunk=b"", last=True
            )
            answer = await connection.answer()
            body = await answer.body.read()
            clean = True
            if answer.message.code != 200:
                return answer.message.code
            return 200 if json.loads(body)["id"] == request_id else 500
        except client.TRANSPORT_ERRORS:
            return 502
        finally:
            self.pool.release(connection, clean=clean)


async def read_all(exchange: server.Exchange) -> bytes:
    """Reads a whole request body."""
    exchange.continue_body()
    return await exchange.body.read()


async def respond(exchange: server.Exchange, status: int, body: bytes) -> None:
    """Sends a whole answer."""
    fields: CIMultiDict[str] = CIMultiDict({"Content-Type": "application/json"})
    await exchange.respond(status, fields, body)


async def serve(address: str, behaviour: Behaviour) -> None:
    """Runs the stand-in until it is ended."""
    loop = asyncio.get_running_loop()
    target = TargetStandIn(behaviour, loop)
    host, _, port = address.rpartition(":")
    await loop.create_server(target.accept, host, int(port), backlog=1_024)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], Behaviour(**json.loads(sys.argv[2]))))
