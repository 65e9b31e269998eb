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
ACCEPT_FRACTION = 0.5
"""Fraction of the drain time in which calls of other callers are accepted.

The rest of it is for calls that were forwarded.
"""
ANSWER_SECONDS = 0.3
"""Part of the drain time that is reserved for answers to calls that are cut."""


async def drain(node: app.Node) -> int:
    """Leaves the fleet and waits for the running calls to finish.

    Returns:
      Number of calls cut because the drain time was over, or because the
      shutdown was requested a second time.
    """
    context = node.context
    announce_leave(node)
    drain_seconds = context.settings.drain_ms / 1_000
    refusing = context.loop.call_later(
        drain_seconds * ACCEPT_FRACTION, refuse_callers, node
    )
    finishing = context.loop.create_task(finish_calls(node))
    stopping_now = context.loop.create_task(node.stop_now.wait())
    await asyncio.wait(
        {finishing, stopping_now},
        timeout=max(0.0, drain_seconds - ANSWER_SECONDS),
        return_when=asyncio.FIRST_COMPLETED,
    )
    finishing.cancel()
    stopping_now.cancel()
    refusing.cancel()
    tasks = caller_tasks(node)
    cut = node.guard.cancel_running() + len(tasks)
    await answer_callers(node, tasks)
    context.logger.info("drained", calls_cut=cut)
    return cut


def refuse_callers(node: app.Node) -> None:
    """Refuses further calls, except those of the node's own target."""
    node.ingress.refusing = True


async def answer_callers(
    node: app.Node, tasks: set[asyncio.Task[None]]
) -> None:
    """Cuts the calls in progress and answers their callers."""
    node.ingress.stopping = True
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=ANSWER_SECONDS)


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
