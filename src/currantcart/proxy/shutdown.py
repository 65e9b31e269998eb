"""Leaving without cutting a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart.proxy import context as proxy_context

LEAVE_MS = 1_900.0
"""Time for which a node that drains still takes requests for its target."""
STOP_TAKING_MS = 2_300.0
"""Time after which a node that drains takes no more requests of callers.

The platform asks at a steady pace and takes a node out after two misses.
"""
GRACE_MARGIN_MS = 700.0
TICK_SECONDS = 0.05


async def drain(
    context: proxy_context.Context,
    *,
    running: Callable[[], int],
    publish: Callable[[], None],
    close_idle: Callable[[], None],
) -> int:
    """Leaves without cutting a request.

    Readiness fails first. Callers are sent on with the answers they get;
    connections are closed only once the platform has had the time to take
    this node out, and the process goes when nothing runs.

    Args:
      context: What the parts of the node share.
      running: Returns how many requests are on their way or at the target.
      publish: Tells peers this node's state.
      close_idle: Closes callers' connections on which nothing runs.

    Returns:
      How many requests were still running at the end of the time.
    """
    context.draining = True
    started = context.now
    context.log.event("draining", calls=running())
    publish()
    end = started + context.settings.bounds.grace_seconds * 1_000
    end -= GRACE_MARGIN_MS
    while context.now < end:
        if not context.leaving and context.now - started >= LEAVE_MS:
            context.leaving = True
            publish()
        if context.now - started >= STOP_TAKING_MS:
            context.closing = True
            close_idle()
            if not running():
                break
        await asyncio.sleep(TICK_SECONDS)
    return running()
