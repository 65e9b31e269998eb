"""Graceful shutdown of a node: drains requests before the process ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.proxy import context as proxy_context

SERVE_TARGET_MS = 1_900.0
"""Time for which a draining node still accepts requests for its target."""
SERVE_CALLERS_MS = 2_300.0
"""Time after which a draining node rejects new requests of callers.

The platform probes readiness at a fixed interval and removes a node after two
failed probes; until then it sends callers here.
"""
# Part of the grace period that is reserved for closing the node.
GRACE_MARGIN_MS = 700.0
TICK_SECONDS = 0.05


async def drain(
    context: proxy_context.Context,
    *,
    running: Callable[[], int],
    publish: Callable[[], None],
    close_idle: Callable[[], None],
) -> int:
    """Drains the node's requests within the grace period.

    Readiness fails first, and each response to a caller closes its connection.
    New requests are rejected and idle connections closed only after the
    platform has had time to remove this node. The function returns as soon as
    no request is in progress after that.

    Args:
      context: Shared state of the node.
      running: Returns how many requests are in progress, here or at the target.
      publish: Sends this node's status to its peers.
      close_idle: Closes callers' connections without a request in progress.

    Returns:
      How many requests were still in progress at the end of the grace period.
    """
    context.draining = True
    started = context.now
    context.log.event("draining", calls=running())
    publish()
    end = started + context.settings.bounds.grace_seconds * 1_000
    end -= GRACE_MARGIN_MS
    context.ends_at = end
    while context.now < end:
        if not context.leaving and context.now - started >= SERVE_TARGET_MS:
            context.leaving = True
            publish()
        if context.now - started >= SERVE_CALLERS_MS:
            context.rejecting_callers = True
            close_idle()
            if not running():
                break
        await asyncio.sleep(TICK_SECONDS)
    return running()
