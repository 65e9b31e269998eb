"""Deadline of a call: the earliest set by caller, service or parent."""

from __future__ import annotations

import math

from currantcart import errors

TIMEOUT_MS_MAX = 3_600_000


def parse_timeout(text: str | None) -> float | None:
    """Parses the caller's `Currantcart-Timeout-Ms` header.

    Args:
      text: Header value, or None without the header.

    Returns:
      Milliseconds, or None without the header.

    Raises:
      errors.Refusal: It is not a number above 0 and up to one hour.
    """
    if text is None:
        return None
    try:
        value = float(text) if len(text) <= 16 else math.nan
    except ValueError:
        value = math.nan
    if not 0 < value <= TIMEOUT_MS_MAX:
        raise errors.Refusal(
            errors.Code.DEADLINE_INVALID,
            errors.Step.DEADLINE,
            f"timeout: found {text[:16]!r}, allowed: "
            f"milliseconds above 0 up to {TIMEOUT_MS_MAX}",
            not_run=True,
        )
    return value


def earliest(
    *,
    now: float,
    timeout_ms: float | None,
    patience_ms: float,
    parent_deadline_ms: float | None,
) -> float:
    """Returns the deadline of a call on this node's clock.

    Args:
      now: Milliseconds of the node's clock.
      timeout_ms: The caller's time-out; None without one.
      patience_ms: How long callers of the service wait for an answer.
      parent_deadline_ms: Deadline of the parent call; None for a root call.

    Raises:
      errors.Refusal: The parent's deadline has passed.
    """
    deadline_ms = now + patience_ms
    if timeout_ms is not None:
        deadline_ms = min(deadline_ms, now + timeout_ms)
    if parent_deadline_ms is not None:
        deadline_ms = min(deadline_ms, parent_deadline_ms)
    if deadline_ms <= now:
        raise errors.Refusal(
            errors.Code.DEADLINE_EXCEEDED,
            errors.Step.DEADLINE,
            "no time is left before the deadline of the call",
            not_run=True,
        )
    return deadline_ms
