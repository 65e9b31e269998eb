"""Ranges and forms of values that others write.

The types apply when a message is decoded, before its values become state.
Values within these bounds can be compared, added, converted to milliseconds,
encoded for peers and the store, and written into a header.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated

from msgspec import Meta

INT64_MAX = 2**63 - 1
COUNT_MAX = 2**53 - 1
"""Largest count; a float holds it exactly."""
SLOTS_MAX = 1_000_000
UNIX_MS_MAX = 4_102_444_800_000
"""Start of the year 2100, in milliseconds since 1970."""
SECONDS_MAX = 1e9
FLOAT_MAX = 1e15
"""Largest float in a frame; sums and products of a few of them are finite."""
NAME_CHARACTERS_MAX = 200
PORT_MAX = 65_535

Ordinal = Annotated[int, Meta(ge=0, le=INT64_MAX)]
"""Version, revision, lease or sequence number."""
Count = Annotated[int, Meta(ge=0, le=COUNT_MAX)]
Integer = Annotated[int, Meta(ge=-COUNT_MAX, le=COUNT_MAX)]
Slots = Annotated[int, Meta(ge=0, le=SLOTS_MAX)]
"""Requests that a target runs concurrently."""
UnixMs = Annotated[int, Meta(ge=0, le=UNIX_MS_MAX)]
"""Wall-clock time in milliseconds since 1970; 0 if unknown."""
Seconds = Annotated[float, Meta(ge=0.0, le=SECONDS_MAX)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=SECONDS_MAX * 1_000.0)]
RemainingSeconds = Annotated[float, Meta(ge=-SECONDS_MAX, le=SECONDS_MAX)]
"""Time until an event; negative after it."""
Finite = Annotated[float, Meta(ge=-FLOAT_MAX, le=FLOAT_MAX)]
Amount = Annotated[float, Meta(ge=0.0, le=FLOAT_MAX)]
Age = Annotated[float, Meta(ge=-FLOAT_MAX)]
"""Time since an event; infinite if unknown."""
Moment = Annotated[float, Meta(le=FLOAT_MAX)]
"""Time on a clock; negative infinity before the first event."""
Name = Annotated[str, Meta(max_length=NAME_CHARACTERS_MAX)]
Printable = Annotated[str, Meta(pattern=r"\A[^\x00-\x1f\x7f]*\Z")]
"""Text without control characters, which may be a part of a header line."""
Method = Annotated[str, Meta(max_length=32, pattern=r"\A[A-Z-]+\Z")]
RequestTarget = Annotated[
    str, Meta(pattern=r"\A[^\x00\r\n \u0100-\U0010ffff]+\Z")
]
"""Path and query of a request line, as Latin-1."""
Identifier = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=NAME_CHARACTERS_MAX,
        pattern=r"\A[\x21-\x7e]+\Z",
    ),
]
"""Id that is sent as the value of a header."""

OptionalIdentifier = Annotated[
    str,
    Meta(max_length=NAME_CHARACTERS_MAX, pattern=r"\A[\x21-\x7e]*\Z"),
]
"""The same; empty if there is none."""


def is_address(text: str) -> bool:
    """Returns whether a text is IP:PORT, to be dialled without a look-up."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()):
        return False
    try:
        found = ipaddress.ip_address(host)
    except ValueError:
        return False
    if found.version == 6 and found.scope_id is not None:
        return False
    return len(port) <= len(str(PORT_MAX)) and 1 <= int(port) <= PORT_MAX


def parse_number(
    text: bytes, *, maximum: float, minimum: float = 0.0
) -> float | None:
    """Returns the number in a header; None if it is none, or out of range."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if minimum <= number <= maximum else None
