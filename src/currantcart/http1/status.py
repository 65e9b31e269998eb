"""HTTP status codes and status lines."""

from __future__ import annotations

import http

NO_SUCCESS = 300
"""Lowest status above the successful ones (2xx)."""
SERVER_ERROR = 500
"""Lowest status of a server error (5xx): the target failed."""
STATUS_MIN, STATUS_MAX = 100, 599
REASONS = {status.value: status.phrase for status in http.HTTPStatus}
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n".encode()
    for status in range(STATUS_MIN, STATUS_MAX + 1)
}


def is_valid(status: int) -> bool:
    """Returns whether a number is a status of HTTP."""
    return STATUS_MIN <= status <= STATUS_MAX
