"""Errors of decoders, for bytes that others have written."""

from __future__ import annotations

import msgspec

ERRORS = (msgspec.DecodeError, RecursionError)
"""What msgspec raises for bytes that are no valid message.

Deeply nested ones exceed the recursion limit, also in fields that are ignored.
"""
