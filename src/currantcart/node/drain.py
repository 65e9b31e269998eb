"""Graceful shutdown: leave without cutting a call."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from currantcart.membership import model as membership_model

if TYPE_CHECKING:
    from currantcart.node import app

NOTICE_SECONDS = 0.2
LATE_CALLS_SECONDS = 1.5


async def drain(node: app.Node) -> int:
    """Leaves the fleet and finishes what runs.

    Returns:
      How many calls were cut because the time was over.
    """
    context = node.context
    announce_leave(node)
    finishing = context.loop.create_task(finish_calls(node))
    hurrying = context.loop.create_task(node.hurry.wait())
    await asyncio.wait(
        {finishing, hurrying},
        timeout=context.settings.drain_ms / 1_000,
        return_when=asyncio.FIRST_COMPLETED,
    )
    finishing.cancel()
    hurrying.cancel()
    cut = node.guard.cancel_running() + len(caller_tasks(node))
    context.logger.info("drained", calls_cut=cut)
    return cut


def announce_leave(node: app.Node) -> None:
    """Tells all others, so that they send no more new calls."""
    node.context.draining = True
    leaving = dataclasses.replace(
        node.members.own, status=membership_model.Status.LEAVING
    )
    node.members.announce(leaving, node.context.clock.now())
    node.gossip.announce()


def caller_tasks(node: app.Node) -> set[asyncio.Task[None]]:
    """Returns the tasks of the calls that callers wait for."""
    return {
        caller.task
        for caller in node.ingress.connections
        if caller.task is not None
    }


async def finish_calls(node: app.Node) -> None:
    """Waits for all calls, and for late ones of stale peers."""
    # While the target still works, its own calls have to come in, and those
    # of callers are carried to other targets; each answer closes its
    # connection, so that callers move on.
    node.ingress.closing = True
    await asyncio.sleep(NOTICE_SECONDS)
    await node.guard.finish_running()
    node.stop_listening()
    for caller in list(node.ingress.connections):
        caller.drain()
    tasks = caller_tasks(node) | node.operations.finishing
    if tasks:
        await asyncio.wait(tasks)
    # Peers that have not heard yet still send; they get a truthful refusal
    # that they re-route, where a closed port would be a failure.
    await asyncio.sleep(LATE_CALLS_SECONDS)
