"""Which calls to the store are counted, and with which result."""

from __future__ import annotations

import pytest

from currantcart.store import counted, port
from currantcart.telemetry import counts
from tests.fakes import leased


async def test_each_call_is_counted_by_kind_and_result() -> None:
    """One write of an entry takes up to four calls and counted as one."""
    inner, own = leased.FakeLeasedStore(), counts.Counts()
    store = counted.CountedStore(inner, own)
    lease = await store.grant(ttl_ms=1_000.0)
    await store.put("nodes/a", b"x", lease=lease, expected=0)
    await store.keep(lease)
    await store.get("nodes/a")
    await store.list("nodes/", stale=True)
    await store.list("nodes/", stale=False)
    inner.refusing = True
    with pytest.raises(port.StoreUnavailable):
        await store.list("nodes/", stale=True)
    made = own.counters["store_calls"]
    assert made["list_stale", "store_unavailable"] == 1
    calls = ("grant", "write", "renew", "read", "list_stale", "list")
    assert {call: made[call, "done"] for call in calls} == dict.fromkeys(
        calls, 1
    )
