"""Reading decision logs back: one request's way, and a day's timeline."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import pathlib
import shlex
from collections.abc import Iterable, Iterator

from currantcart import files

MARK = "timestamp="
SLICE_SECONDS = 1.0
CHANGES = frozenset(
    {
        "started",
        "stopped",
        "draining",
        "peer_known",
        "peer_dropped",
        "peer_restarted",
        "peer_ended",
        "link_lost",
        "target_report",
        "target_restored",
        "target_state",
        "config_taken",
        "config_invalid",
        "config_unread",
        "config_read_again",
        "store_lost",
        "store_regained",
        "entry_lapsed",
        "entry_changed",
        "peer_quiet",
        "freshness_lost",
        "freshness_regained",
        "budget_exhausted",
        "rate_exhausted",
        "connections_crowded",
        "start_failed",
        "settings_read",
        "settings_invalid",
        "pressure",
    }
)
ENDS = frozenset({"request_failed", "request_rejected"})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One decision.

    Attributes:
      at: When, in seconds since 1970.
      event: What.
      instance: Who decided.
      values: The rest of the pairs.
    """

    at: float
    event: str
    instance: str
    values: dict[str, str]

    def text(self) -> str:
        """Returns the pairs as one text."""
        return " ".join(f"{key}={value}" for key, value in self.values.items())


def parse(line: str) -> Line | None:
    """Reads a line; None for one that is no decision.

    Whatever stands before the time, as a collector's own stamp, is left out.
    """
    start = line.find(MARK)
    if start < 0:
        return None
    try:
        words = shlex.split(line[start:])
        pairs = dict(word.split("=", 1) for word in words)
        at = datetime.datetime.fromisoformat(pairs.pop("timestamp"))
        return Line(
            at.timestamp(), pairs.pop("event"), pairs.pop("instance"), pairs
        )
    except (ValueError, KeyError):
        return None


def read(paths: Iterable[pathlib.Path]) -> Iterator[Line]:
    """Yields the decisions of some files, in their order of time.

    Raises:
      errors.CurrantcartError: A file can't be read.
    """
    lines: list[Line] = []
    for path in paths:
        text = files.read(path).decode(errors="replace")
        lines += filter(None, map(parse, text.splitlines()))
    return iter(sorted(lines, key=lambda line: line.at))


def way_of(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """Returns the decisions on one request."""
    return [line for line in lines if line.values.get("id") == request_id]


@dataclasses.dataclass(slots=True)
class Slice:
    """A second of a day.

    Attributes:
      start: When it begins, in seconds since 1970.
      ends: Requests that ended badly, by code.
      changes: Decisions that changed what nodes believe, by event.
      pressure: Highest word of a guard on how full its target is.
      version: Newest configuration taken so far.
    """

    start: float
    ends: collections.Counter[str]
    changes: collections.Counter[str]
    pressure: float = 0.0
    version: str = ""


def slices(lines: Iterable[Line]) -> list[Slice]:
    """Divides a day into seconds."""
    made: list[Slice] = []
    version = ""
    for line in lines:
        start = line.at - line.at % SLICE_SECONDS
        if not made or made[-1].start != start:
            made.append(
                Slice(start, collections.Counter(), collections.Counter())
            )
        present = made[-1]
        if line.event in ENDS:
            present.ends[line.values.get("code", "")] += 1
        elif line.event in CHANGES:
            present.changes[line.event] += 1
        if line.event == "pressure":
            level = float(line.values.get("level", 0))
            present.pressure = max(present.pressure, level)
        if line.event == "config_taken":
            version = line.values.get("version", "")
        present.version = version
    return made
