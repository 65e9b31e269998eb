"""Callers that send open-loop load with retries and record the outcomes."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time

from multidict import CIMultiDict

from bench.standins import target as target_standin
from currantcart import errors
from currantcart.http1 import client, headers


@dataclasses.dataclass
class Kind:
    """One kind of request.

    Attributes:
      name: Name in results.
      method: HTTP method.
      path: Path that begins with the service.
      rate: Requests per second.
      payload: Body size in bytes.
      patience_ms: Time-out of the request with all its attempts.
      attempts: Maximum number of attempts.
      operation: Whether the request carries an idempotency key.
    """

    name: str
    method: str
    path: str
    rate: float
    payload: int = 0
    patience_ms: float = 2_000.0
    attempts: int = 1
    operation: bool = False


@dataclasses.dataclass
class Caller:
    """A workspace with its API key and the kinds of requests that it sends."""

    workspace: str
    key: str
    kinds: list[Kind]


@dataclasses.dataclass
class Outcome:
    """Outcome of one request.

    Attributes:
      request_id: Request id, which the answer must carry.
      workspace: Workspace that sent the request.
      kind: Name of the kind of request.
      started: Time at which it was due, in seconds since the load began.
      seconds: Duration with all attempts.
      status: Last HTTP status; 0 without an answer.
      code: Code of the last refusal, or the error of the last attempt.
      whole: Whether the complete answer to this request was received.
      not_run: Whether the last refusal says that the request did not run.
      attempts: Number of attempts made.
      not_run_attempts: Number of attempts that were refused as not run.
    """

    request_id: str
    workspace: str
    kind: str
    started: float
    seconds: float = 0.0
    status: int = 0
    code: str = ""
    whole: bool = False
    not_run: bool = False
    attempts: int = 0
    not_run_attempts: int = 0


class Load:
    """Open-loop load on the caller ports of the nodes."""

    def __init__(
        self, addresses: list[str], *, seed: int, connections_max: int = 2_000
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.pools = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.pools.append(
                client.TargetPool(
                    host=host,
                    port=int(port),
                    connections_max=connections_max,
                    loop=self.loop,
                )
            )
        self.outcomes: list[Outcome] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.started = time.monotonic()
        self.sent = 0

    async def run(self, callers: list[Caller], *, seconds: float) -> None:
        """Sends requests for `seconds` and waits until all have ended."""
        self.started = time.monotonic()
        await asyncio.gather(
            *(
                self.send_kind(caller, kind, seconds)
                for caller in callers
                for kind in caller.kinds
            )
        )
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    async def send_kind(
        self, caller: Caller, kind: Kind, seconds: float
    ) -> None:
        """Sends requests of one kind, with exponential intervals."""
        due = self.started + self.rng.expovariate(kind.rate)
        while due < self.started + seconds:
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            self.sent += 1
            outcome = Outcome(
                request_id=f"{caller.workspace}-{self.sent}",
                workspace=caller.workspace,
                kind=kind.name,
                started=due - self.started,
            )
            self.outcomes.append(outcome)
            task = self.loop.create_task(self.request(caller, kind, outcome))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due += self.rng.expovariate(kind.rate)

    async def request(
        self, caller: Caller, kind: Kind, outcome: Outcome
    ) -> None:
        """Makes one request with its retries."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(kind.patience_ms / 1_000):
                for _ in range(kind.attempts):
                    outcome.attempts += 1
                    await self.attempt(caller, kind, outcome)
                    if outcome.whole or outcome.status in (400, 401, 429):
                        break
                    await asyncio.sleep(self.rng.uniform(0.02, 0.1))
        except TimeoutError:
            outcome.code = "caller_gave_up"
        outcome.seconds = time.monotonic() - began

    async def attempt(
        self, caller: Caller, kind: Kind, outcome: Outcome
    ) -> None:
        """Makes one attempt on a random node and records its outcome."""
        fields: CIMultiDict[str] = CIMultiDict(
            {
                "Host": "currantcart",
                headers.AUTHORIZATION: f"Bearer {caller.key}",
                target_standin.REQUEST_ID: outcome.request_id,
                headers.TIMEOUT: f"{kind.patience_ms:.0f}",
            }
        )
        if kind.operation:
            fields[headers.IDEMPOTENCY_KEY] = outcome.request_id
        pool = self.rng.choice(self.pools)
        clean = False
        connection = None
        try:
            connection = await pool.lease()
            await connection.start(
                method=kind.method,
                path=kind.path,
                headers=fields,
                chunk=b"x" * kind.payload,
                last=True,
            )
            answer = await connection.answer()
            body = await answer.body.read()
            clean = True
            self.record_answer(outcome, answer.message.code, body)
        except (*client.TRANSPORT_ERRORS, errors.Refusal) as error:
            outcome.status = 0
            outcome.code = type(error).__name__
            outcome.not_run = False
        finally:
            if connection is not None:
                pool.release(connection, clean=clean)

    def record_answer(self, outcome: Outcome, status: int, body: bytes) -> None:
        """Records an answer in the outcome of its request."""
        outcome.status = status
        outcome.code = ""
        outcome.not_run = False
        try:
            fields = json.loads(body)
        except ValueError:
            outcome.code = "not_json"
            return
        if status == 200:
            outcome.whole = fields.get("id") == outcome.request_id
            outcome.code = "" if outcome.whole else "crossed_answer"
        else:
            outcome.code = str(fields.get("code", f"target_{status}"))
            outcome.not_run = bool(fields.get("not_run", False))
            outcome.not_run_attempts += outcome.not_run
