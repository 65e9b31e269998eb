"""Every order of reports, restarts and outages around a target's leave.

Guards against requests for a target that has left: a late "ready" report, or a
restart of the node, could make the node consider the target ready again. An
exhaustive search runs all sequences of a few events on the real target record.
Once a node has acknowledged that its target leaves, no process of that node may
consider the target ready, as long as the store or a peer retains the leave.
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
      retained_by: Which of the store and the peer retain a leave.
      record: Record of the target in the node's current process.
      entry: Report that the store holds; None without one.
      peer_leave: Target whose leave the peer retains; empty without one.
      store_up: Whether the store can be reached.
      peer_up: Whether the peer can be reached.
      acknowledged: Whether the node has acknowledged a leave.
      retained: Whether the store or the peer retains that leave.
    """

    retained_by: frozenset[str] = frozenset({"store", "peer"})
    record: target_record.TargetRecord = dataclasses.field(
        default_factory=target_record.TargetRecord
    )
    entry: target_record.Report | None = None
    peer_leave: str = ""
    store_up: bool = True
    peer_up: bool = True
    acknowledged: bool = False
    retained: bool = False

    def __post_init__(self) -> None:
        self.record.restore(None)

    def apply_event(self, event: str) -> None:
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
        if self.store_up and "store" in self.retained_by:
            self.entry = last
        if last.phase is Phase.READY:
            return
        self.acknowledged = True
        if self.peer_up and "peer" in self.retained_by:
            self.peer_leave = last.target_id
        self.retained = bool(
            self.peer_leave
            or (self.entry and self.entry.phase is not Phase.READY)
        )

    def restart(self) -> None:
        self.record = target_record.TargetRecord()
        if self.store_up:
            self.record.restore(self.entry)
        if self.peer_up and self.peer_leave:
            self.record.apply_leave(self.peer_leave, READY_1.born)

    def is_ready(self) -> bool:
        last = self.record.last
        return last is not None and last.phase is Phase.READY

    def leave_available(self) -> bool:
        """Returns whether the store or peer that has the leave is up."""
        by_store = (
            self.store_up
            and self.entry is not None
            and self.entry.phase is not Phase.READY
        )
        return by_store or (self.peer_up and bool(self.peer_leave))


def find_violation(retained_by: frozenset[str]) -> tuple[str, ...] | None:
    """Returns the first sequence after which a left target counts as ready."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        world = World(retained_by)
        leave_was_available = True
        for event in events:
            world.apply_event(event)
            if event == "restart":
                leave_was_available = world.leave_available()
            violated = world.acknowledged and world.is_ready()
            if violated and world.retained and leave_was_available:
                return events
    return None


def test_leave_stays_final_while_store_or_peer_retains_it() -> None:
    assert find_violation(frozenset({"store", "peer"})) is None


def test_search_finds_a_record_that_accepts_ready_after_a_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the search can fail.

    A record that compares only sequence numbers accepts a "ready" report that
    follows a leave.
    """

    def by_sequence_only(
        report: target_record.Report, last: target_record.Report
    ) -> bool:
        return report.sequence >= last.sequence

    monkeypatch.setattr(target_record, "supersedes", by_sequence_only)
    assert find_violation(frozenset({"store", "peer"})) is not None
