"""Graceful shutdown: the node leaves the fleet without cutting a call."""

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
    """Leaves the fleet and waits for the running calls to finish.

    Returns:
      Number of calls cut because the drain time was over, or because the
      shutdown was requested a second time.
    """
    context = node.context
    announce_leave(node)
    finishing = context.loop.create_task(finish_calls(node))
    stopping_now = context.loop.create_task(node.stop_now.wait())
    await asyncio.wait(
        {finishing, stopping_now},
        timeout=context.settings.drain_ms / 1_000,
        return_when=asyncio.FIRST_COMPLETED,
    )
    finishing.cancel()
    stopping_now.cancel()
    cut = node.guard.cancel_running() + len(caller_tasks(node))
    context.logger.info("drained", calls_cut=cut)
    return cut


def announce_leave(node: app.Node) -> None:
    """Announces LEAVING to all peers, so that they send no new calls."""
    node.context.draining = True
    leaving = dataclasses.replace(
        node.members.own, status=membership_model.Status.LEAVING
    )
    node.members.announce(leaving, node.context.clock.now())
    node.gossip.announce()


def caller_tasks(node: app.Node) -> set[asyncio.Task[None]]:
    """Returns the tasks of the calls whose callers wait for an answer."""
    return {
        caller.task
        for caller in node.ingress.connections
        if caller.task is not None
    }


async def finish_calls(node: app.Node) -> None:
    """Waits for all calls, and for late ones from peers with stale state."""
    # While the target is still working, the calls that it makes have to be
    # accepted. Calls of other callers are forwarded to other targets, and each
    # answer closes its connection, so that callers connect to another node.
    node.ingress.closing = True
    await asyncio.sleep(NOTICE_SECONDS)
    await node.guard.finish_running()
    node.stop_listening()
    for caller in list(node.ingress.connections):
        caller.drain()
    tasks = caller_tasks(node) | node.operations.finishing
    if tasks:
        await asyncio.wait(tasks)
    # Peers that have not received the announcement yet still send calls. They
    # get a `draining` refusal and reroute the call; a closed port would count
    # as a failure.
    await asyncio.sleep(LATE_CALLS_SECONDS)
