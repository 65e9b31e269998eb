"""Reports exceptions and warnings that no code of the node has handled.

The event loop, destructors and libraries print them to standard error by
default: without a bound, and with writes that wait for the reader.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import pathlib
import sys
import types
from collections.abc import Callable
from typing import Any

from currantcart.telemetry import counts, decisions

PACKAGE = f"{pathlib.Path(__file__).parents[1]}{os.sep}"
TEXT_CHARACTERS_MAX = 200
REPEAT_MS = 1_000.0
"""Shortest time between two lines about the same place in the code."""


@dataclasses.dataclass(slots=True)
class Place:
    """What was reported about one place in the code.

    Attributes:
      logged_at: When the last line was logged.
      repeats: Errors since that line.
    """

    logged_at: float
    repeats: int = 0


class ErrorReporter:
    """Logs and counts unhandled errors.

    Attributes:
      places: Reports by error type and place in the code.
    """

    def __init__(
        self,
        *,
        log: decisions.DecisionLog,
        recorded: counts.Counts,
        now: Callable[[], float],
    ) -> None:
        self.log = log
        self.counts = recorded
        self.now = now
        self.places: dict[tuple[str, str], Place] = {}

    def report(self, error: BaseException | None, source: str) -> None:
        """Counts an error, and logs it unless its place was logged just now.

        Args:
          error: The error; None if there is only a message.
          source: The task or callback that raised it, or the message.
        """
        kind = type(error).__name__ if error is not None else ""
        place = own_place(error)
        self.counts.add("unhandled_errors", kind)
        if (repeats := self.take_repeats(kind, place or source)) is None:
            return
        self.log.event(
            "unhandled_error",
            kind=kind,
            detail=shorten(str(error)) if error is not None else "",
            place=place,
            source=shorten(source),
            repeats=repeats,
        )

    def take_repeats(self, kind: str, place: str) -> int | None:
        """Returns the errors since a place's last line; None if not due."""
        now = self.now()
        known = self.places.get((kind, place))
        if known is not None and now - known.logged_at < REPEAT_MS:
            known.repeats += 1
            return None
        if known is None and len(self.places) >= counts.LABEL_SETS_MAX:
            self.places.clear()
        self.places[kind, place] = Place(now)
        return known.repeats if known is not None else 0

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, details: dict[str, Any]
    ) -> None:
        """Reports an error that the event loop has caught."""
        del loop
        self.report(details.get("exception"), source_of(details))

    def handle_unraisable(self, raised: Any) -> None:
        """Reports an error of a destructor, which has no caller."""
        named = getattr(raised.object, "__qualname__", "")
        self.report(raised.exc_value, named or type(raised.object).__name__)


class LogHandler(logging.Handler):
    """Passes records that libraries log to an `ErrorReporter`."""

    def __init__(self, reporter: ErrorReporter) -> None:
        super().__init__(logging.WARNING)
        self.reporter = reporter

    def emit(self, record: logging.LogRecord) -> None:
        """Reports one record."""
        error = record.exc_info[1] if record.exc_info else None
        self.reporter.report(error, f"{record.name}: {record.getMessage()}")


def install(loop: asyncio.AbstractEventLoop, reporter: ErrorReporter) -> None:
    """Has everything reported that would be printed to standard error."""
    loop.set_exception_handler(reporter.handle_loop_error)
    sys.unraisablehook = reporter.handle_unraisable
    logging.captureWarnings(capture=True)
    logging.getLogger().addHandler(LogHandler(reporter))


def own_place(error: BaseException | None) -> str:
    """Returns file and line of the innermost frame of this package."""
    place = ""
    trace: types.TracebackType | None = error.__traceback__ if error else None
    while trace is not None:
        file = trace.tb_frame.f_code.co_filename
        if file.startswith(PACKAGE):
            place = f"{file.removeprefix(PACKAGE)}:{trace.tb_lineno}"
        trace = trace.tb_next
    return place


def source_of(details: dict[str, Any]) -> str:
    """Returns the task, protocol or callback that an error is from.

    Args:
      details: Context of the loop's exception handler.
    """
    future = details.get("future") or details.get("task")
    if isinstance(future, asyncio.Task):
        work = future.get_coro()
        return getattr(work, "__qualname__", type(work).__name__)
    if (protocol := details.get("protocol")) is not None:
        return type(protocol).__qualname__
    return str(details.get("message", ""))


def shorten(text: str) -> str:
    """Returns the first line of a text, up to `TEXT_CHARACTERS_MAX`."""
    return text.partition("\n")[0][:TEXT_CHARACTERS_MAX]
