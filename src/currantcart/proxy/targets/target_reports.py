"""What the target beside a node says of itself, and what follows from it."""

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
"""Time for which the answer to a leave waits for the store."""


class TargetReports:
    """Takes the target's reports.

    Attributes:
      record: The last report that counted.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        parse: Callable[[str, bytes], target_record.Report],
        record: target_record.TargetRecord,
        own_guard: guard.Guard,
        registration: registration.Registration,
        publish: Callable[[], None],
        hold: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self.context = context
        self.parse = parse
        self.record = record
        self.guard = own_guard
        self.registration = registration
        self.publish = publish
        self.hold = hold

    async def answer(
        self, request: control.ControlRequest
    ) -> control.ControlAnswer:
        """Takes a report of the target."""
        try:
            report = self.parse(request.path, request.body)
        except errors.CurrantcartError as error:
            self.context.log.event("report_unreadable", detail=error.detail)
            return control.ControlAnswer(400)
        if report.service and report.service != self.context.settings.service:
            self.context.log.event(
                "report_of_another_service",
                target=report.target_id,
                service=report.service,
            )
            return control.ControlAnswer(400)
        await self.take(report)
        return control.ControlAnswer(200, b"{}", "application/json")

    async def take(self, report: target_record.Report) -> None:
        """Believes a report, if it counts, and has the peers know."""
        before = self.record.last
        if not self.record.take(report, wall_ms=self.context.clock.wall()):
            self.context.log.event(
                "report_passed_over",
                target=report.target_id,
                phase=report.phase,
                born=report.born,
                sequence=report.sequence,
            )
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
            # The word that it leaves must outlive this process, and binds
            # from the acknowledgement on.
            await self.persist()

    async def persist(self) -> None:
        """Writes the entry now, but holds the answer only for so long."""
        work = self.context.loop.create_task(self.registration.guarded_write())
        self.hold(work)
        await asyncio.wait([work], timeout=PERSIST_SECONDS_MAX)

    async def take_first(self) -> None:
        """Takes the report that came before the store could be read."""
        first, self.record.first = self.record.first, None
        if first is not None:
            await self.take(first)

    def restored(self) -> None:
        """Takes that the process before knew the target to be leaving.

        Reports that were late on their way may have shown it as ready since.
        """
        last = self.record.last
        if last is not None and last.phase is not target_record.Phase.READY:
            self.guard.refuse_target()

    def use_restored(self) -> None:
        """Uses the target that the process before knew, until it reports.

        A target reports each second or two; without this its slots would
        stand empty for that long after each restart of its node.
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
        self.context.log.event(
            "target_restored", target=last.target_id, slots=last.slots
        )
        self.publish()
