"""Requests under which targets have ended, and what may be done with them.

A request whose content ends the process that runs it would end one target
after another: its node, its caller and the runs that make it as a call all
repeat it, each time under a new id and within every budget. So the ends of
targets are counted by the fingerprint of the requests that they ran. After
`ends_max` of them the request is sent to no target any more.

Other requests run at a target when it ends, and are held against it too. They
are told apart in the last trial before the quarantine: a target runs only one
request in its last trial at a time, so an end then concerns that one alone. A
complete answer clears a request.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator

ENDS_KEPT = 8
"""Ends that are kept of one request, the newest ones."""
ANSWERED_KEPT = 512
ANSWERED_MS = 5_000.0
"""Time after an answer in which ends are not held against a request.

Many callers ask for the same. When several targets are lost at once, each of
them runs it, and a popular request would be quarantined at once.
"""
UNCONFIRMED = 0
"""Number of an end that is only assumed, since the stream to it was lost."""

Key = tuple[str, int]
"""Id of the target, and number of its end."""


class Verdict(enum.Enum):
    """How a request may be sent.

    Attributes:
      CLEAR: Like any other.
      SUSPECT: To one target at a time.
      LAST_TRIAL: The same, and not beside another one in its last trial.
      QUARANTINED: Not at all.
    """

    CLEAR = enum.auto()
    SUSPECT = enum.auto()
    LAST_TRIAL = enum.auto()
    QUARANTINED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a target's process while it ran a request.

    Attributes:
      target_id: Id of the target.
      number: Distinguishes the ends of targets with the same id; `UNCONFIRMED`
        if it is only assumed.
      at: When it ended, in milliseconds of the node's clock.
    """

    target_id: str
    number: int
    at: float

    @property
    def key(self) -> Key:
        """What identifies the end on all nodes."""
        return self.target_id, self.number


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of one request.

    Attributes:
      ends: Ends that count, the oldest first.
      cleared: Ends that no longer count.
      sequence: Number of the last change.
      changed_at: Time of the last change.
    """

    ends: list[End] = dataclasses.field(default_factory=list)
    cleared: dict[Key, None] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    changed_at: float = 0.0

    @property
    def confirmed(self) -> list[End]:
        """The ends that are not only assumed."""
        return [end for end in self.ends if end.number != UNCONFIRMED]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that an operator sets.

    Attributes:
      ends_max: Ends after which a request is quarantined; 0 for never.
      requests_max: Requests of which ends are kept.
      suspect_ms: Time after an end for which a request remains suspect.
      quarantine_ms: Time after the last end until a quarantined request gets
        another trial.
    """

    ends_max: int
    requests_max: int
    suspect_ms: float
    quarantine_ms: float


