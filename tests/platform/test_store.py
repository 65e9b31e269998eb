"""Tests of the platform's store adapter with each documented answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from bench.standins import key_value
from currantcart import clock as clock_module
from currantcart import held_bytes
from currantcart.platform import store as platform_store
from currantcart.store import leased, port

MEMORY_MB = 200
ADDRESS = ("10.9.9.9", 1)


@pytest.fixture
async def standin() -> key_value.KeyValueStandIn:
    loop = asyncio.get_running_loop()
    made = key_value.KeyValueStandIn(loop.time)
    await loop.create_server(made.accept, *ADDRESS)
    return made


@pytest.fixture
async def store(
    standin: key_value.KeyValueStandIn,
) -> AsyncIterator[platform_store.KeyValueStore]:
    del standin
    loop = asyncio.get_running_loop()

    def now() -> float:
        return loop.time() * 1_000

    made = platform_store.KeyValueStore(
        ADDRESS,
        clock=clock_module.Clock(now=now, wall=now),
        loop=loop,
        held=held_bytes.HeldBytes(MEMORY_MB),
    )
    yield made
    made.close()


async def test_a_key_is_read_with_its_revision(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.operate("op/config", b"{}")
    item = await store.get("op/config")
    assert item is not None
    assert (item.value, item.revision) == (b"{}", 11)
    assert await store.get("op/none") is None


async def test_a_prefix_is_read_page_by_page(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.page_items = 2
    for number in range(5):
        standin.operate(f"n/{number}", b"x")
    standin.operate("o/1", b"y")
    items = await store.list("n/", stale=True)
    assert [item.key for item in items] == [f"n/{n}" for n in range(5)]
    assert all("allow-stale=1" in call for call in standin.calls)
    standin.calls.clear()
    await store.list("n/", stale=False)
    await store.get("o/1")
    assert not any("allow-stale" in call for call in standin.calls)


async def test_a_range_is_read_with_the_revision_of_the_store(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.page_items = 2
    for name in ("config", "evacuate/a", "evacuate/b"):
        standin.operate(f"op/{name}", b"{}")
    found = await store.read_range("op/")
    assert [item.key for item in found.items] == [
        "op/config",
        "op/evacuate/a",
        "op/evacuate/b",
    ]
    standin.remove("op/evacuate/a")
    after = await store.read_range("op/")
    assert after.as_of == found.as_of + 1
    assert len(after.items) == 2
    assert not any("allow-stale" in call for call in standin.calls)


async def test_a_removed_key_ends_a_watch(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.operate("op/evacuate/a", b"{}")
    before = standin.revision
    standin.remove("op/evacuate/a")
    changes = await store.watch("op/", after=before, wait_ms=1_000.0)
    assert changes.any
    assert changes.as_of == before + 1


@pytest.mark.parametrize("value", ["%%%", "abc"])
async def test_a_value_that_is_not_base64_is_a_failed_read(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    value: str,
) -> None:
    """Guards against an error without a code, which ends the reader."""
    standin.write("op/config", value, 0)
    with pytest.raises(port.StoreOutcomeUnknown, match="op/config"):
        await store.read_range("op/")


async def test_keys_end_with_their_lease(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    lease = await store.grant(ttl_ms=3_000)
    written = await store.put("n/1", b"x", lease=lease, expected=0)
    assert written.outcome is leased.PutOutcome.WRITTEN
    await asyncio.sleep(2.0)
    assert await store.keep(lease)
    await asyncio.sleep(2.0)
    assert await store.get("n/1") is not None
    await asyncio.sleep(2.0)
    assert await store.get("n/1") is None
    assert not await store.keep(lease)
    again = await store.put("n/1", b"x", lease=lease, expected=0)
    assert again.outcome is leased.PutOutcome.LEASE_ENDED
    assert "n/1" not in standin.items


@pytest.mark.parametrize("fault", [key_value.Fault.BUSY, key_value.Fault.MANY])
async def test_rejected_call_has_no_effect(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    fault: key_value.Fault,
) -> None:
    standin.fault = fault
    with pytest.raises(port.StoreUnavailable):
        await store.grant(ttl_ms=3_000)
    assert not standin.leases


@pytest.mark.parametrize(
    "fault",
    [
        key_value.Fault.RESET,
        key_value.Fault.SILENT,
        key_value.Fault.LOST,
        key_value.Fault.LATE,
    ],
)
async def test_lost_answer_is_an_unknown_outcome_and_the_next_call_works(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    fault: key_value.Fault,
) -> None:
    """Guards against reuse of a connection on which an answer was lost.

    Such a connection delivers no further answers.
    """
    await store.get("warm/up")
    standin.fault = fault
    started = asyncio.get_running_loop().time()
    with pytest.raises(port.StoreOutcomeUnknown):
        await store.grant(ttl_ms=30_000)
    assert asyncio.get_running_loop().time() - started < 1.3
    standin.fault = key_value.Fault.NONE
    assert await store.grant(ttl_ms=30_000)


async def test_a_slow_answer_within_the_time_limit_is_returned(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.delay_seconds = 0.24
    standin.operate("op/config", b"{}")
    assert await store.get("op/config") is not None


async def test_successive_calls_reuse_one_connection(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    for _ in range(5):
        await store.get("n/1")
    assert len(store.pool.idle) == 1
    assert len(standin.calls) == 5


async def test_an_unreachable_store_is_unavailable() -> None:
    loop = asyncio.get_running_loop()
    store = platform_store.KeyValueStore(
        ("10.9.9.8", 1),
        clock=clock_module.Clock(now=loop.time, wall=loop.time),
        loop=loop,
        held=held_bytes.HeldBytes(MEMORY_MB),
    )
    with pytest.raises(port.StoreUnavailable):
        await store.get("n/1")


async def test_a_write_whose_condition_fails_returns_the_current_item(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    lease = await store.grant(ttl_ms=3_000)
    first = await store.put("n/1", b"x", lease=lease, expected=0)
    second = await store.put("n/1", b"y", lease=lease, expected=0)
    assert second.outcome is leased.PutOutcome.CHANGED
    assert second.revision == first.revision
    assert second.present is not None
    assert second.present.value == b"x"
    gone = await store.put("n/2", b"y", lease=lease, expected=first.revision)
    assert (gone.outcome, gone.revision, gone.present) == (
        leased.PutOutcome.CHANGED,
        0,
        None,
    )
    assert "n/2" not in standin.items


async def test_a_delayed_write_does_not_replace_a_later_one(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    """The store does not answer a write and applies it two seconds later."""
    lease = await store.grant(ttl_ms=30_000)
    standin.fault = key_value.Fault.LATE
    with pytest.raises(port.StoreOutcomeUnknown):
        await store.put("n/1", b"ready", lease=lease, expected=0)
    standin.fault = key_value.Fault.NONE
    await store.put("n/1", b"leaving", lease=lease, expected=0)
    await asyncio.sleep(3.0)
    item = await store.get("n/1")
    assert item is not None
    assert item.value == b"leaving"


async def test_a_watch_reports_a_change_immediately(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.operate("op/config", b"1")
    item = await store.get("op/config")
    assert item is not None
    loop = asyncio.get_running_loop()
    loop.call_later(0.5, standin.operate, "op/config", b"2")
    started = loop.time()
    changes = await store.watch("op/", after=item.as_of, wait_ms=5_000)
    assert changes == leased.Changes(any=True, as_of=item.as_of + 1)
    assert 0.5 <= loop.time() - started < 0.6


async def test_a_watch_without_a_change_ends_after_its_wait(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    changes = await store.watch("op/", after=standin.revision, wait_ms=2_000)
    assert changes == leased.Changes(any=False, as_of=standin.revision)


async def test_a_watch_raises_if_the_history_is_lost(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    standin.compacted = 20
    with pytest.raises(leased.HistoryLost):
        await store.watch("op/", after=11, wait_ms=2_000)


@pytest.mark.parametrize(
    "fault", [key_value.Fault.RESET, key_value.Fault.SILENT]
)
async def test_a_watch_ends_if_reset_or_unanswered(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    fault: key_value.Fault,
) -> None:
    standin.fault = fault
    with pytest.raises(port.StoreOutcomeUnknown):
        await store.watch("op/", after=11, wait_ms=2_000)


async def test_a_range_whose_pages_repeat_is_a_failed_read(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against pages without end, which fill the memory."""
    standin.operate("n/1", b"x")
    page = {"items": [standin.encoded("n/1")], "has-more": True}
    monkeypatch.setattr(standin, "range", lambda *args: (200, page))
    async with asyncio.timeout(5.0):
        with pytest.raises(port.StoreOutcomeUnknown, match="doesn't end"):
            await store.list("n/", stale=True)


