"""What the local target states about itself in its answers."""

from __future__ import annotations

import math

from currantcart import bounds
from currantcart.proxy import context as proxy_context
from currantcart.proxy.targets import job as job_module


class Statements:
    """The target's statements, from the answers of one incarnation.

    Attributes:
      limit: Requests per second that the target accepts from all nodes
        together; infinite while it states no limit.
      leaving: Whether the target has stated that it is leaving.
      since: Start of the incarnation, as far as this node knows it. Answers to
        requests that were sent before may be from an earlier one.
      limited_at: When an answer last stated a limit.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        self.context = context
        self.reset()

    def reset(self) -> None:
        """Forgets the statements of the previous incarnation."""
        self.limit = math.inf
        self.leaving = False
        self.since = self.context.now
        self.limited_at = -math.inf

    def record(
        self, job: job_module.Job, answer: job_module.AnswerHead
    ) -> bool:
        """Records what an answer to a request states.

        Returns:
          Whether the answer is of the present incarnation.
        """
        if job.handed_at < self.since:
            return False
        if answer.limit is not None:
            self.record_limit(job, answer.limit)
        elif job.handed_at > self.limited_at:
            # Answers overtake each other: one to an earlier request may have
            # been begun before the target stated its limit.
            self.set_limit(job, math.inf)
        if answer.leaving and not self.leaving:
            self.leaving = True
            self.log("target_states_leaving", job)
        return True

    def record_limit(self, job: job_module.Job, stated: bytes) -> None:
        """Records a stated limit, unless it is no valid number."""
        limit = bounds.parse_number(stated, maximum=bounds.FLOAT_MAX)
        if limit is None:
            self.log("target_limit_unreadable", job, value=repr(stated)[:40])
            return
        self.limited_at = self.context.now
        self.set_limit(job, limit)

    def set_limit(self, job: job_module.Job, limit: float) -> None:
        """Sets the limit, and logs a change."""
        before, self.limit = self.limit, limit
        if limit != before:
            self.log("target_limit", job, per_second=limit, before=before)

    def log(
        self, event: str, job: job_module.Job, **values: str | float
    ) -> None:
        """Logs a change with the request whose answer has caused it."""
        self.context.log.event(
            event,
            id=job.opening.request_id,
            target=job.opening.target_id,
            **values,
        )
