"""Callers: open-loop load with retries, and what they saw."""

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
      name: For the tables.
      method: HTTP method.
      path: Path with the service.
      rate: Requests a second.
      payload: Bytes of the body.
      patience_ms: When the caller gives up.
      attempts: Attempts that it makes.
      operation: Whether it carries an idempotency key.
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
    """A workspace that sends kinds of requests."""

    workspace: str
    key: str
    kinds: list[Kind]


@dataclasses.dataclass
class Outcome:
    """What became of one request.

    Attributes:
      request_id: Its id, which the whole answer must carry.
      workspace: Who sent it.
      kind: What it was.
      started: Seconds since the start of the load.
      seconds: How long it took, with all attempts.
      status: Last HTTP status; 0 without an answer.
      code: Code of the last refusal, or what went wrong.
      whole: Whether the whole answer to this very request came.
      not_run: Whether the last refusal said so.
      attempts: Attempts made.
      not_run_attempts: Attempts whose answer said "not run".
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
    """Open-loop load on the nodes' caller ports."""

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
        """Sends for a time and waits for the last answers."""
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
        """Sends one kind at its rate, with exponential gaps."""
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
        """Makes one request with all its attempts."""
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
        """Makes one attempt."""
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
            self.take_answer(outcome, answer.message.code, body)
        except (*client.TRANSPORT_ERRORS, errors.Refusal) as error:
            outcome.status = 0
            outcome.code = type(error).__name__
            outcome.not_run = False
        finally:
            if connection is not None:
                pool.release(connection, clean=clean)

    def take_answer(self, outcome: Outcome, status: int, body: bytes) -> None:
        """Judges an answer."""
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
