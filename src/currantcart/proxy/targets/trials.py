"""Refusal of requests under which targets have ended, beside the target."""

from __future__ import annotations

from collections.abc import Iterable

from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import job as job_module

QUARANTINED = "request_quarantined"
ALREADY_RUNNING = "suspect_running"
"""The same request, under which a target has ended, runs here already."""
OTHER_TRIAL = "trial_running"
"""Another request is in its last trial here."""


def refusal_reason(
    context: proxy_context.Context,
    job: job_module.Job,
    running: Iterable[job_module.Job],
) -> str:
    """Returns why a request must not run now; empty if it may.

    Args:
      context: Shared state of the node.
      job: The request.
      running: Requests that hold a slot.
    """
    known, now = context.quarantine, context.now
    fingerprint = job.opening.fingerprint
    verdict = known.verdict(fingerprint, now)
    if verdict is quarantine.Verdict.CLEAR:
        return ""
    if verdict is quarantine.Verdict.QUARANTINED:
        return QUARANTINED
    others = [
        other.opening.fingerprint for other in running if other is not job
    ]
    if fingerprint in others:
        return ALREADY_RUNNING
    if verdict is quarantine.Verdict.LAST_TRIAL and any(
        known.verdict(other, now) is quarantine.Verdict.LAST_TRIAL
        for other in others
    ):
        return OTHER_TRIAL
    return ""
