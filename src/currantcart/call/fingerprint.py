"""Fingerprints of requests: equal for a request and its repeats.

A caller that repeats a request gives it a new id, and so does a target that
makes the same call again in a later run. What stays the same is what the
request asks for: its workspace, route, method, path, query and body. Headers
are left out, since clients and intermediaries add some that differ between
attempts.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 8
"""Any two of a million requests share one with a probability of 3e-8."""
NONE = 0
"""Fingerprint of a request of which none is known."""


def of(
    *, workspace: str, route: str, method: str, path: str, body: bytes
) -> int:
    """Returns the fingerprint of a request, never `NONE`.

    Args:
      workspace: Workspace that it belongs to; empty for none.
      route: Name of its route.
      method: HTTP method.
      path: Path and query.
      body: Its complete body.
    """
    # None of the first fields contains a NUL, so the fields can't run together.
    head = f"{workspace}\0{route}\0{method}\0{path}\0"
    digest = hashlib.blake2b(
        head.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    )
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") or 1


def show(fingerprint: int) -> str:
    """Returns a fingerprint as it is shown in logs and commands."""
    return f"{fingerprint:016x}"
