"""Names of header fields, and the rules for forwarding them."""

from __future__ import annotations

from collections.abc import Iterable

from multidict import CIMultiDict

AUTHORIZATION = "Authorization"
TIMEOUT = "Currantcart-Timeout-Ms"
CONTEXT = "Currantcart-Context"
CALL_ID = "Currantcart-Call-Id"
NOT_RUN = "Currantcart-Not-Run"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"
BEARER = "bearer "

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
# Fields with this prefix are reserved: one forged by a caller must not reach a
# target, and one sent by a target must not reach a caller.
RESERVED_PREFIX = "currantcart-"
FROM_CALLER_STRIPPED = HOP_BY_HOP | {"authorization", "host", "traceparent"}


def connection_tokens(value: str) -> frozenset[str]:
    """Returns the field names that a `Connection` field lists as hop-by-hop."""
    return frozenset(token.strip().lower() for token in value.split(","))


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
    *,
    stripped: frozenset[str],
    connection: str,
) -> list[list[str]]:
    """Returns the end-to-end headers, without the reserved ones.

    Args:
      headers: Headers as received.
      stripped: Lower-case names to leave out.
      connection: Value of the `Connection` field; empty without one.

    Returns:
      Pairs of name and value.
    """
    if connection and connection.lower() not in ("keep-alive", "close"):
        stripped = stripped | connection_tokens(connection)
    kept: list[list[str]] = []
    for name, value in headers:
        lower = name.lower()
        if lower not in stripped and not lower.startswith(RESERVED_PREFIX):
            kept.append([name, value])
    return kept


def to_multidict(pairs: Iterable[Iterable[str]]) -> CIMultiDict[str]:
    """Returns pairs of name and value as a multidict for aiohttp."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in pairs:
        headers.add(name, value)
    return headers


def bearer_key(value: str | None) -> str | None:
    """Returns the bearer key of an `Authorization` field, or None."""
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip() or None
