"""Decision log: logfmt lines, written without blocking.

Lines are buffered for up to `FLUSH_SECONDS` and written together, so that a
request does not cost a system call for each line. At most `LINES_A_SECOND`
lines are logged per second. Further lines are dropped and counted by event;
the counts are logged before the first line of a later second. Logging never
raises an error, whatever the values are: they may be what a stranger has sent.
"""

from __future__ import annotations

import asyncio
import collections
import datetime
import os
from collections.abc import Callable

import structlog

LINES_A_SECOND = 200
BUFFER_BYTES_MAX = 256 * 1024
FLUSH_SECONDS = 0.05
SECOND_MS = 1_000.0
VALUE_CHARACTERS_MAX = 1_000
"""Length to which a text is shortened."""

RENDER = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "event"], bool_as_flag=False
)


class DecisionLog:
    """Rate-limited, buffered log of the decisions of one node.

    Attributes:
      instance: Instance that each line names; none if empty.
      dropped: Lines dropped in the current second by the rate limit, by event.
      dropped_bytes: Total bytes dropped because the buffer or the pipe was
        full.
      reported_bytes: The part of `dropped_bytes` that was already logged.
      remainder: Unwritten end of a line that was written in part.
    """

    def __init__(
        self,
        *,
        instance: str,
        now: Callable[[], float],
        wall: Callable[[], float],
        write: Callable[[bytes], int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.instance = instance
        self.now = now
        self.wall = wall
        self.write = write
        self.loop = loop
        self.buffer: list[bytes] = []
        self.buffered = 0
        self.remainder = b""
        self.reported_bytes = 0
        self.second = 0.0
        self.lines = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        self.dropped_bytes = 0
        self.timer: asyncio.TimerHandle | None = None

    def event(self, event: str, **values: object) -> None:
        """Logs a decision, unless the rate limit of this second is reached."""
        now = self.now()
        if now - self.second >= SECOND_MS:
            self.begin_second(now)
        if self.lines >= LINES_A_SECOND:
            self.dropped[event] += 1
            return
        self.lines += 1
        self.append(event, values)

    def last(self, event: str, **values: object) -> None:
        """Logs the last line of the process, whatever the rate, and writes."""
        self.flush()
        self.append(event, values)
        self.flush()

    def begin_second(self, now: float) -> None:
        """Starts a new second, and logs what has been dropped since."""
        self.second = now
        self.lines = 0
        if self.dropped_bytes > self.reported_bytes:
            self.append(
                "bytes_left_out",
                {"bytes": self.dropped_bytes - self.reported_bytes},
            )
            self.reported_bytes = self.dropped_bytes
        if self.dropped:
            left_out: dict[str, object] = {
                f"n_{key}": n for key, n in self.dropped.items()
            }
            self.dropped.clear()
            self.append("lines_left_out", left_out)

    def append(self, event: str, values: dict[str, object]) -> None:
        """Formats a line and adds it to the buffer."""
        try:
            line = self.format(event, values)
        except Exception as error:
            line = self.format(
                "line_unwritable", {"of": event, "error": type(error).__name__}
            )
        self.keep(line.encode() + b"\n")

    def format(self, event: str, values: dict[str, object]) -> str:
        """Returns a line without its end."""
        stamp = datetime.datetime.fromtimestamp(
            self.wall() / SECOND_MS, datetime.UTC
        )
        pairs: dict[str, object] = {
            "timestamp": stamp.isoformat(timespec="milliseconds"),
            "event": event,
        }
        if self.instance:
            pairs["instance"] = self.instance
        for key, value in values.items():
            if type(value) is str and len(value) > VALUE_CHARACTERS_MAX:
                value = value[:VALUE_CHARACTERS_MAX]
            pairs[key] = value
        line = RENDER(None, "", pairs)
        assert isinstance(line, str)
        return line if line.isprintable() else escape(line)

    def keep(self, line: bytes) -> None:
        """Buffers a line until the next flush; drops it if there is no room."""
        if self.buffered + len(line) > BUFFER_BYTES_MAX:
            self.dropped_bytes += len(line)
            return
        self.buffer.append(line)
        self.buffered += len(line)
        if self.timer is None:
            self.timer = self.loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self) -> None:
        """Writes the buffer; drops what the pipe does not accept at once.

        The end of a line that was written in part is kept for the next flush:
        an unfinished line would run into the line that follows it.
        """
        self.timer = None
        data = b"".join((self.remainder, *self.buffer))
        self.buffer.clear()
        self.buffered = 0
        self.remainder = b""
        if not data:
            return
        try:
            written = self.write(data)
        except OSError:
            written = 0
        if written == len(data):
            return
        if written and data[written - 1 : written] != b"\n":
            end = data.index(b"\n", written) + 1
            self.remainder = data[written:end]
            written = end
        self.dropped_bytes += len(data) - written


def escape(text: str) -> str:
    """Returns a text with the characters escaped that can't be printed.

    Some of them end a line for some readers, and others make `grep` take the
    log for binary data.
    """
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode("ascii")
        for character in text
    )


def to_standard_output(data: bytes) -> int:
    """Writes to standard output, which must be non-blocking."""
    return os.write(1, data)
