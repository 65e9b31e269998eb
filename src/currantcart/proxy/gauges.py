"""Gauges of a node, read when its metrics are rendered."""

from __future__ import annotations

from collections.abc import Callable

from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context
from currantcart.proxy import memory
from currantcart.proxy import state_log as state_log_module
from currantcart.proxy.callers import frontend
from currantcart.proxy.requests import outbound
from currantcart.proxy.streams import peers as peers_module
from currantcart.proxy.targets import guard


def register(
    context: proxy_context.Context,
    *,
    local_guard: guard.Guard,
    router: outbound.Outbound,
    peers: peers_module.Peers,
    callers: frontend.CallerServer,
    state_log: state_log_module.StateLog,
    silent_share: Callable[[], float],
    failing_work: Callable[[], int],
    memory_watch: memory.MemoryWatch,
) -> None:
    """Registers the gauges of a node.

    Args:
      context: Shared state of the node.
      local_guard: Admission to the local target.
      router: Routing of callers' requests.
      peers: The other nodes.
      callers: Connections of callers.
      state_log: Log of state changes.
      silent_share: Returns the share of the fleet that is silent, 0 to 1.
      failing_work: Returns how much background work has failed recently.
      memory_watch: Resident memory of the process.
    """
    known, queue = context.freshness, local_guard.queue
    known_ends = context.quarantine
    context.counts.gauges = {
        "config_version": lambda: known.version,
        "config_age_seconds": lambda: known.age(context.now) / 1e3,
        "domains_evacuated": lambda: len(context.evacuations.domains),
        "peers": lambda: len(peers.by_instance),
        "peers_silent_ratio": silent_share,
        "streams": lambda: len(peers.dialled) + len(peers.accepted),
        "relaying": lambda: float(peers.relay.is_acting),
        "calls": lambda: len(router.calls),
        "resident_bytes": lambda: memory_watch.resident,
        "held_bytes": lambda: context.held.held,
        "caller_connections": lambda: len(callers.connections),
        "running": lambda: queue.running,
        "waiting": lambda: queue.waiting,
        "slots": lambda: queue.slots,
        "target_limit": lambda: local_guard.statements.limit,
        "pressure": lambda: local_guard.overload.gauge.level,
        "rates_exhausted": lambda: len(state_log.over_rate),
        "budgets_exhausted": lambda: len(state_log.spent),
        "retry_budget_nodes": lambda: router.retries.slack_share.nodes,
        "retry_budget_nodes_age_seconds": router.retries.nodes_age,
        "requests_suspected": lambda: known_ends.count(
            (
                quarantine.Verdict.SUSPECT,
                quarantine.Verdict.LAST_TRIAL,
            ),
            context.now,
        ),
        "requests_quarantined": lambda: known_ends.count(
            (quarantine.Verdict.QUARANTINED,), context.now
        ),
        "rate_waiting": lambda: callers.rate_wait.queue.requests,
        "background_failing": failing_work,
        "log_bytes_dropped": lambda: context.log.dropped_bytes,
    }
    context.counts.service_gauges = {
        **router.retries.gauges(),
        **router.ingress.gauges(),
    }
