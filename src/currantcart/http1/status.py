"""Statuses of answers and their lines."""

from __future__ import annotations

import http

NO_SUCCESS = 300
"""The first status that is no success."""
SERVER_ERROR = 500
"""The first status that says that the target failed."""
REASONS = {status.value: status.phrase for status in http.HTTPStatus}
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n".encode()
    for status in range(100, 600)
}
