"""Names, descriptions and labels of the metrics of a node."""

from __future__ import annotations

BUCKETS_MS = (
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0,
)  # fmt: skip

BUCKETS_OF = {
    "placed_slowness": (
        500.0, 600.0, 700.0, 800.0, 900.0, 1_000.0, 1_200.0, 1_500.0, 2_000.0,
        3_000.0, 5_000.0,
    ),
}  # fmt: skip
"""Buckets of histograms of ratios, in thousandths."""

COUNTERS: dict[str, tuple[str, list[str]]] = {
    "requests": (
        "Requests of callers and targets that were ended, by outcome",
        ["service", "outcome"],
    ),
    "rejections": ("Requests that went nowhere, by cause", ["code"]),
    "rate_decisions": (
        "Decisions about requests that found no token of their rate",
        ["decision"],
    ),
    "attempts": (
        "Attempts at targets, by how they ended",
        ["service", "outcome"],
    ),
    "repeats": (
        "Arrivals beyond the first of a request, by cause",
        ["service", "cause"],
    ),
    "repeats_refused": (
        "Repeats that the retry budget refused, by cause",
        ["service", "cause"],
    ),
    "budgeted_requests": (
        "Requests that the retry budget of their service counts",
        ["service"],
    ),
    "quarantine_refusals": (
        "Requests not sent since too many targets have ended under them",
        ["service"],
    ),
    "guard_refusals": ("Requests refused beside the target", ["code"]),
    "handed_back": ("Waiting requests handed back, by cause", ["cause"]),
    "handed_back_ended": (
        "Requests that were handed back, by how they ended",
        ["outcome"],
    ),
    "target_requests": ("Requests sent to the target", []),
    "target_ends": (
        "Ends of the target's process while it ran requests, by evidence",
        ["cause"],
    ),
    "callers_closed": ("Idle connections closed for others", ["cause"]),
    "store_calls": ("Calls to the store, by result", ["call", "result"]),
    "placed": (
        "Requests of known work, by how near the chosen target is",
        ["service", "place"],
    ),
    "fair_shed": (
        "Requests shed because their workspace was above its share",
        ["service"],
    ),
    "unhandled_errors": ("Errors that no code has handled, by type", ["kind"]),
    "background_failures": ("Failures of background work, by name", ["work"]),
    "links_lost": ("Streams to peers that were lost", ["reason"]),
    "digests": (
        "Digests of relays: received, or streams that they were sent on",
        ["direction"],
    ),
}
HISTOGRAMS: dict[str, tuple[str, list[str]]] = {
    "request_seconds": (
        "From a request's head to its answer",
        ["service"],
    ),
    "rate_wait_seconds": ("Wait for a token of the rate", ["decision"]),
    "queue_seconds": ("Wait for a slot beside the target", []),
    "handed_back_wait_seconds": (
        "Wait of a request until it was handed back",
        [],
    ),
    "placed_slowness": (
        "Work time at the chosen target over that at the median one",
        ["service"],
    ),
    "target_seconds": ("From handing over to the target's answer", []),
    "fair_shed_excess": (
        "Usage of a workspace over its share, of requests shed for it",
        [],
    ),
    "digest_age_seconds": (
        "Age of the oldest evidence of live nodes in a digest",
        [],
    ),
}


def buckets(name: str) -> tuple[float, ...]:
    """Returns the upper bounds of a histogram's buckets, in thousandths."""
    return BUCKETS_OF.get(name, BUCKETS_MS)


GAUGES = {
    "config_version": "Configuration version in force",
    "config_age_seconds": "Age of the proof that it is the newest",
    "domains_evacuated": "Failure domains whose targets get no requests",
    "peers": "Peers known",
    "peers_silent_ratio": "Part of the fleet that is not heard",
    "streams": "Open streams with peers",
    "relaying": "1 while the node relays statuses, else 0",
    "calls": "Requests on their way",
    "resident_bytes": "Resident memory of the process",
    "held_bytes": "Bytes of bodies in memory, one copy of each",
    "caller_connections": "Connections of callers that are open",
    "running": "Requests at the target",
    "waiting": "Requests that wait for the target",
    "slots": "Requests that the target is given at once",
    "target_limit": "Requests per second that the target accepts, if limited",
    "pressure": "Part of the demand on the target that has to go",
    "requests_suspected": "Requests under which a target has ended",
    "requests_quarantined": "Requests that are sent to no target",
    "rate_waiting": "Requests that wait for a token of their rate",
    "rates_exhausted": "Workspaces that have come to the end of their rate",
    "budgets_exhausted": "Services whose repeats are used up",
    "retry_budget_nodes": "Nodes that the retry budgets assume",
    "retry_budget_nodes_age_seconds": "Time since that number changed last",
    "background_failing": "Background work that failed in the last 10 s",
    "log_bytes_dropped": "Bytes of log lines that nobody took",
}
SERVICE_GAUGES = {
    "retry_budget_requests": "Requests of the window that the budget counts",
    "retry_budget_repeats": "Repeats of the window",
    "retry_budget_left": "Repeats that this node may still send",
    "retry_budget_share": "This node's part of the fixed number of repeats",
    "fair_share_excess": "Largest usage of a workspace over its share",
}
