"""Tests that calls to the store are counted by kind and result."""

from __future__ import annotations

import pytest

from currantcart.store import counted, port
from currantcart.telemetry import counts
from tests.fakes import leased


async def test_each_call_is_counted_by_kind_and_result() -> None:
    """Guards against counting operations instead of calls.

    Writing one entry takes up to four calls, which must not count as one.
    """
    inner, call_counts = leased.FakeLeasedStore(), counts.Counts()
    store = counted.CountedStore(inner, call_counts)
    lease = await store.grant(ttl_ms=1_000.0)
    await store.put("nodes/a", b"x", lease=lease, expected=0)
    await store.keep(lease)
    await store.get("nodes/a")
    await store.list("nodes/", stale=True)
    await store.list("nodes/", stale=False)
    inner.refusing = True
    with pytest.raises(port.StoreUnavailable):
        await store.list("nodes/", stale=True)
    made = call_counts.counters["store_calls"]
    assert made["list_stale", "store_unavailable"] == 1
    calls = ("grant", "write", "renew", "read", "list_stale", "list")
    assert {call: made[call, "done"] for call in calls} == dict.fromkeys(
        calls, 1
    )
