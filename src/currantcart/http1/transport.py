"""Writing to a connection that may just have been closed."""

from __future__ import annotations

import asyncio


def write(transport: asyncio.Transport | None, data: bytes) -> bool:
    """Writes to a connection; returns whether the transport accepted it.

    When the peer has just reset the connection, uvloop raises `RuntimeError`
    before `is_closing` is true and before `connection_lost` is called. If the
    error propagated, it would abort the flush of a stream that carries other
    calls.
    """
    if transport is None or transport.is_closing():
        return False
    try:
        transport.write(data)
    except RuntimeError:
        return False
    return True
