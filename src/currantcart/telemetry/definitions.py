"""Names, descriptions and labels of the metrics of a node."""

from __future__ import annotations

BUCKETS_MS = (
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0,
)  # fmt: skip

COUNTERS: dict[str, tuple[str, list[str]]] = {
    "requests": (
        "Requests of callers and targets that were ended, by outcome",
        ["service", "outcome"],
    ),
    "rejections": ("Requests that went nowhere, by cause", ["code"]),
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
    "guard_refusals": ("Requests refused beside the target", ["code"]),
    "target_requests": ("Requests sent to the target", []),
    "callers_closed": ("Idle connections closed for others", ["cause"]),
    "store_calls": ("Calls to the store, by result", ["call", "result"]),
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
    "queue_seconds": ("Wait for a slot beside the target", []),
    "target_seconds": ("From handing over to the target's answer", []),
    "digest_age_seconds": (
        "Age of the oldest evidence of live nodes in a digest",
        [],
    ),
}
GAUGES = {
    "config_version": "Configuration version in force",
    "config_age_seconds": "Age of the proof that it is the newest",
    "domains_evacuated": "Failure domains whose targets get no requests",
    "peers": "Peers known",
    "peers_silent_ratio": "Part of the fleet that is not heard",
    "streams": "Open streams with peers",
    "relaying": "1 while the node relays statuses, else 0",
    "calls": "Requests on their way",
    "caller_connections": "Connections of callers that are open",
    "running": "Requests at the target",
    "waiting": "Requests that wait for the target",
    "slots": "Requests that the target is given at once",
    "target_limit": "Requests per second that the target accepts, if limited",
    "pressure": "Part of the demand on the target that has to go",
    "rates_exhausted": "Workspaces that have come to the end of their rate",
    "budgets_exhausted": "Services whose repeats are used up",
    "retry_budget_nodes": "Nodes that the retry budgets assume",
    "retry_budget_nodes_age_seconds": "Time since that number changed last",
    "log_bytes_dropped": "Bytes of log lines that nobody took",
}
SERVICE_GAUGES = {
    "retry_budget_requests": "Requests of the window that the budget counts",
    "retry_budget_repeats": "Repeats of the window",
    "retry_budget_left": "Repeats that this node may still send",
    "retry_budget_share": "This node's part of the fixed number of repeats",
}
