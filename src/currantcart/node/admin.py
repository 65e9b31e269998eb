"""Admin HTTP of one node: metrics, status, readiness and decisions."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from aiohttp import web

from currantcart.membership import table
from currantcart.node import context as node_context
from currantcart.node import distribute, gossip, guard


class NodeState(Protocol):
    """The state of a node that the admin pages show."""

    context: node_context.NodeContext
    guard: guard.Guard
    members: table.MemberTable
    distributor: distribute.Distributor
    gossip: gossip.Gossip
    evacuated: frozenset[str]

    def is_ready(self) -> bool:
        """Returns whether the node is ready to serve calls."""


def status_of(node: NodeState) -> dict[str, object]:
    """Returns the state of a node for the status page."""
    context, admission = node.context, node.guard.admission
    pool = node.guard.pool
    now = context.clock.now()
    return {
        "instance": context.instance,
        "draining": context.draining,
        "revision": context.config.revision,
        "evacuated": sorted(node.evacuated),
        "service": context.settings.target.service,
        "running": admission.running,
        "waiting": admission.queue.size,
        "limit": admission.limit.value,
        "shed_level": admission.shed_level(now),
        "connections": pool.leased + len(pool.idle),
        "store_calls": node.distributor.store_calls,
        "gossip_bytes": node.gossip.bytes_sent,
        "members": [
            dataclasses.asdict(member) | {"status": member.status.name.lower()}
            for member in node.members.members()
        ],
        "targets": {
            candidate.member.instance: {
                "service": candidate.member.service,
                "health": candidate.health.state,
                "in_flight": candidate.in_flight,
            }
            for candidate in context.router.candidates.values()
        },
    }


def build_app(node: NodeState) -> web.Application:
    """Returns the admin application."""

    async def metrics(request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=node.context.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    async def status(request: web.Request) -> web.Response:
        del request
        return web.json_response(status_of(node))

    async def explain(request: web.Request) -> web.Response:
        found = node.context.recorder.find(request.match_info["call_id"])
        return web.json_response(
            [dataclasses.asdict(decision) for decision in found]
        )

    async def ready(request: web.Request) -> web.Response:
        del request
        is_ready = node.is_ready()
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )

    application = web.Application()
    application.router.add_get("/metrics", metrics)
    application.router.add_get("/status", status)
    application.router.add_get("/ready", ready)
    application.router.add_get("/explain/{call_id}", explain)
    return application
