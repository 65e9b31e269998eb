"""Limits the bytes of a connection that belong to no body.

These are heads, framing of chunks and trailers. A peer may send them without
end, and a parser keeps an incomplete line in memory, which it copies with each
part that it receives.
"""

from __future__ import annotations

from collections.abc import Iterator

BYTES_MAX = 64 * 1024
FRAMING_OF_BODY = 8
"""Bytes of framing that each byte of a body allows for.

A chunk of one byte is framed by five.
"""
FEED_BYTES_MAX = 64 * 1024
"""Bytes that are parsed before the limit is checked."""


def parts(data: bytes) -> Iterator[bytes]:
    """Yields received bytes in parts after each of which a limit is checked."""
    for start in range(0, len(data), FEED_BYTES_MAX):
        yield data[start : start + FEED_BYTES_MAX]


class FramingLimit:
    """Counts the bytes of one exchange that belong to no body.

    Attributes:
      limit: The most that are accepted.
      count: How many were received, less those that a body allows for.
      body: Bytes of the body in the part that is being parsed.
    """

    def __init__(self, limit: int = BYTES_MAX) -> None:
        self.limit = limit
        self.count = 0
        self.body = 0

    def reset(self) -> None:
        """Starts to count for another exchange."""
        self.count = self.body = 0

    def add_body(self, size: int) -> None:
        """Counts bytes of a body that the parser has found."""
        self.body += size

    def is_exceeded_by(self, size: int) -> bool:
        """Counts a part that was parsed; returns whether it is too much.

        Args:
          size: Bytes of the part, with those that were counted as body.
        """
        framing = size - self.body
        self.count = max(0, self.count + framing - FRAMING_OF_BODY * self.body)
        self.body = 0
        return self.count > self.limit
