"""Converts the records of a world to the input of the checkers."""

from __future__ import annotations

from bench import checkers
from tests.fakes.world import Reply, World


def asked(
    service: str, replies: list[Reply], *, important: bool = False
) -> list[checkers.Asked]:
    """Returns replies as requests seen by their callers.

    Args:
      service: Service that was called.
      replies: What the callers received.
      important: Whether the requests are payments or confirmations.
    """
    return [
        checkers.Asked(
            request_id=reply.request_id,
            service=service,
            status=reply.status,
            answered_id=str(reply.fields.get("id", "")),
            not_run=bool(reply.fields.get("not_run", False)),
            important=important,
        )
        for reply in replies
    ]


def ran(world: World, *services: str) -> list[checkers.Ran]:
    """Returns the calls that ran at the targets of some services."""
    return [
        checkers.Ran(
            request_id=entry["id"],
            service=service,
            operation=entry["operation"],
            leaked=entry["leaked"],
            at=entry["at"],
        )
        for service in services
        for entry in world.history(service)
    ]
