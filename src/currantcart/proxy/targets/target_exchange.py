"""HTTP exchange with the local target: requests sent, responses received."""

from __future__ import annotations

from typing import Protocol

from currantcart.admission import work_by_kind, work_time
from currantcart.http1 import pool, status
from currantcart.proxy import context as proxy_context
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.targets import job as job_module

SLOW_OF_OBJECTIVE = 0.8
"""Share of the objective above which the time at the target is logged."""


class Slots(Protocol):
    """Owner of the target's slots."""

    def refusal_reason(self, job: job_module.Job, now: float) -> str:
        """Returns why a request cannot run; empty if it can."""

    def free(self, job: job_module.Job) -> None:
        """Releases the slot of a request unless it was released before."""

    def refuse(
        self, job: job_module.Job, code: str, *, at_target: bool = False
    ) -> None:
        """Replies that a request did not run and will not run."""

    def mark_unreachable(self, *, refused: bool) -> None:
        """Stops admission to a target that accepts no connections."""

    def record_unanswered(self, job: job_module.Job) -> None:
        """Records a request that left the target without an answer."""

    def report_lost(self, job: job_module.Job) -> None:
        """Replies that the outcome is unknown, since the connection ended."""

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent to the target."""

    def record_answer(
        self, job: job_module.Job, answer: job_module.AnswerHead
    ) -> None:
        """Records what an answer of the target states about it."""

    def load(self) -> dict[str, int]:
        """Returns the numbers of running and waiting requests and of slots."""


class TargetExchange:
    """Connections to one target and the requests on them.

    Attributes:
      slots: Owner of the target's slots.
      pool: Connections to the target.
      deadline_line: Template of the deadline header.
      expected_line: Template of the header with the expected target.
      work_time: Smoothed time that the target works on a request.
      work_by_kind: The same by kind of request.
      pace: How the running requests compare with it.
    """

    def __init__(self, context: proxy_context.Context, slots: Slots) -> None:
        self.context = context
        self.slots = slots
        self.pool = pool.Pool(
            address=proxy_settings.split_address(context.settings.target),
            loop=context.loop,
            held=context.held,
        )
        names = context.header_names
        self.deadline_line = f"{names.deadline}: %d\r\n".encode()
        self.expected_line = f"{names.expected}: %s\r\n".encode()
        self.work_time = work_time.WorkTime()
        self.work_by_kind = work_by_kind.WorkByKind()
        self.pace = work_by_kind.Pace()

    def reset(self) -> None:
        """Closes all connections and resets measurements for a new target.

        Connections to the previous target must not carry requests for the new
        one.
        """
        self.pool.close()
        self.work_time = work_time.WorkTime()
        self.reset_speed()

    def reset_speed(self) -> None:
        """Discards the speed of a target whose process has ended."""
        self.work_by_kind = work_by_kind.WorkByKind()
        self.pace.reset()

    def begin_work(self, job: job_module.Job, now: float) -> None:
        """Records that a request was handed to the target."""
        if self.context.settings.placement.by_completion:
            usual_ms = self.work_by_kind.usual_ms(job.opening.kind)
            job.pace_weight = self.pace.start(usual_ms, now)

    def end_work(
        self, job: job_module.Job, now: float, *, completed: bool
    ) -> None:
        """Records that a request has left the target.

        Args:
          job: The request.
          now: Milliseconds of the node's clock.
          completed: Whether the target ran it and did not fail.
        """
        self.pace.end(job.pace_weight, now, completed=completed)
        job.pace_weight = 0.0
        if completed and self.context.settings.placement.by_completion:
            worked_ms = now - job.handed_at
            self.work_by_kind.record(job.opening.kind, worked_ms, now)

    def start(self, job: job_module.Job) -> None:
        """Sends a request on a pooled connection or dials a new one."""
        connection = self.pool.take(self.context.now)
        if connection is not None:
            self.hand_over(job, connection)
            return
        self.pool.dial(
            lambda opened: self.dialled(job, opened),
            lambda reason: self.dial_failed(job, reason),
        )

    def dialled(self, job: job_module.Job, connection: pool.Connection) -> None:
        """Sends a request on a newly opened connection if it may still run."""
        now = self.context.now
        reason = self.slots.refusal_reason(job, now)
        if reason:
            self.pool.give_back(connection, now)
            self.slots.free(job)
            self.slots.refuse(job, reason)
            return
        self.hand_over(job, connection)

    def dial_failed(self, job: job_module.Job, reason: str) -> None:
        """Refuses a request because no connection could be opened.

        Nothing has reached the target, so another attempt is no retry.
        """
        self.slots.mark_unreachable(refused=reason != pool.TIMED_OUT)
        if job.reply is None:
            return
        self.context.log.event(
            "target_unreachable", id=job.opening.request_id, reason=reason
        )
        self.slots.free(job)
        self.slots.refuse(job, "target_unreachable")

    def hand_over(
        self, job: job_module.Job, connection: pool.Connection
    ) -> None:
        """Writes a request to a connection to the target.

        Does nothing with a request that was cancelled or refused meanwhile.
        """
        opening, now = job.opening, self.context.now
        if job.reply is None:
            self.pool.give_back(connection, now)
            return
        job.connection = connection
        job.handed_at = now
        self.begin_work(job, now)
        self.slots.record_sent(now)
        self.context.counts.observe("queue_seconds", now - job.arrived_at)
        parts = [
            f"{opening.method} {opening.path} HTTP/1.1\r\n".encode("latin-1"),
            opening.head,
            self.deadline_line % max(1, int(job.expires_at - now)),
            self.expected_line % opening.target_id.encode(),
        ]
        if opening.body or opening.method not in ("GET", "HEAD", "DELETE"):
            parts.append(b"Content-Length: %d\r\n" % len(opening.body))
        parts.append(b"\r\n")
        parts.append(opening.body)
        connection.reader.bodiless = opening.method == "HEAD"
        connection.send(
            b"".join(parts),
            lambda response: self.handle_response(job, response),
            lambda reason: self.handle_connection_lost(job, reason),
        )

    def handle_response(
        self, job: job_module.Job, response: pool.Response
    ) -> bool:
        """Releases the slot and reports the outcome that a response gives.

        A response without the id of the request or without the target's seal
        does not prove that the target ran the request; unless it states that
        the target did not run it, the outcome is then unknown.

        Returns:
          Whether the response belongs to this request; False if it carries
          the id of another one.
        """
        answer = job_module.read_answer(response, self.context.keys)
        shown = answer.request_id
        if shown is not None and shown != job.opening.request_id.encode():
            return False
        connection, job.connection = job.connection, None
        assert connection is not None
        now = self.context.now
        if not answer.refused and not (shown is not None and answer.sealed):
            connection.abort()
            self.end_work(job, now, completed=False)
            self.slots.free(job)
            reply, job.reply = job.reply, None
            if reply is not None:
                reply.lost("answer_not_sealed")
            return True
        if response.status != job_module.MISDIRECTED:
            # Another process may have taken over the target's address.
            self.slots.record_answer(job, answer)
        worked_ms = now - job.handed_at
        self.context.counts.observe("target_seconds", worked_ms)
        failed = response.status >= status.SERVER_ERROR
        if not failed:
            self.work_time.record(worked_ms)
        self.end_work(job, now, completed=not failed and not answer.refused)
        if now - job.arrived_at > job.opening.objective_ms * SLOW_OF_OBJECTIVE:
            self.log_slow(job, now)
        self.pool.give_back(connection, now)
        self.slots.free(job)
        if answer.refused:
            self.slots.refuse(job, f"target_{response.status}", at_target=True)
        elif job.reply is not None:
            reply, job.reply = job.reply, None
            reply.answered(response.status, answer.head, response.body)
        return True

    def log_slow(self, job: job_module.Job, now: float) -> None:
        """Logs how long a slow request waited and ran."""
        self.context.log.event(
            "slow_at_target",
            id=job.opening.request_id,
            target=job.opening.target_id,
            waited_ms=round(job.handed_at - job.arrived_at),
            worked_ms=round(now - job.handed_at),
            **self.slots.load(),
        )

    def handle_connection_lost(self, job: job_module.Job, reason: str) -> None:
        """Ends a request whose connection ended before a complete response."""
        job.connection = None
        self.end_work(job, self.context.now, completed=False)
        self.slots.record_unanswered(job)
        self.slots.free(job)
        self.context.log.event(
            "answer_lost",
            id=job.opening.request_id,
            target=job.opening.target_id,
            reason=reason,
            held_ms=round(self.context.now - job.handed_at),
        )
        self.slots.report_lost(job)

    def abort(self, job: job_module.Job) -> None:
        """Aborts the connection that carries a request.

        This signals the target to cancel the request, and a late response
        cannot be taken for that of another request.
        """
        if job.connection is not None:
            job.connection.abort()
            job.connection = None
            now = self.context.now
            self.end_work(job, now, completed=False)
            self.slots.record_unanswered(job)
            if self.context.settings.placement.by_completion:
                self.work_by_kind.record_cancelled(
                    job.opening.kind, now - job.handed_at, now
                )
