"""State of the local target, derived from the target's reports.

Reports may arrive late, twice or out of order, also after those of a newer
incarnation of the target. A target that has reported that it is leaving must
get no more requests, even if an older "ready" arrives afterwards or the node
has been restarted in the meantime.
"""

from __future__ import annotations

import enum

import msgspec

from currantcart import bounds


class Phase(enum.StrEnum):
    """Life-cycle phase that a target reports."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Report(msgspec.Struct, frozen=True):
    """One report of a target.

    Attributes:
      target_id: Its id.
      born: Start of this incarnation, in milliseconds since 1970; 0 unknown.
      sequence: Increases with each report of an incarnation.
      phase: Life-cycle phase.
      service: Service that it serves.
      slots: Requests that it runs concurrently.
      cold_ms: Remaining time for which it is slow after its start.
    """

    target_id: bounds.Identifier
    born: bounds.UnixMs
    sequence: bounds.Ordinal
    phase: Phase
    service: bounds.Name = ""
    slots: bounds.Slots = 1
    cold_ms: bounds.Milliseconds = 0.0


class TargetRecord:
    """The last accepted report of a target, and whether others supersede it.

    Attributes:
      last: The last accepted report; None before the first.
      restored: Whether the record of the previous process has been read.
      unconfirmed: A report that needs a second one to confirm it.
    """

    def __init__(self) -> None:
        self.last: Report | None = None
        self.restored = False
        self.unconfirmed: Report | None = None

    def restore(self, report: Report | None) -> None:
        """Restores the record that the previous process stored."""
        self.restored = True
        self.last = newest(self.last, report)

    def apply_leave(self, target_id: str, born: int) -> bool:
        """Applies a peer's report that the local target is leaving.

        It is accepted even if nothing else is known yet: a restarted node may
        reach a peer but not the store, and the last "ready" of the target may
        still arrive.

        Args:
          target_id: Id of the target.
          born: Start of its incarnation, in milliseconds since 1970.

        Returns:
          Whether the leave was not known before.
        """
        report = Report(target_id, born, 0, Phase.LEFT)
        if self.last is None:
            self.last = report
            return True
        return self.apply(report)

    def apply(self, report: Report, *, wall_ms: float = 0.0) -> bool:
        """Applies a report unless it is outdated.

        Until the record of the previous process has been read, a single
        "ready" may be an old one of a target that has left. A second, later
        one shows that the target is still running.

        Args:
          report: The report.
          wall_ms: Wall-clock time, in milliseconds since 1970.

        Returns:
          Whether the report was accepted.
        """
        if report.phase is Phase.LEFT:
            report = self.with_incarnation(report, wall_ms)
        last = self.last
        if last is not None and not supersedes(report, last):
            return False
        if report.phase is Phase.READY and last is None and not self.restored:
            unconfirmed, self.unconfirmed = self.unconfirmed, report
            if unconfirmed is None or not supersedes(report, unconfirmed):
                return False
        self.last = report
        return True

    def with_incarnation(self, report: Report, wall_ms: float) -> Report:
        """Returns a leave with the incarnation that it refers to.

        If nothing is known about the target, the leave refers to every
        incarnation that has started until now.
        """
        last = self.last
        if report.born:
            return report
        if last is None or last.target_id != report.target_id:
            return Report(report.target_id, int(wall_ms), 0, Phase.LEFT)
        return Report(report.target_id, last.born, last.sequence, Phase.LEFT)


def newest(first: Report | None, second: Report | None) -> Report | None:
    """Returns the one of two reports that supersedes the other."""
    if first is None or second is None:
        return first or second
    return second if supersedes(second, first) else first


def supersedes(report: Report, last: Report) -> bool:
    """Returns whether a report supersedes another one.

    Within an incarnation, leaving is final: only a later incarnation of the
    target can be ready again.
    """
    if report.target_id == last.target_id or report.born != last.born:
        if report.born != last.born:
            return report.born > last.born
    else:
        # Two targets without a start time: the report received later applies.
        return report.born == 0 or report.phase is Phase.READY
    if report.phase is Phase.LEFT:
        return last.phase is not Phase.LEFT
    if last.phase is Phase.LEFT:
        return False
    if report.phase is Phase.READY and last.phase is Phase.DRAINING:
        return False
    return report.sequence > last.sequence
