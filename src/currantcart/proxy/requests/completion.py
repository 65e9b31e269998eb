"""Metrics and log lines written when a request ends."""

from __future__ import annotations

from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import moves
from currantcart.routing import picker

LOGGED_SHARE = 0.002
"""Share of the requests answered within their objective that are logged."""
CANDIDATES_MAX = 8


def count_end(
    context: proxy_context.Context, call: call_module.Call, outcome: str
) -> None:
    """Counts a request that has ended, and observes its duration."""
    counts = context.counts
    counts.add("requests", call.service, outcome)
    since = context.now - call.request.head_received_at
    counts.observe("request_seconds", since, call.service)
    if call.moves:
        late = since > call.request.route.objective_ms
        counts.add("handed_back_ended", moves.outcome(outcome, late=late))


def expected(call: call_module.Call) -> dict[str, int]:
    """Returns the expected time at the last target, for a log line."""
    return {"expected_ms": round(call.expected_ms)} if call.expected_ms else {}


def log_answer(
    context: proxy_context.Context, call: call_module.Call, status: int
) -> None:
    """Logs an answer that missed its objective, and a sample of the others."""
    after_ms = context.now - call.request.head_received_at
    objective_ms = call.request.route.objective_ms
    late = after_ms > objective_ms
    if not late and context.rng.random() >= LOGGED_SHARE:
        return
    context.log.event(
        "answered_late" if late else "answered",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        status=status,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.tried_instances)),
        moves=call.moves,
        after_ms=round(after_ms),
        objective_ms=round(objective_ms),
        **expected(call),
        version=context.freshness.version,
    )


def log_left(context: proxy_context.Context, call: call_module.Call) -> None:
    """Logs a request whose caller disconnected before the answer."""
    context.log.event(
        "caller_left",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.tried_instances)),
        moves=call.moves,
        after_ms=round(context.now - call.request.head_received_at),
    )


def candidates(
    context: proxy_context.Context,
    call: call_module.Call,
    known: list[picker.Target],
) -> str:
    """Returns known targets with loads and the loads' ages, for a log line."""
    now = context.now
    return ",".join(target.describe(now) for target in known[:CANDIDATES_MAX])


def log_end(
    context: proxy_context.Context,
    call: call_module.Call,
    *,
    code: str,
    status: int,
    known: list[picker.Target],
) -> None:
    """Logs a request that failed, with the targets that were known."""
    context.log.event(
        "request_failed",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        status=status,
        code=code,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.tried_instances)),
        moves=call.moves,
        after_ms=round(context.now - call.request.head_received_at),
        **expected(call),
        version=context.freshness.version,
        candidates=candidates(context, call, known),
    )
