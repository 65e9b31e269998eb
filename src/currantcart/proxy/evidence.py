"""Evidence against requests: recorded, logged and counted at one node."""

from __future__ import annotations

from currantcart.call import fingerprint as fingerprints
from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context

LOGGED = frozenset(
    {quarantine.Verdict.LAST_TRIAL, quarantine.Verdict.QUARANTINED}
)
"""Verdicts that each node logs.

Dozens of requests run at a target that ends, and most never see another end;
the node beside it logs them.
"""


def record_end(
    context: proxy_context.Context,
    fingerprint: int,
    end: quarantine.End,
    *,
    source: str,
    own: bool = False,
) -> None:
    """Counts the end of a target against a request that it ran.

    Args:
      context: Shared state of the node.
      fingerprint: Fingerprint of the request; `NONE` if it is not known.
      end: The end.
      source: Instance that saw it.
      own: Whether this node saw it itself.
    """
    known, now = context.quarantine, context.now
    if fingerprint == fingerprints.NONE:
        return
    before = known.verdict(fingerprint, now)
    if not known.record_end(fingerprint, end, now, own=own):
        return
    after = known.verdict(fingerprint, now)
    if after is before or after not in LOGGED:
        return
    ends = known.records[fingerprint].ends
    context.log.event(
        "request_quarantined"
        if after is quarantine.Verdict.QUARANTINED
        else "request_suspected",
        fingerprint=fingerprints.show(fingerprint),
        ends=len(ends),
        targets=",".join(item.target_id for item in ends),
        source=source,
    )


def record_answer(context: proxy_context.Context, fingerprint: int) -> None:
    """Records a complete answer to a request, which clears it."""
    if fingerprint == fingerprints.NONE:
        return
    known, now = context.quarantine, context.now
    before = known.verdict(fingerprint, now)
    known.record_answer(fingerprint, now)
    if before in LOGGED:
        log_cleared(context, fingerprint, cause="answered")


def clear(
    context: proxy_context.Context,
    fingerprint: int,
    *,
    keys: list[quarantine.Key] | None = None,
    cause: str,
) -> bool:
    """Clears a request of ends, and returns whether any of them has counted.

    Args:
      context: Shared state of the node.
      fingerprint: Fingerprint of the request.
      keys: The ends; None for all that are known.
      cause: Who or what clears it, for the log.
    """
    known, now = context.quarantine, context.now
    before = known.verdict(fingerprint, now)
    cleared = known.clear(fingerprint, now, keys)
    if cleared and before in LOGGED:
        log_cleared(context, fingerprint, cause=cause)
    return cleared


def log_cleared(
    context: proxy_context.Context, fingerprint: int, *, cause: str
) -> None:
    """Logs that a request is no longer held to end targets."""
    context.log.event(
        "request_cleared",
        fingerprint=fingerprints.show(fingerprint),
        cause=cause,
    )
