"""The exchange with the target: a request handed over, its answer or end."""

from __future__ import annotations

from typing import Protocol

from currantcart.admission import speed
from currantcart.http1 import pool, status
from currantcart.proxy import context as proxy_context
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.targets import job as job_module

SLOW_OF_OBJECTIVE = 0.8
"""Part of the objective beyond which the time at the target is told."""


class Slots(Protocol):
    """Who gives a request its slot."""

    def reason_against(self, job: job_module.Job, now: float) -> str:
        """Returns why a request can't be taken; empty when it can."""

    def free(self, job: job_module.Job) -> None:
        """Frees the slot of a request, once."""

    def refuse(
        self, job: job_module.Job, code: str, *, at_target: bool = False
    ) -> None:
        """Tells that a request did not run and never will."""

    def load(self) -> dict[str, int]:
        """Returns running and waiting requests and slots, for the log."""


class TargetExchange:
    """Connections to one target and the requests on them.

    Attributes:
      pool: Connections to the target.
      speed: How long the target works on a request.
    """

    def __init__(self, context: proxy_context.Context, slots: Slots) -> None:
        self.context = context
        self.slots = slots
        self.pool = pool.Pool(
            address=proxy_settings.split_address(context.settings.target),
            loop=context.loop,
        )
        dialect = context.dialect
        self.deadline_line = f"{dialect.deadline}: %d\r\n".encode()
        self.expected_line = f"{dialect.expected}: %s\r\n".encode()
        self.speed = speed.Speed()

    def forget_target(self) -> None:
        """Starts anew for another target.

        Connections to the one before carry nothing for this one.
        """
        self.pool.close()
        self.speed = speed.Speed()

    def start(self, job: job_module.Job) -> None:
        """Hands a request that has a slot to the target."""
        connection = self.pool.take(self.context.now)
        if connection is not None:
            self.hand_over(job, connection)
            return
        self.pool.dial(
            lambda opened: self.dialled(job, opened),
            lambda reason: self.not_dialled(job, reason),
        )

    def dialled(self, job: job_module.Job, connection: pool.Connection) -> None:
        """Uses a connection that was opened for a request."""
        now = self.context.now
        if job.reply is None:
            self.pool.give_back(connection, now)
            return
        reason = self.slots.reason_against(job, now)
        if reason:
            self.pool.give_back(connection, now)
            self.slots.free(job)
            self.slots.refuse(job, reason)
            return
        self.hand_over(job, connection)

    def not_dialled(self, job: job_module.Job, reason: str) -> None:
        """Refuses a request for which no connection could be opened."""
        if job.reply is None:
            return
        self.context.log.event(
            "target_unreachable", id=job.opening.request_id, reason=reason
        )
        self.slots.free(job)
        self.slots.refuse(job, "target_unreachable", at_target=True)

    def hand_over(
        self, job: job_module.Job, connection: pool.Connection
    ) -> None:
        """Writes a request to the target."""
        opening, now = job.opening, self.context.now
        job.connection = connection
        job.handed_at = now
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
            lambda response: self.take_answer(job, response),
            lambda reason: self.lose(job, reason),
        )

    def take_answer(self, job: job_module.Job, response: pool.Response) -> bool:
        """Takes an answer; tells whether it is the one to this request."""
        answer = job_module.read_answer(response, self.context.keys)
        shown = answer.request_id
        if shown is not None and shown != job.opening.request_id.encode():
            return False
        connection, job.connection = job.connection, None
        assert connection is not None
        now = self.context.now
        if not answer.refused and not (shown is not None and answer.sealed):
            connection.abort()
            self.slots.free(job)
            self.end_lost(job, "answer_not_sealed")
            return True
        worked_ms = now - job.handed_at
        self.context.counts.observe("target_seconds", worked_ms)
        if response.status < status.SERVER_ERROR:
            self.speed.note(worked_ms)
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
        """Logs where the time of a slow request went."""
        self.context.log.event(
            "slow_at_target",
            id=job.opening.request_id,
            target=job.opening.target_id,
            waited_ms=round(job.handed_at - job.arrived_at),
            worked_ms=round(now - job.handed_at),
            **self.slots.load(),
        )

    def lose(self, job: job_module.Job, reason: str) -> None:
        """Takes that the connection ended without a whole answer."""
        job.connection = None
        self.slots.free(job)
        self.context.log.event(
            "answer_lost",
            id=job.opening.request_id,
            target=job.opening.target_id,
            reason=reason,
            held_ms=round(self.context.now - job.handed_at),
        )
        self.end_lost(job, "answer_lost")

    def end_lost(self, job: job_module.Job, code: str) -> None:
        """Tells that the outcome of a request is unknown."""
        reply, job.reply = job.reply, None
        if reply is not None:
            reply.lost(code)

    def drop(self, job: job_module.Job) -> None:
        """Cuts the connection that carries a request.

        It tells the target to drop the request, and its late answer can't
        reach another one.
        """
        if job.connection is not None:
            job.connection.abort()
            job.connection = None
