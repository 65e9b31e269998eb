"""Parses decision logs: the path of one request, and a timeline."""

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
        "start_waits",
        "stopped",
        "ended",
        "draining",
        "peer_known",
        "peer_dropped",
        "peer_restarted",
        "previous_process",
        "background_failed",
        "memory_high",
        "memory_eased",
        "unhandled_error",
        "peer_ended",
        "link_lost",
        "target_report",
        "target_restored",
        "target_state",
        "config_taken",
        "config_invalid",
        "config_unread",
        "config_read_again",
        "domain_evacuated",
        "domain_restored",
        "target_down",
        "target_ended",
        "request_suspected",
        "request_quarantined",
        "request_cleared",
        "target_up",
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
    """One decision, parsed from a log line.

    Attributes:
      at: Time of the decision, in seconds since 1970.
      event: Name of the event.
      instance: Instance that logged it.
      values: All other key=value pairs.
    """

    at: float
    event: str
    instance: str
    values: dict[str, str]

    def text(self) -> str:
        """Returns the pairs as `key=value`, joined by spaces."""
        return " ".join(f"{key}={value}" for key, value in self.values.items())


def parse(line: str) -> Line | None:
    """Parses a log line.

    Anything before the time stamp is ignored, for example a prefix that a log
    collector adds.

    Returns:
      The decision, or None if the line is not a valid decision.
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
    """Returns the decisions of all files, in order of time.

    Raises:
      errors.CurrantcartError: A file cannot be read.
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
    """Events of one second of the timeline.

    Attributes:
      start: Start of the second, in seconds since 1970.
      ends: Failed and rejected requests, by error code.
      changes: Decisions that changed the state of a node, by event.
      pressure: Highest pressure on a target that a node logged.
      version: Latest configuration version that was applied so far.
    """

    start: float
    ends: collections.Counter[str]
    changes: collections.Counter[str]
    pressure: float = 0.0
    version: str = ""


def slices(lines: Iterable[Line]) -> list[Slice]:
    """Groups decisions, which are in order of time, into seconds."""
    grouped: list[Slice] = []
    version = ""
    for line in lines:
        start = line.at - line.at % SLICE_SECONDS
        if not grouped or grouped[-1].start != start:
            grouped.append(
                Slice(start, collections.Counter(), collections.Counter())
            )
        current = grouped[-1]
        if line.event in ENDS:
            current.ends[line.values.get("code", "")] += 1
        elif line.event in CHANGES:
            current.changes[line.event] += 1
        if line.event == "pressure":
            level = float(line.values.get("level", 0))
            current.pressure = max(current.pressure, level)
        if line.event == "config_taken":
            version = line.values.get("version", "")
        current.version = version
    return grouped
