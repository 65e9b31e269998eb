"""Deadlines: the least of caller, patience and parent."""

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
      errors.Refusal: It is no number from above 0 to an hour.
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
            "no time is left for this call",
            not_run=True,
        )
    return deadline_ms
