"""Reports of the local target about itself, and their effects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantcart import errors
from currantcart.fleet import target_record
from currantcart.proxy import context as proxy_context
from currantcart.proxy import control
from currantcart.proxy.streams import registration
from currantcart.proxy.targets import guard

PERSIST_SECONDS_MAX = 0.6
"""Longest wait for the store before a leave report is acknowledged."""
CLOCK_ERROR_MS_MAX = 86_400_000.0
"""Time by which the clocks of a target and of its node may differ."""
CLOCK_SET_MS_MIN = 1_577_836_800_000.0
"""Start of the year 2020; a clock before that was never set."""


def starts_in_future(report: target_record.Report, wall_ms: float) -> bool:
    """Returns whether a report is of a target that can't have started yet.

    Such a report would supersede all that the target sends until then.

    Args:
      report: The report.
      wall_ms: Wall-clock time, in milliseconds since 1970.
    """
    is_clock_set = wall_ms >= CLOCK_SET_MS_MIN
    return is_clock_set and report.born > wall_ms + CLOCK_ERROR_MS_MAX


class TargetReports:
    """Handles the target's reports.

    Attributes:
      parse: Parses a report from its path and body.
      record: The last report that was accepted.
      publish: Sends this node's status to its peers.
      hold: Keeps a reference to a running task.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        parse: Callable[[str, bytes], target_record.Report],
        record: target_record.TargetRecord,
        local_guard: guard.Guard,
        registration: registration.Registration,
        publish: Callable[[], None],
        hold: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self.context = context
        self.parse = parse
        self.record = record
        self.guard = local_guard
        self.registration = registration
        self.publish = publish
        self.hold = hold

    async def answer(
        self, request: control.ControlRequest
    ) -> control.ControlResponse:
        """Handles the HTTP request that carries a report of the target."""
        try:
            report = self.parse(request.path, request.body)
        except errors.CurrantcartError as error:
            self.context.log.event("report_unreadable", detail=error.detail)
            return control.ControlResponse(400)
        if report.service and report.service != self.context.settings.service:
            self.context.log.event(
                "report_of_another_service",
                target=report.target_id,
                service=report.service,
            )
            return control.ControlResponse(400)
        if starts_in_future(report, self.context.clock.wall()):
            self.context.log.event(
                "report_from_future", target=report.target_id, born=report.born
            )
            return control.ControlResponse(400)
        await self.apply(report)
        return control.ControlResponse(200, b"{}", "application/json")

    async def apply(self, report: target_record.Report) -> None:
        """Applies a report unless it is outdated, and publishes changes.

        The report of a target that leaves is also written to the store before
        this method returns, if that takes no longer than
        `PERSIST_SECONDS_MAX`.
        """
        before = self.record.last
        if not self.record.apply(report, wall_ms=self.context.clock.wall()):
            self.context.log.event(
                "report_passed_over",
                target=report.target_id,
                phase=report.phase,
                born=report.born,
                sequence=report.sequence,
            )
            if report.phase is not target_record.Phase.READY:
                await self.persist_leave()
            return
        last = self.record.last
        assert last is not None
        ready = last.phase is target_record.Phase.READY
        changed = before is None or (
            (before.target_id, before.born, before.phase)
            != (last.target_id, last.born, last.phase)
        )
        if ready or changed:
            self.guard.set_target(
                target_id=last.target_id,
                slot_count=last.slots if ready else self.guard.slot_count,
                ready=ready,
                cold_ms=last.cold_ms,
                born=last.born,
            )
        if not changed:
            return
        self.context.log.event(
            "target_report",
            target=last.target_id,
            phase=last.phase,
            born=last.born,
            sequence=last.sequence,
            slots=last.slots,
        )
        self.publish()
        self.registration.mark_dirty()
        if not ready:
            await self.persist_leave()

    def apply_leave(self, target_id: str, born: int) -> None:
        """Stops admission to a target that leaves, as another source tells.

        The sources are the target's own answers and peers.

        Args:
          target_id: Id of the target.
          born: Start of its incarnation, in milliseconds since 1970.
        """
        if not self.record.apply_leave(target_id, born):
            return
        self.guard.mark_target_leaving()
        self.publish()
        self.registration.mark_dirty()

    async def persist_leave(self) -> None:
        """Writes the node's entry to the store, waiting a limited time.

        An acknowledged leave is binding and must survive a restart of this
        process, also if a peer or an answer of the target told it before. The
        write continues in the background after the wait.
        """
        if self.registration.is_written:
            return
        work = self.context.loop.create_task(self.registration.try_write())
        self.hold(work)
        await asyncio.wait([work], timeout=PERSIST_SECONDS_MAX)

    async def apply_first(self) -> None:
        """Applies a report that was received before the store was read."""
        first, self.record.unconfirmed = self.record.unconfirmed, None
        if first is not None:
            await self.apply(first)

    def apply_restored(self) -> None:
        """Stops admission if the previous process recorded a leave.

        Delayed reports may have marked the target as ready since the restart.
        """
        last = self.record.last
        if last is not None and last.phase is not target_record.Phase.READY:
            self.guard.mark_target_leaving()

    def use_restored(self) -> None:
        """Admits to the target that the previous process recorded as ready.

        A target reports every one or two seconds. Without this its slots would
        stay idle for that long after each restart of the node.
        """
        last = self.record.last
        if self.guard.target_id:
            return
        if last is None or last.phase is not target_record.Phase.READY:
            return
        self.guard.set_target(
            target_id=last.target_id,
            slot_count=last.slots,
            ready=True,
            cold_ms=0.0,
            born=last.born,
        )
        self.guard.warm_up.assume_cold(last.target_id)
        self.context.log.event(
            "target_restored", target=last.target_id, slots=last.slots
        )
        self.publish()
