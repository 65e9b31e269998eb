"""Stand-in for a target with slots, a service time, dependencies, a history.

`PUT /_control` changes its behaviour while it runs and `GET /_history` returns
the calls that ran. Every other request is a call: it occupies a slot, works,
calls the dependencies through the node with the call context, and is answered
with the request id, so that crossed and truncated answers are detected.
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
    """Behaviour of a target.

    Attributes:
      service: Service of the target.
      slots: Calls processed concurrently; further calls queue in the target.
      work_ms: Mean service time without the calls to dependencies.
      slow: Factor on the service time.
      calls: Paths of dependencies that are called for each call.
      attempts: Maximum attempts for each call to a dependency.
      fail_ratio: Share of calls that fail.
      fail_status: Status of the failed calls.
      answer_bytes: Minimum size of an answer; shorter ones are padded.
      node: Address of the node for calls to dependencies.
      keep_history: Whether the calls that ran are recorded.
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
    """A running target."""

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
        """Answers a control request, a history request or a call."""
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
        """Runs one call in a slot, with its calls to dependencies."""
        request_headers = exchange.message.headers
        request_id = request_headers.get(REQUEST_ID, "")
        entry = {
            "id": request_id,
            "operation": request_headers.get(headers.IDEMPOTENCY_KEY, ""),
            "leaked": headers.AUTHORIZATION in request_headers,
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
                    status = await self.call_dependency(
                        path, request_headers, request_id
                    )
        entry["done"] = status == 200
        answer = {"id": request_id, "service": self.behaviour.service}
        text = json.dumps(answer).encode().ljust(self.behaviour.answer_bytes)
        await respond(exchange, status, text)

    async def call_dependency(
        self, path: str, request_headers: CIMultiDictProxy[str], request_id: str
    ) -> int:
        """Calls a dependency through the node, with retries.

        Returns:
          200, or 502 if the last attempt ended with 502, or else 503.
        """
        status = 503
        for _ in range(self.behaviour.attempts):
            status = await self.attempt_call(path, request_headers, request_id)
            if status == 200:
                return 200
        return 502 if status == 502 else 503

    async def attempt_call(
        self, path: str, request_headers: CIMultiDictProxy[str], request_id: str
    ) -> int:
        """Makes one attempt at a call to a dependency.

        Returns:
          Status of the answer; 503 if no connection was available, 502 if the
          connection failed, 500 if the answer carries another request id.
        """
        assert self.pool is not None
        fields: CIMultiDict[str] = CIMultiDict(
            {"Host": "node", REQUEST_ID: request_id}
        )
        for name in (headers.CONTEXT, headers.TRACEPARENT):
            if name in request_headers:
                fields[name] = request_headers[name]
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
    """Reads the complete body of a request."""
    exchange.continue_body()
    return await exchange.body.read()


async def respond(exchange: server.Exchange, status: int, body: bytes) -> None:
    """Sends a complete JSON answer."""
    fields: CIMultiDict[str] = CIMultiDict({"Content-Type": "application/json"})
    await exchange.respond(status, fields, body)


async def serve(address: str, behaviour: Behaviour) -> None:
    """Runs the stand-in until the process is ended."""
    loop = asyncio.get_running_loop()
    target = TargetStandIn(behaviour, loop)
    host, _, port = address.rpartition(":")
    await loop.create_server(target.accept, host, int(port), backlog=1_024)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], Behaviour(**json.loads(sys.argv[2]))))
