"""Adapter for a store with the key-value HTTP interface of Consul.

The interface is documented at developer.hashicorp.com/consul/api-docs/kv and
.../session. Reads with `index` and `wait` block until a change, writes with
`cas` are compare-and-swap, and sessions with the delete behaviour serve as
leases.
"""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import aiohttp

from currantcart.store import port

READ_SECONDS_MAX = 2.0
WRITE_SECONDS_MAX = 3.0
WATCH_SLACK_SECONDS = 2.0
NOT_FOUND = 404
CONNECTIONS_MAX = 32
BODY_BYTES_MAX = 8 * 1024 * 1024
"""Bytes of the longest answer; what comes without end is no answer."""


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body of an answer.

    Raises:
      aiohttp.ClientError: The body is cut, or exceeds `BODY_BYTES_MAX`.
    """
    parts, size = [], 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > BODY_BYTES_MAX:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"body exceeds {BODY_BYTES_MAX} bytes"
            )
    return b"".join(parts)


class HttpStore:
    """A store that is reached over HTTP.

    Attributes:
      address: Host and port of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.session: aiohttp.ClientSession | None = None

    def open_session(self) -> aiohttp.ClientSession:
        """Returns the HTTP client session; creates it on first use.

        It has to be created inside the event loop.
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=CONNECTIONS_MAX)
            )
            # When a connection breaks, aiohttp retries a PUT on its own. If
            # the first PUT took effect, the second one compares with the new
            # value, and a successful swap is reported as a lost race.
            # aiohttp's test client disables retries in the same way.
            self.session._retry_connection = False
        return self.session

    async def close(self) -> None:
        """Closes all connections."""
        if self.session is not None:
            await self.session.close()

    async def read(
        self, path: str, params: dict[str, str], *, seconds: float
    ) -> bytes | None:
        """Sends a GET in a separate task.

        aiohttp's timeouts work only inside a task, and the eagerly started
        part of a call runs outside of one.
        """
        loop = asyncio.get_running_loop()
        return await loop.create_task(
            self.read_now(path, params, seconds=seconds)
        )

    async def write(
        self, path: str, params: dict[str, str], body: bytes
    ) -> bytes | None:
        """Sends a PUT in a separate task, for the same reason as `read`."""
        loop = asyncio.get_running_loop()
        return await loop.create_task(self.write_now(path, params, body))

    async def read_now(
        self, path: str, params: dict[str, str], *, seconds: float
    ) -> bytes | None:
        """Sends a GET; returns the body, or None for status 404."""
        try:
            async with self.open_session().get(
                f"http://{self.address}{path}",
                params=params,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                body = await read_body(response)
                if response.status == NOT_FOUND:
                    return None
                self.check_status(response.status)
                return body
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise self.unavailable(error) from error

    async def write_now(
        self, path: str, params: dict[str, str], body: bytes
    ) -> bytes | None:
        """Sends a PUT; returns the body, or None for status 404.

        Raises:
          port.StoreUnavailable: Nothing was written.
          port.StoreOutcomeUnknown: The answer was lost.
        """
        try:
            async with self.open_session().put(
                f"http://{self.address}{path}",
                params=params,
                data=body,
                timeout=aiohttp.ClientTimeout(total=WRITE_SECONDS_MAX),
            ) as response:
                answer = await read_body(response)
                if response.status == NOT_FOUND:
                    return None
                self.check_status(response.status)
                return answer
        except aiohttp.ClientConnectorError as error:
            # The connection was not established, so nothing was sent.
            raise self.unavailable(error) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise port.StoreOutcomeUnknown(
                f"answer to a write was lost: {error or type(error).__name__}",
                peer=self.address,
            ) from error

    def check_status(self, status: int) -> None:
        """Raises if a status is an error.

        Raises:
          port.StoreUnavailable: The status is 400 or more.
        """
        if status >= 400:
            raise port.StoreUnavailable(
                f"store answered with status {status}", peer=self.address
            )

    def unavailable(self, error: BaseException) -> port.StoreUnavailable:
        """Returns the error for a store that did not answer."""
        return port.StoreUnavailable(
            f"store did not answer: {error or type(error).__name__}",
            peer=self.address,
        )

    def parse(self, body: bytes) -> Any:
        """Parses the JSON body of an answer."""
        try:
            return json.loads(body)
        except ValueError as error:
            raise port.StoreUnavailable(
                "store's answer is not JSON", peer=self.address
            ) from error

    def entry(self, body: bytes | None) -> port.Entry:
        """Parses the entry in an answer; `MISSING` without a body."""
        if body is None:
            return port.MISSING
        try:
            found = self.parse(body)[0]
            return port.Entry(
                value=base64.b64decode(found["Value"] or ""),
                index=int(found["ModifyIndex"]),
                lease=str(found.get("Session") or ""),
            )
        except (LookupError, TypeError, ValueError) as error:
            raise port.StoreUnavailable(
                "store's answer has no valid entry", peer=self.address
            ) from error

    async def get(self, key: str) -> port.Entry:
        """Reads a key."""
        return self.entry(
            await self.read(f"/v1/kv/{key}", {}, seconds=READ_SECONDS_MAX)
        )

    async def compare_and_swap(
        self, key: str, value: bytes, *, index: int
    ) -> bool:
        """Writes a key if its index is as given."""
        answer = await self.write(f"/v1/kv/{key}", {"cas": str(index)}, value)
        return answer is not None and self.parse(answer) is True

    async def watch(
        self, key: str, *, index: int, wait_ms: float
    ) -> port.Entry:
        """Waits for a change after an index, and reads the key."""
        params = {"index": str(index), "wait": f"{int(wait_ms)}ms"}
        seconds = wait_ms / 1_000 + WATCH_SLACK_SECONDS
        return self.entry(
            await self.read(f"/v1/kv/{key}", params, seconds=seconds)
        )

    async def grant_lease(self, *, ttl_ms: float) -> str:
        """Creates a session and returns its id."""
        request = {
            "TTL": f"{int(ttl_ms)}ms",
            "Behavior": "delete",
            "LockDelay": "0s",
        }
        answer = await self.write(
            "/v1/session/create", {}, json.dumps(request).encode()
        )
        if answer is None:
            raise port.StoreUnavailable(
                "store offers no sessions (status 404)", peer=self.address
            )
        return str(self.parse(answer)["ID"])

    async def keep_alive(self, lease: str) -> bool:
        """Renews a session; False if it has expired."""
        answer = await self.write(f"/v1/session/renew/{lease}", {}, b"")
        return answer is not None

    async def acquire(self, key: str, value: bytes, *, lease: str) -> bool:
        """Writes a key under a session unless another session holds it."""
        answer = await self.write(f"/v1/kv/{key}", {"acquire": lease}, value)
        return answer is not None and self.parse(answer) is True

    async def release(self, lease: str) -> None:
        """Destroys a session."""
        await self.write(f"/v1/session/destroy/{lease}", {}, b"")