@dataclasses.dataclass(slots=True)
class Quarantine:
    """What one node knows of the requests under which targets have ended.

    Attributes:
      limits: When a request is suspect or quarantined, and for how long.
      records: The requests, by fingerprint.
      answered: When requests were last answered, by fingerprint; the most
        recent last.
      assumed: Targets with an end that is only assumed.
      sequence: Number of changes.
      own_sequence: Number of the last change that this node has seen itself.
    """

    limits: Limits
    records: dict[int, Record] = dataclasses.field(default_factory=dict)
    answered: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    assumed: set[str] = dataclasses.field(default_factory=set)
    sequence: int = 0
    own_sequence: int = 0

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Returns how a request may be sent."""
        record = self.records.get(fingerprint)
        if record is None or not record.ends or not self.limits.ends_max:
            return Verdict.CLEAR
        count, age = len(record.ends), now - record.ends[-1].at
        if count >= self.limits.ends_max:
            if age < self.limits.quarantine_ms:
                return Verdict.QUARANTINED
            return Verdict.LAST_TRIAL
        if age >= self.limits.suspect_ms:
            return Verdict.CLEAR
        if count == self.limits.ends_max - 1:
            return Verdict.LAST_TRIAL
        return Verdict.SUSPECT

    def left_ms(self, fingerprint: int, now: float) -> float:
        """Returns the time until a quarantined request gets another trial."""
        record = self.records.get(fingerprint)
        if record is None or not record.ends:
            return 0.0
        return max(0.0, record.ends[-1].at + self.limits.quarantine_ms - now)

    def was_answered(self, fingerprint: int, now: float) -> bool:
        """Returns whether this node knows of a recent answer to a request."""
        return now - self.answered.get(fingerprint, -ANSWERED_MS) < ANSWERED_MS

    def record_end(
        self, fingerprint: int, end: End, now: float, *, own: bool = False
    ) -> bool:
        """Counts the end of a target against a request that it ran.

        Args:
          fingerprint: Fingerprint of the request.
          end: The end.
          now: Milliseconds of the node's clock.
          own: Whether this node saw the end itself.

        Returns:
          Whether it was not known before, and counts.
        """
        if not self.limits.ends_max:
            return False
        record = self.records.get(fingerprint)
        if record is None:
            self.make_room()
            record = self.records[fingerprint] = Record()
        if end.key in record.cleared or is_known(end, record.ends):
            return False
        kept = [
            known
            for known in record.ends
            if known.key != (end.target_id, UNCONFIRMED)
            and now - known.at < self.keep_ms(len(record.ends))
        ]
        kept.append(end)
        kept.sort(key=lambda known: known.at)
        record.ends = kept[-ENDS_KEPT:]
        if end.number == UNCONFIRMED:
            self.assumed.add(end.target_id)
        self.count_change(record, now, own=own)
        return True

    def keep_ms(self, count: int) -> float:
        """Returns how long ends are kept, by how many there are."""
        if count >= self.limits.ends_max:
            return 2 * self.limits.quarantine_ms
        return self.limits.suspect_ms

    def record_answer(self, fingerprint: int, now: float) -> bool:
        """Records a complete answer; returns whether it cleared a request."""
        self.answered[fingerprint] = now
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > ANSWERED_KEPT:
            self.answered.popitem(last=False)
        return self.clear(fingerprint, now)

    def clear(
        self,
        fingerprint: int,
        now: float,
        keys: Iterable[Key] | None = None,
    ) -> bool:
        """Clears a request of ends.

        Args:
          fingerprint: Fingerprint of the request.
          now: Milliseconds of the node's clock.
          keys: The ends; None for all that are known.

        Returns:
          Whether any of them has counted until now.
        """
        record = self.records.get(fingerprint)
        if record is None:
            return False
        known = {end.key for end in record.ends}
        cleared = known if keys is None else set(keys)
        new = cleared - record.cleared.keys()
        if not new:
            return False
        record.cleared.update(dict.fromkeys(new))
        while len(record.cleared) > ENDS_KEPT:
            del record.cleared[next(iter(record.cleared))]
        record.ends = [end for end in record.ends if end.key not in new]
        self.count_change(record, now, own=False)
        return bool(known & new)

    def clear_assumed(self, target_id: str) -> None:
        """Clears all requests of an assumed end: the target lives."""
        if target_id not in self.assumed:
            return
        self.assumed.discard(target_id)
        for record in self.records.values():
            record.ends = [
                end
                for end in record.ends
                if end.key != (target_id, UNCONFIRMED)
            ]

    def count_change(self, record: Record, now: float, *, own: bool) -> None:
        """Numbers a change of a record."""
        self.sequence += 1
        record.sequence = self.sequence
        record.changed_at = now
        if own:
            self.own_sequence = self.sequence

    def make_room(self) -> None:
        """Drops the record with the fewest ends, if there is no room."""
        if len(self.records) < self.limits.requests_max:
            return
        least = min(
            self.records,
            key=lambda fingerprint: len(self.records[fingerprint].ends),
        )
        del self.records[least]

    def expire(self, now: float) -> None:
        """Drops what no longer counts."""
        for fingerprint, record in list(self.records.items()):
            # A cleared one is kept as long, as peers may still send its ends.
            last = record.ends[-1].at if record.ends else record.changed_at
            if now - last >= self.keep_ms(len(record.ends)):
                del self.records[fingerprint]
        if self.assumed:
            self.assumed = {
                end.target_id
                for record in self.records.values()
                for end in record.ends
                if end.number == UNCONFIRMED
            }

    def changed_since(self, sequence: int) -> Iterator[tuple[int, Record]]:
        """Yields the records that have changed since a sequence number."""
        if sequence == self.sequence:
            return
        for fingerprint, record in self.records.items():
            if record.sequence > sequence:
                yield fingerprint, record

    def count(self, verdicts: Iterable[Verdict], now: float) -> int:
        """Returns the number of requests with one of some verdicts."""
        wanted = frozenset(verdicts)
        return sum(
            self.verdict(fingerprint, now) in wanted
            for fingerprint in self.records
        )


def is_known(end: End, ends: list[End]) -> bool:
    """Returns whether an end is among others.

    An assumed end is known if any end of the target is.
    """
    if end.number == UNCONFIRMED:
        return any(known.target_id == end.target_id for known in ends)
    return any(known.key == end.key for known in ends)
