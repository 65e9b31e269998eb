"""What is counted and logged as a request ends."""

from __future__ import annotations

from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.routing import picker

SAMPLED = 0.002
"""Part of the requests that go well that get a line."""
CANDIDATES_MAX = 8


def count_end(
    context: proxy_context.Context, call: call_module.Call, outcome: str
) -> None:
    """Counts a request that has ended."""
    counts = context.counts
    counts.add("requests", call.service, outcome)
    since = context.now - call.request.begun_at
    counts.observe("request_seconds", since, call.service)


def log_answer(
    context: proxy_context.Context, call: call_module.Call, status: int
) -> None:
    """Logs an answer that came late, and a few of the others."""
    after_ms = context.now - call.request.begun_at
    objective_ms = call.request.route.objective_ms
    late = after_ms > objective_ms
    if not late and context.rng.random() >= SAMPLED:
        return
    context.log.event(
        "answered_late" if late else "answered",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        status=status,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.passed_over)),
        after_ms=round(after_ms),
        objective_ms=round(objective_ms),
        version=context.freshness.version,
    )


def log_left(context: proxy_context.Context, call: call_module.Call) -> None:
    """Logs a request whose caller has left before its answer."""
    context.log.event(
        "caller_left",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.passed_over)),
        after_ms=round(context.now - call.request.begun_at),
    )


def candidates(
    context: proxy_context.Context,
    call: call_module.Call,
    known: list[picker.Target],
) -> str:
    """Returns the targets that were known, with their loads and ages."""
    now = context.now
    return ",".join(target.text(now) for target in known[:CANDIDATES_MAX])


def log_end(
    context: proxy_context.Context,
    call: call_module.Call,
    *,
    code: str,
    status: int,
    known: list[picker.Target],
) -> None:
    """Logs a request that did not end well."""
    context.log.event(
        "request_failed",
        id=call.request.request_id,
        route=call.request.route.name,
        service=call.service,
        status=status,
        code=code,
        outcomes=",".join(item.name.lower() for item in call.outcomes),
        had_it=",".join(sorted(call.passed_over)),
        after_ms=round(context.now - call.request.begun_at),
        version=context.freshness.version,
        candidates=candidates(context, call, known),
    )