async def test_a_range_above_its_size_is_a_failed_read(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a range that does not fit into the memory."""
    monkeypatch.setattr(platform_store, "RANGE_BYTES_MAX", 10_000)
    standin.page_items = 2
    for number in range(20):
        standin.operate(f"op/{number:02}", b"x" * 1_000)
    with pytest.raises(port.StoreOutcomeUnknown, match="doesn't end"):
        await store.read_range("op/")


async def test_a_long_value_among_entries_is_not_kept(
    standin: key_value.KeyValueStandIn, store: platform_store.KeyValueStore
) -> None:
    """Guards against memory for what others write among the entries."""
    standin.operate("n/1", b"x" * 100)
    standin.operate("n/2", b"x" * 900_000)
    items = await store.list("n/", stale=False)
    assert [len(item.value) for item in items] == [100, 0]
    found = await store.read_range("n/")
    assert [len(item.value) for item in found.items] == [100, 900_000]


NUMBERS_OUT_OF_RANGE = [-1, 2**63, 10**400, 1.5, "1", None, True]


def item(**values: Any) -> dict[str, Any]:
    """Returns an item as the store answers it, with some values."""
    return {"key": "n/1", "value": "eA==", "revision": 1, **values}


@pytest.mark.parametrize(
    "number", NUMBERS_OUT_OF_RANGE, ids=lambda n: repr(n)[:20]
)
async def test_an_answer_with_a_number_out_of_range_is_unknown(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
    number: object,
) -> None:
    """Guards against numbers that later calls and frames cannot carry."""
    calls = [
        (item(revision=number), store.get("n/1")),
        (item(lease=number), store.get("n/1")),
        (item(**{"as-of": number}), store.get("n/1")),
        ({"items": [item(revision=number)]}, store.list("n/", stale=True)),
        ({"items": [], "as-of": number}, store.read_range("n/")),
        ({"revision": number}, store.put("n/1", b"", lease=1, expected=0)),
        ({"lease": number}, store.grant(ttl_ms=30_000)),
    ]
    for answer, call in calls:
        monkeypatch.setattr(standin, "handle", lambda *_, a=answer: (200, a))
        with pytest.raises(port.StoreOutcomeUnknown):
            await call
    watched = {"events": [], "as-of": number}
    monkeypatch.setattr(standin, "changes", lambda *_: (200, watched))
    with pytest.raises(port.StoreOutcomeUnknown):
        await store.watch("n/", after=1, wait_ms=1_000)


async def test_a_lease_without_a_number_is_unknown(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new lease for each write, as 0 stands for none."""
    monkeypatch.setattr(standin, "handle", lambda *_: (200, {"lease": 0}))
    with pytest.raises(port.StoreOutcomeUnknown):
        await store.grant(ttl_ms=30_000)


async def test_a_range_whose_pages_do_not_advance_ends(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read that takes all memory, and never ends."""
    page = {"items": [item()], "has-more": True, "as-of": 5}
    monkeypatch.setattr(standin, "handle", lambda *_: (200, page))
    async with asyncio.timeout(60.0):
        with pytest.raises(port.StoreOutcomeUnknown):
            await store.read_range("n/")
    assert len(standin.calls) == 2


async def test_a_range_of_too_many_pages_ends(
    standin: key_value.KeyValueStandIn,
    store: platform_store.KeyValueStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read that takes all memory, and never ends."""

    def answer(*_: object) -> tuple[int, object]:
        key = f"n/{len(standin.calls)}"
        return 200, {"items": [item(key=key)], "has-more": True}

    monkeypatch.setattr(standin, "handle", answer)
    async with asyncio.timeout(60.0):
        with pytest.raises(port.StoreOutcomeUnknown):
            await store.list("n/", stale=True)
    assert len(standin.calls) == platform_store.PAGES_MAX
