"""Every order of reports, restarts and losses around a target's leave.

A search over all sequences of some events, with the real record. What must
hold: once a node has acknowledged that its target leaves, no process of that
node believes the target ready again, as long as the store or a peer has kept
the word.
"""

from __future__ import annotations

import dataclasses
import itertools

import pytest

from currantcart.fleet import target_record
from currantcart.fleet.target_record import Phase

DEPTH = 6
READY_1 = target_record.Report("t", 100, 1, Phase.READY, "s", 9)
READY_2 = target_record.Report("t", 100, 2, Phase.READY, "s", 9)
DRAINING = target_record.Report("t", 100, 3, Phase.DRAINING, "s", 9)
LEAVE = target_record.Report("t", 0, 0, Phase.LEFT)
EVENTS = (
    "ready 1", "ready 2", "drain", "leave", "store away", "store back",
    "peer away", "peer back", "restart",
)  # fmt: skip


@dataclasses.dataclass
class World:
    """A node, its store and a peer.

    Attributes:
      keeps: Which of the two memories of a leave are used.
    """

    keeps: frozenset[str] = frozenset({"store", "peer"})
    record: target_record.TargetRecord = dataclasses.field(
        default_factory=target_record.TargetRecord
    )
    entry: target_record.Report | None = None
    peer_knows: str = ""
    store_up: bool = True
    peer_up: bool = True
    acknowledged: bool = False
    kept: bool = False

    def __post_init__(self) -> None:
        self.record.restore(None)

    def play(self, event: str) -> None:
        reports = {
            "ready 1": READY_1,
            "ready 2": READY_2,
            "drain": DRAINING,
            "leave": LEAVE,
        }
        if event in reports:
            self.report(reports[event])
        elif event == "restart":
            self.restart()
        elif event.startswith("store"):
            self.store_up = event == "store back"
        else:
            self.peer_up = event == "peer back"

    def report(self, report: target_record.Report) -> None:
        if not self.record.apply(report, wall_ms=150.0):
            return
        last = self.record.last
        assert last is not None
        if self.store_up and "store" in self.keeps:
            self.entry = last
        if last.phase is Phase.READY:
            return
        self.acknowledged = True
        if self.peer_up and "peer" in self.keeps:
            self.peer_knows = last.target_id
        self.kept = bool(
            self.peer_knows
            or (self.entry and self.entry.phase is not Phase.READY)
        )

    def restart(self) -> None:
        self.record = target_record.TargetRecord()
        if self.store_up:
            self.record.restore(self.entry)
        if self.peer_up and self.peer_knows:
            self.record.apply_leave(self.peer_knows, READY_1.born)

    def believes_ready(self) -> bool:
        last = self.record.last
        return last is not None and last.phase is Phase.READY

    def reached(self) -> bool:
        """Whether a memory that has the word could be asked."""
        by_store = (
            self.store_up
            and self.entry is not None
            and self.entry.phase is not Phase.READY
        )
        return by_store or (self.peer_up and bool(self.peer_knows))


def broken(keeps: frozenset[str]) -> tuple[str, ...] | None:
    """Returns the first sequence after which a left target is believed."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        world = World(keeps)
        restarted_reached = True
        for event in events:
            world.play(event)
            if event == "restart":
                restarted_reached = world.reached()
            wrong = world.acknowledged and world.believes_ready()
            if wrong and world.kept and restarted_reached:
                return events
    return None


def test_a_leave_is_never_forgotten_while_somebody_keeps_it() -> None:
    assert broken(frozenset({"store", "peer"})) is None


def test_the_search_finds_a_record_that_forgets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The search must be able to fail: a record that lets "ready" follow."""

    def by_sequence(
        report: target_record.Report, last: target_record.Report
    ) -> bool:
        return report.sequence >= last.sequence

    monkeypatch.setattr(target_record, "supersedes", by_sequence)
    assert broken(frozenset({"store", "peer"})) is not None
