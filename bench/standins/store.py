"""Stand-in for a Consul store, with faults that can be set.

It speaks the part of Consul's key-value HTTP interface that the adapter uses.
`PUT /fault` sets the faults and `GET /counts` returns the number of calls.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import secrets
import sys

from aiohttp import web

WATCH_MS_MAX = 30_000


@dataclasses.dataclass
class Faults:
    """Faults in force.

    Attributes:
      down: Connections are aborted without an answer.
      slow_ms: Delay added to each call.
      lose_answers: Number of writes that take effect but are not answered.
      lose_writes: Number of writes that are lost before they take effect.
      wake_watches: Watches return at once without a change.
    """

    down: bool = False
    slow_ms: float = 0
    lose_answers: int = 0
    lose_writes: int = 0
    wake_watches: bool = False


@dataclasses.dataclass
class Stored:
    """A stored value, the index of its last write, and its lease."""

    value: bytes
    index: int
    lease: str = ""


@dataclasses.dataclass
class Lease:
    """A lease: its time to live, and when it expires in loop time."""

    ttl_ms: float
    expires: float


class StoreStandIn:
    """State of the store and its HTTP interface."""

    def __init__(self) -> None:
        self.index = 0
        self.values: dict[str, Stored] = {}
        self.leases: dict[str, Lease] = {}
        self.faults = Faults()
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_put("/fault", self.set_faults)
        app.router.add_get("/counts", self.get_counts)
        app.router.add_get("/v1/kv/{key:.+}", self.get_value)
        app.router.add_put("/v1/kv/{key:.+}", self.put_value)
        app.router.add_put("/v1/session/create", self.create_lease)
        app.router.add_put("/v1/session/renew/{lease}", self.renew_lease)
        app.router.add_put("/v1/session/destroy/{lease}", self.end_lease)
        return app

    async def set_faults(self, request: web.Request) -> web.Response:
        self.faults = Faults(**await request.json())
        await self.notify()
        return web.json_response(True)

    async def get_counts(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.counts)

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def abort(self, request: web.Request) -> web.Response:
        """Aborts the connection, as an outage does."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def delay_and_check_down(self) -> bool:
        """Applies the delay and returns whether the store is down."""
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1_000)
        return self.faults.down

    def expire_leases(self) -> None:
        """Removes expired leases and the values attached to them."""
        now = asyncio.get_running_loop().time()
        for lease, state in list(self.leases.items()):
            if state.expires <= now:
                self.remove_lease(lease)

    def remove_lease(self, lease: str) -> None:
        self.leases.pop(lease, None)
        for key, stored in list(self.values.items()):
            if stored.lease == lease:
                del self.values[key]
                self.index += 1

    async def get_value(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        after = request.query.get("index")
        self.counts["reads" if after is None else "watches"] += 1
        if await self.delay_and_check_down():
            return self.abort(request)
        if after is not None:
            wait_ms = int(request.query.get("wait", "1000ms")[:-2])
            await self.wait_change(key, int(after), min(wait_ms, WATCH_MS_MAX))
            if self.faults.down:
                return self.abort(request)
        self.expire_leases()
        stored = self.values.get(key)
        if stored is None:
            return web.json_response([], status=404)
        return web.json_response(
            [
                {
                    "Key": key,
                    "Value": base64.b64encode(stored.value).decode(),
                    "ModifyIndex": stored.index,
                    "Session": stored.lease,
                }
            ]
        )

    async def wait_change(self, key: str, after: int, wait_ms: int) -> None:
        """Waits until the index of a key changes, a time-out or a fault.

        Args:
          key: Key to watch.
          after: Index that the caller knows.
          wait_ms: Maximum time to wait.
        """

        def is_due() -> bool:
            stored = self.values.get(key)
            index = stored.index if stored else 0
            return (
                index != after or self.faults.down or self.faults.wake_watches
            )

        try:
            async with asyncio.timeout(wait_ms / 1_000), self.changed:
                await self.changed.wait_for(is_due)
        except TimeoutError:
            pass

    async def put_value(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        value = await request.read()
        self.counts["writes"] += 1
        if await self.delay_and_check_down():
            return self.abort(request)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return self.abort(request)
        self.expire_leases()
        done = self.write(key, value, request)
        await self.notify()
        if done and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return self.abort(request)
        return web.json_response(done)

    def write(self, key: str, value: bytes, request: web.Request) -> bool:
        """Writes a value if its `acquire` or `cas` condition holds.

        Returns:
          Whether the value was written.
        """
        stored = self.values.get(key)
        lease = request.query.get("acquire", "")
        if lease:
            if lease not in self.leases:
                return False
            if stored is not None and stored.lease not in ("", lease):
                return False
        elif "cas" in request.query:
            index = stored.index if stored else 0
            if int(request.query["cas"]) != index:
                return False
            lease = stored.lease if stored else ""
        self.index += 1
        self.values[key] = Stored(value, self.index, lease)
        return True

    async def create_lease(self, request: web.Request) -> web.Response:
        options = json.loads(await request.read())
        self.counts["writes"] += 1
        if await self.delay_and_check_down():
            return self.abort(request)
        lease = secrets.token_hex(8)
        ttl_ms = float(options["TTL"].removesuffix("ms"))
        now = asyncio.get_running_loop().time()
        self.leases[lease] = Lease(ttl_ms, now + ttl_ms / 1_000)
        return web.json_response({"ID": lease})

    async def renew_lease(self, request: web.Request) -> web.Response:
        self.counts["writes"] += 1
        if await self.delay_and_check_down():
            return self.abort(request)
        self.expire_leases()
        state = self.leases.get(request.match_info["lease"])
        if state is None:
            return web.json_response([], status=404)
        now = asyncio.get_running_loop().time()
        state.expires = now + state.ttl_ms / 1_000
        return web.json_response([])

    async def end_lease(self, request: web.Request) -> web.Response:
        self.counts["writes"] += 1
        if await self.delay_and_check_down():
            return self.abort(request)
        self.remove_lease(request.match_info["lease"])
        await self.notify()
        return web.json_response(True)


async def serve(port: int) -> None:
    """Runs the stand-in until the process is ended."""
    runner = web.AppRunner(StoreStandIn().application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
