"""Tests of the HTTP adapter against a stand-in, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from bench.standins import store as store_standin
from currantcart import eager
from currantcart.store import http as store_http
from currantcart.store import port

Work = Callable[
    [store_http.HttpStore, store_standin.StoreStandIn], Awaitable[None]
]


def run(work: Work) -> None:
    """Runs work with an adapter and a stand-in on a real event loop."""

    async def main() -> None:
        standin = store_standin.StoreStandIn()
        runner = web.AppRunner(standin.application())
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port_number = runner.addresses[0][1]
        store = store_http.HttpStore(f"127.0.0.1:{port_number}")
        try:
            await work(store, standin)
        finally:
            await store.close()
            await runner.cleanup()

    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        runner.run(main())


def test_only_one_of_two_equal_swaps_succeeds() -> None:
    async def work(store: port.Store, _: object) -> None:
        assert await store.get("a") == port.MISSING
        assert await store.compare_and_swap("a", b"1", index=0)
        assert not await store.compare_and_swap("a", b"2", index=0)
        entry = await store.get("a")
        assert entry.value == b"1"
        assert await store.compare_and_swap("a", b"2", index=entry.index)

    run(work)


def test_watch_returns_on_a_change() -> None:
    async def work(store: port.Store, _: object) -> None:
        waiting = asyncio.create_task(store.watch("a", index=0, wait_ms=20_000))
        await store.compare_and_swap("a", b"1", index=0)
        assert (await waiting).value == b"1"
        index = (await store.get("a")).index
        unchanged = await store.watch("a", index=index, wait_ms=1)
        assert unchanged.index == index

    run(work)


def test_store_that_is_down_is_unavailable() -> None:
    async def work(
        store: port.Store, standin: store_standin.StoreStandIn
    ) -> None:
        standin.faults.down = True
        with pytest.raises(port.StoreUnavailable):
            await store.get("a")
        with pytest.raises(port.StoreOutcomeUnknown):
            await store.compare_and_swap("a", b"1", index=0)

    run(work)


def test_unreachable_store_wrote_nothing() -> None:
    async def work(_: object, standin: object) -> None:
        del standin
        store = store_http.HttpStore("127.0.0.1:1")
        with pytest.raises(port.StoreUnavailable):
            await store.compare_and_swap("a", b"1", index=0)
        await store.close()

    run(work)


def test_lost_answer_is_an_unknown_outcome() -> None:
    """The write takes effect, but the connection breaks before the answer."""

    async def work(
        store: port.Store, standin: store_standin.StoreStandIn
    ) -> None:
        standin.faults.lose_answers = 1
        with pytest.raises(port.StoreOutcomeUnknown):
            await store.compare_and_swap("a", b"1", index=0)
        assert (await store.get("a")).value == b"1"

    run(work)


def test_expired_lease_deletes_its_keys() -> None:
    async def work(
        store: port.Store, standin: store_standin.StoreStandIn
    ) -> None:
        lease = await store.grant_lease(ttl_ms=60_000)
        other = await store.grant_lease(ttl_ms=60_000)
        assert await store.acquire("a", b"1", lease=lease)
        assert not await store.acquire("a", b"2", lease=other)
        assert await store.keep_alive(lease)
        standin.leases[lease].expires = 0
        assert not await store.keep_alive(lease)
        assert await store.get("a") == port.MISSING
        assert await store.acquire("a", b"2", lease=other)

    run(work)


def test_calls_work_outside_a_task() -> None:
    """Guards against aiohttp timeouts that fail outside a task.

    A call that must run at most once claims its operation in the eagerly
    started part, where no task is current.
    """

    async def work(store: port.Store, _: object) -> None:
        done: list[bool] = []

        async def claim() -> None:
            done.append(await store.compare_and_swap("a", b"1", index=0))

        task = eager.start(asyncio.get_running_loop(), claim())
        assert task is not None
        await task
        assert done == [True]

    run(work)


async def answer_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent: list[int]
) -> None:
    """Sends a body until the client closes, or up to a limit."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    piece = b"x" * 65_536
    try:
        while sum(sent) < 4 * store_http.BODY_BYTES_MAX:
            writer.write(piece)
            await writer.drain()
            sent.append(len(piece))
    except ConnectionError:
        pass
    finally:
        writer.close()


def test_an_answer_without_end_is_not_kept() -> None:
    """Guards against a store whose answers fill the memory."""

    async def work(_: object, standin: object) -> None:
        del standin
        sent: list[int] = []
        server = await asyncio.start_server(
            lambda reader, writer: answer_without_end(reader, writer, sent),
            "127.0.0.1",
            0,
        )
        store = store_http.HttpStore(
            f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        )
        with pytest.raises(port.StoreUnavailable, match="exceeds"):
            await store.get("a")
        with pytest.raises(port.StoreOutcomeUnknown, match="exceeds"):
            await store.compare_and_swap("a", b"1", index=0)
        await store.close()
        server.close()

    run(work)
