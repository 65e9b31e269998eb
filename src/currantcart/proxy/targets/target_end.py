"""Detects that the local target's process has ended, and what it ran then."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from currantcart.call import fingerprint
from currantcart.http1 import pool
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import job as job_module

UNANSWERED_MS = 5_000.0
"""Time for which a request without an answer is held against its target's end.

A target that restarts at once is known to have ended only by its next report.
"""
UNANSWERED_MAX = 512


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
        self.unanswered: list[Unanswered] = []
        self.checking = False

    def record_unanswered(self, job: job_module.Job) -> None:
        """Records a request whose connection ended before its answer."""
        if job.counted_at_end:
            return
        now = self.context.now
        self.unanswered = [
            item
            for item in self.unanswered[-UNANSWERED_MAX:]
            if now - item.at < UNANSWERED_MS
        ]
        opening = job.opening
        self.unanswered.append(
            Unanswered(opening.request_id, opening.fingerprint, now)
        )

    def record_answer(self, job: job_module.Job) -> None:
        """Records an answer: the process lived when it got the request."""
        if self.unanswered:
            self.unanswered = [
                item for item in self.unanswered if item.at >= job.handed_at
            ]

    def check(self) -> None:
        """Opens a connection, unless one is being opened already."""
        if self.checking:
            return
        self.checking = True
        self.connections.dial(self.check_succeeded, self.check_failed)

    def check_succeeded(self, connection: pool.Connection) -> None:
        """Ends a check: the process lives, as far as is known."""
        self.checking = False
        self.connections.give_back(connection, self.context.now)

    def check_failed(self, reason: str) -> None:
        """Ends a check; only a refusal shows that the process has ended."""
        self.checking = False
        if reason != pool.TIMED_OUT:
            self.on_refused()

    def record_end(self, *, target_id: str, cause: str) -> None:
        """Records that the process has ended, with all that it ran.

        Does nothing if nothing was at work since the last end.

        Args:
          target_id: Id of the target that has ended.
          cause: What shows that it has ended.
        """
        ended_under = self.take_unanswered()
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

    def take_unanswered(self) -> list[Unanswered]:
        """Removes and returns what the process had not answered."""
        now = self.context.now
        found = [
            item for item in self.unanswered if now - item.at < UNANSWERED_MS
        ]
        self.unanswered = []
        for job in self.running():
            if job.handed_at >= 0 and not job.counted_at_end:
                job.counted_at_end = True
                opening = job.opening
                found.append(
                    Unanswered(opening.request_id, opening.fingerprint, now)
                )
        return found

    def forget(self) -> None:
        """Forgets what was unanswered by a process that left as announced."""
        self.unanswered.clear()
