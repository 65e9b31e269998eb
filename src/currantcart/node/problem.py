"""Refusals as `application/problem+json` (RFC 9457)."""

from __future__ import annotations

import json
import math

from multidict import CIMultiDict

from currantcart import errors
from currantcart.http1 import headers

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:currantcart:error:"


def body_of(refusal: errors.Refusal, *, instance: str, call_id: str) -> bytes:
    """Returns the JSON body of a refusal."""
    fields: dict[str, str | int | float | bool] = {
        "type": TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "step": refusal.step,
        "peer": refusal.peer or instance,
        "not_run": refusal.not_run,
    }
    if call_id:
        fields["call_id"] = call_id
    if refusal.retry_after_ms > 0:
        fields["retry_after_ms"] = math.ceil(refusal.retry_after_ms)
    return json.dumps(fields).encode()


def headers_of(refusal: errors.Refusal, *, call_id: str) -> CIMultiDict[str]:
    """Returns the response headers of a refusal."""
    fields: CIMultiDict[str] = CIMultiDict({"Content-Type": CONTENT_TYPE})
    if refusal.status == 401:
        fields["WWW-Authenticate"] = "Bearer"
    if refusal.retry_after_ms > 0:
        seconds = max(1, math.ceil(refusal.retry_after_ms / 1_000))
        fields["Retry-After"] = str(seconds)
    if refusal.not_run:
        fields[headers.NOT_RUN] = "true"
    if call_id:
        fields[headers.CALL_ID] = call_id
    return fields


def raw_response(refusal: errors.Refusal, *, instance: str) -> bytes:
    """Returns a complete HTTP response to bytes that were no request."""
    body = body_of(refusal, instance=instance, call_id="")
    head = (
        f"HTTP/1.1 {refusal.status} Refused\r\n"
        f"Content-Type: {CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
