"""Placement and refusal of requests under which targets have ended."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context
from currantcart.proxy import evidence
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.targets import trials
from currantcart.routing import picker

PEER_LOST = "peer_lost"
"""Code of an attempt whose stream was lost."""
FINAL = frozenset({trials.QUARANTINED, trials.ALREADY_RUNNING})
"""Refusals after which no other target is tried: it would be one too many."""


def is_quarantined(
    context: proxy_context.Context, call: call_module.Call
) -> bool:
    """Returns whether a request must not be sent, and notes why.

    Its caller is told to return when the request gets another trial: until
    then each node refuses it.
    """
    known, now = context.quarantine, context.now
    verdict = known.verdict(call.fingerprint, now)
    if verdict is not quarantine.Verdict.QUARANTINED:
        return False
    call.last_code = trials.QUARANTINED
    call.retry_after_ms = known.left_ms(call.fingerprint, now)
    return True


def record_lost(
    context: proxy_context.Context,
    call: call_module.Call,
    code: str,
    end_number: int,
) -> None:
    """Counts a lost attempt against its request if its target has ended.

    A target whose node is gone is assumed to have ended with it, until it is
    heard of again.

    Args:
      context: Shared state of the node.
      call: The request, before its attempt is ended.
      code: Why the attempt was lost.
      end_number: Number of the end of the target; 0 if it has not ended.
    """
    target, now = call.target, context.now
    if target is None:
        return
    if not end_number and (
        code != PEER_LOST
        or context.quarantine.was_answered(call.fingerprint, now)
    ):
        return
    evidence.record_end(
        context,
        call.fingerprint,
        quarantine.End(target.target_id, end_number, now),
        source=target.instance,
    )


def risks_last_target(
    context: proxy_context.Context,
    call: call_module.Call,
    *,
    known: Sequence[picker.Target],
    reachable: Iterable[picker.Target],
) -> bool:
    """Returns whether a request's last trial would be at the only target left.

    If it ended that one too, its whole service would be gone. A service of a
    single target has no other choice.

    Args:
      context: Shared state of the node.
      call: The request.
      known: All targets of its service.
      reachable: Those that can be reached.
    """
    now = context.now
    verdict = context.quarantine.verdict(call.fingerprint, now)
    if verdict is not quarantine.Verdict.LAST_TRIAL or len(known) <= 1:
        return False
    if sum(target.ready for target in reachable) != 1:
        return False
    call.last_code = "last_target"
    return True


def choose(
    context: proxy_context.Context,
    call: call_module.Call,
    reachable: Iterable[picker.Target],
) -> picker.Target | None:
    """Returns the target for a suspect request; None if it is no suspect.

    All nodes choose the same target for it, as long as they know the same
    targets. Its guard runs the request once at a time, so it does not end
    several targets at once, whoever sends it.

    Args:
      context: Shared state of the node.
      call: The request.
      reachable: Targets that can be reached.
    """
    now = context.now
    verdict = context.quarantine.verdict(call.fingerprint, now)
    if verdict is quarantine.Verdict.CLEAR:
        return None
    return max(
        (
            target
            for target in reachable
            if target.ready
            and target.closed_until <= now
            and target.instance not in call.tried_instances
        ),
        key=lambda target: weight(call.fingerprint, target.instance),
        default=None,
    )


def weight(fingerprint: int, instance: str) -> bytes:
    """Returns the weight of a target for a request (rendezvous hashing)."""
    return hashlib.blake2b(
        f"{fingerprint}/{instance}".encode(), digest_size=8
    ).digest()
