"""What a node believes of the target beside it, from the target's reports.

Reports come late, twice and out of order, also behind those of a newer start
of the target. A target that said it leaves must get nothing more, even when
an older "ready" arrives afterwards or the node was started anew meanwhile.
"""

from __future__ import annotations

import enum

import msgspec


class Phase(enum.StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Report(msgspec.Struct, frozen=True):
    """One report of a target.

    Attributes:
      target_id: Its id.
      born: Start of this incarnation, in milliseconds since 1970; 0 unknown.
      sequence: Grows with each report of an incarnation.
      phase: What it says of itself.
      service: Service that it serves.
      slots: Requests that it runs at once.
      cold_ms: How much longer it is slow after its start.
    """

    target_id: str
    born: int
    sequence: int
    phase: Phase
    service: str = ""
    slots: int = 1
    cold_ms: float = 0.0


class TargetRecord:
    """The last report that counts, and which ones count after it.

    Attributes:
      last: The last report that counted; None before.
      restored: Whether the record of the process before was read.
      first: A report that waits for a second one to confirm it.
    """

    def __init__(self) -> None:
        self.last: Report | None = None
        self.restored = False
        self.first: Report | None = None

    def restore(self, report: Report | None) -> None:
        """Takes the record that the process before left in the store."""
        self.restored = True
        self.last = newest(self.last, report)

    def hear_left(self, target_id: str, born: int) -> bool:
        """Takes a peer's word that a target here has said it leaves.

        It counts also before anything else is known: a new process may reach
        a peer and not the store, and the target's last "ready" may yet come.

        Returns:
          Whether it was not known.
        """
        report = Report(target_id, born, 0, Phase.LEFT)
        if self.last is None:
            self.last = report
            return True
        return self.take(report)

    def take(self, report: Report, *, wall_ms: float = 0.0) -> bool:
        """Takes a report; returns whether it counts.

        Args:
          report: The report.
          wall_ms: The time of day, in milliseconds since 1970.

        Until the record of the process before is known, a single "ready" may
        be an old one of a target that has left; a second, later one shows
        that the target goes on.
        """
        if report.phase is Phase.LEFT:
            report = self.as_leave(report, wall_ms)
        last = self.last
        if last is not None and not is_after(report, last):
            return False
        if report.phase is Phase.READY and last is None and not self.restored:
            first, self.first = self.first, report
            if first is None or not is_after(report, first):
                return False
        self.last = report
        return True

    def as_leave(self, report: Report, wall_ms: float) -> Report:
        """Gives a leave the incarnation that it speaks of.

        Where nothing is known of the target, that is any that has started
        until now.
        """
        last = self.last
        if report.born:
            return report
        if last is None or last.target_id != report.target_id:
            return Report(report.target_id, int(wall_ms), 0, Phase.LEFT)
        return Report(report.target_id, last.born, last.sequence, Phase.LEFT)


def newest(first: Report | None, second: Report | None) -> Report | None:
    """Returns the one of two reports that counts."""
    if first is None or second is None:
        return first or second
    return second if is_after(second, first) else first


def is_after(report: Report, last: Report) -> bool:
    """Tells whether a report counts after another one.

    Within an incarnation, leaving is final: only a later start of the target
    is ready again.
    """
    if report.target_id == last.target_id or report.born != last.born:
        if report.born != last.born:
            return report.born > last.born
    else:
        # Two targets without a time of birth: the later word counts.
        return report.born == 0 or report.phase is Phase.READY
    if report.phase is Phase.LEFT:
        return last.phase is not Phase.LEFT
    if last.phase is Phase.LEFT:
        return False
    if report.phase is Phase.READY and last.phase is Phase.DRAINING:
        return False
    return report.sequence > last.sequence
