"""What a relay knows of the processes of a fleet, and what a peer lacks of it.

Rows are sent as differences. Each stream has a cursor, the table's sequence
number at the last digest on it; a row is lacking if it has changed since. The
first digest on a stream holds all rows with all counts, so a receiver that
handles a stream in order has the state of each process as of the last row.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

STATUS_MS = 400.0
"""Interval at which a node sends its status to its relays."""
DIGEST_MS = 150.0
"""Interval at which a relay sends a digest if there is no urgent change."""
LOCAL_SILENT_MS = 1.5 * STATUS_MS
"""Silence after which a relay lists a process of its own failure domain."""
FORWARDED_SILENT_MS = LOCAL_SILENT_MS + 250.0
"""The same for a process of another failure domain.

It includes the interval of digests and two ticks: a relay there vouches for a
process up to `LOCAL_SILENT_MS`.
"""
PEER_SILENT_MS = FORWARDED_SILENT_MS + 250.0
"""Silence after which a process counts as silent at a node."""
DOMAIN_SILENT_MS = 500.0
"""Silence of a failure domain, while a workspace is near its rate limit.

Digests then arrive at each tick, and three in a row have to be late.
"""
DOMAIN_SILENT_IDLE_MS = 900.0
"""The same while no workspace is near its limit."""
REMOVED_MS = 60_000.0
"""Time for which the removal of a process is kept for streams that lack it."""

Info = TypeVar("Info")


@dataclasses.dataclass(slots=True)
class Entry(Generic[Info]):
    """What is known of one process.

    Attributes:
      domain: Its failure domain.
      info: Its state without counts.
      created: Sequence number of the table when it was added.
      changed: Sequence number of the last change.
      counts: Requests that it admitted since its start, by workspace.
      counts_changed: Sequence number of the last change of each count.
      removed_at: When it was removed; None while it is known.
    """

    domain: str
    info: Info
    created: int
    changed: int
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    counts_changed: dict[str, int] = dataclasses.field(default_factory=dict)
    removed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lacking(Generic[Info]):
    """A row that a peer lacks.

    Attributes:
      process: Id of the process.
      entry: What is known of it.
      complete: Whether the peer was sent no row of it before.
      counts: The counts that it lacks.
    """

    process: str
    entry: Entry[Info]
    complete: bool
    counts: dict[str, int]


class Table(Generic[Info]):
    """The processes that a relay knows.

    Attributes:
      entries: Entries by process.
      sequence: Number of changes.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry[Info]] = {}
        self.sequence = 0

    def record(
        self, process: str, domain: str, info: Info, counts: dict[str, int]
    ) -> None:
        """Records a change of a process.

        Args:
          process: Id of the process.
          domain: Its failure domain.
          info: Its state without counts.
          counts: Those of its counts that have changed.
        """
        self.sequence += 1
        entry = self.entries.get(process)
        if entry is None or entry.removed_at is not None:
            entry = Entry(domain, info, self.sequence, self.sequence)
            self.entries[process] = entry
        entry.info = info
        entry.changed = self.sequence
        for name, count in counts.items():
            entry.counts[name] = count
            entry.counts_changed[name] = self.sequence

    def remove(self, process: str, now: float) -> None:
        """Records that a process is no longer known."""
        entry = self.entries.get(process)
        if entry is None or entry.removed_at is not None:
            return
        self.sequence += 1
        entry.changed = self.sequence
        entry.removed_at = now
        entry.counts, entry.counts_changed = {}, {}

    def expire(self, now: float) -> None:
        """Discards entries that were removed long ago."""
        for process, entry in list(self.entries.items()):
            if (
                entry.removed_at is not None
                and now - entry.removed_at > REMOVED_MS
            ):
                del self.entries[process]

    def lacking(self, domain: str, cursor: int) -> Iterator[Lacking[Info]]:
        """Yields the rows of a failure domain that a peer lacks.

        Args:
          domain: The failure domain.
          cursor: Sequence number up to which the peer was sent the rows; 0
            before the first.
        """
        if cursor >= self.sequence:
            return
        for process, entry in self.entries.items():
            if entry.changed <= cursor or entry.domain != domain:
                continue
            complete = entry.created > cursor
            if complete and entry.removed_at is not None:
                continue
            yield Lacking(
                process,
                entry,
                complete,
                {
                    name: count
                    for name, count in entry.counts.items()
                    if entry.counts_changed[name] > cursor
                },
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """Which processes of a failure domain are live.

    Attributes:
      age_ms: Age of the oldest evidence of those that are live.
      silent: The others.
    """

    age_ms: float
    silent: tuple[str, ...]


def survey(
    evidence: Iterable[tuple[str, float]], *, now: float, silent_ms: float
) -> Survey:
    """Divides processes into live and silent ones.

    Evidence keeps its age on its way: two relays that report the same process
    to each other never make it appear younger than it is.

    Args:
      evidence: Process, and time as of which it is known to be live.
      now: Milliseconds of the node's clock.
      silent_ms: Age of evidence from which a process is silent.
    """
    oldest, silent = now, []
    for process, at in evidence:
        if now - at >= silent_ms:
            silent.append(process)
        elif at < oldest:
            oldest = at
    return Survey(now - oldest, tuple(silent))


def domain_silent_ms(*, pressing: bool) -> float:
    """Returns the silence after which a failure domain counts as silent.

    Args:
      pressing: Whether a workspace is near its rate limit.
    """
    return DOMAIN_SILENT_MS if pressing else DOMAIN_SILENT_IDLE_MS
