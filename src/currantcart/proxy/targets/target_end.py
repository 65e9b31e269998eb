"""Detects that the local target's process has ended, and what it ran then."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from currantcart.call import fingerprint, quarantine
from currantcart.http1 import pool
from currantcart.proxy import context as proxy_context
from currantcart.proxy import evidence
from currantcart.proxy.targets import job as job_module

UNANSWERED_MS = 5_000.0
"""Time for which a request without an answer is held against its target's end.

A target that restarts at once is known to have ended only by its next report.
"""
UNANSWERED_MAX = 512
CHECK_SECONDS_MAX = 0.1
"""Longest wait of a sender for the check whether the target has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A request that the target was handed and has not answered.

    Attributes:
      request_id: Its id.
      fingerprint: Its fingerprint.
      at: When its connection ended.
    """

    request_id: str
    fingerprint: int
    at: float


class EndDetector:
    """Tells the end of a target's process from the loss of a connection.

    A process that has ended refuses connections, or reports as a new
    incarnation without having left. One that has lost an answer, reset a
    connection or sent an invalid answer still accepts connections.

    Attributes:
      connections: Pool of connections to the target.
      running: Returns the requests that hold a slot.
      on_refused: Called if the target refuses a connection.
      unanswered: Requests whose connection ended, the oldest first.
      checking: Whether a connection is being opened to check the target.
      waiting: Requests whose senders are told after the check.
      timer: Tells them anyway; None while none waits.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        connections: pool.Pool,
        running: Callable[[], Iterable[job_module.Job]],
        on_refused: Callable[[], None],
    ) -> None:
        self.context = context
        self.connections = connections
        self.running = running
        self.on_refused = on_refused
        self.unanswered: collections.deque[Unanswered] = collections.deque(
            maxlen=UNANSWERED_MAX
        )
        self.checking = False
        self.waiting: list[job_module.Job] = []
        self.timer: asyncio.TimerHandle | None = None

    def record_unanswered(self, job: job_module.Job) -> None:
        """Records a request whose connection ended before its answer."""
        if job.counted_at_end:
            return
        opening = job.opening
        self.unanswered.append(
            Unanswered(
                opening.request_id, opening.fingerprint, self.context.now
            )
        )

    def record_answer(self, job: job_module.Job) -> None:
        """Records an answer: the process lived when it got the request."""
        while self.unanswered and self.unanswered[0].at < job.handed_at:
            self.unanswered.popleft()

    def report_lost(self, job: job_module.Job, *, is_up: bool) -> None:
        """Tells the sender that an answer is lost, once it is known why.

        Before it sends the request to another target, it has to know whether
        this one has ended.

        Args:
          job: The request.
          is_up: Whether the target accepted connections until now.
        """
        if job.counted_at_end or not is_up:
            self.reply(job)
            return
        self.waiting.append(job)
        if self.timer is None:
            self.timer = self.context.loop.call_later(
                CHECK_SECONDS_MAX, self.reply_all
            )
        if not self.checking:
            self.checking = True
            self.connections.dial(self.check_succeeded, self.check_failed)

    def check_succeeded(self, connection: pool.Connection) -> None:
        """Ends a check: the process lives, as far as is known."""
        self.checking = False
        self.connections.give_back(connection, self.context.now)
        self.reply_all()

    def check_failed(self, reason: str) -> None:
        """Ends a check; only a refusal shows that the process has ended."""
        self.checking = False
        if reason != pool.TIMED_OUT:
            self.on_refused()
        self.reply_all()

    def reply_all(self) -> None:
        """Replies to all that wait for the check."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.waiting = self.waiting, []
        for job in waiting:
            self.reply(job)

    def reply(self, job: job_module.Job) -> None:
        """Replies that the outcome of a request is unknown."""
        reply, job.reply = job.reply, None
        if reply is not None:
            reply.lost(
                "target_ended" if job.counted_at_end else "answer_lost",
                end_number=job.end_number,
            )

    def record_end(self, *, target_id: str, cause: str) -> None:
        """Records that the process has ended, with all that it ran.

        Does nothing if nothing was at work since the last end.

        Args:
          target_id: Id of the target that has ended.
          cause: What shows that it has ended.
        """
        now = self.context.now
        end = quarantine.End(target_id, max(1, int(now)), now)
        ended_under = self.take_unanswered(end)
        if not ended_under:
            return
        self.context.counts.add("target_ends", cause)
        self.context.log.event(
            "target_ended",
            target=target_id,
            cause=cause,
            requests=len(ended_under),
        )
        for item in ended_under:
            self.context.log.event(
                "ended_under",
                id=item.request_id,
                fingerprint=fingerprint.show(item.fingerprint),
                target=target_id,
            )
            if self.is_held_against(item.fingerprint):
                evidence.record_end(
                    self.context,
                    item.fingerprint,
                    end,
                    source=self.context.settings.instance,
                    own=True,
                )

    def is_held_against(self, fingerprint: int) -> bool:
        """Returns whether an end counts against a request."""
        known = self.context.quarantine
        return not known.was_answered(fingerprint, self.context.now)

    def take_unanswered(self, end: quarantine.End) -> list[Unanswered]:
        """Removes and returns what the process had not answered.

        Args:
          end: Its end, which is noted on the requests that are still here.
        """
        now = end.at
        found = [
            item for item in self.unanswered if now - item.at < UNANSWERED_MS
        ]
        self.unanswered.clear()
        for job in self.waiting:
            self.count_at_end(job, end)
        for job in self.running():
            if job.handed_at >= 0 and not job.counted_at_end:
                self.count_at_end(job, end)
                opening = job.opening
                found.append(
                    Unanswered(opening.request_id, opening.fingerprint, now)
                )
        return found

    def count_at_end(self, job: job_module.Job, end: quarantine.End) -> None:
        """Notes on a request that the process has ended while it ran."""
        job.counted_at_end = True
        if self.is_held_against(job.opening.fingerprint):
            job.end_number = end.number

    def forget(self) -> None:
        """Forgets what was unanswered by a process that left as announced."""
        self.unanswered.clear()
