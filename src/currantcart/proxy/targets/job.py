"""A request at the guard of its target, and the head of the response to it."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from currantcart.admission import slots
from currantcart.call import lineage
from currantcart.http1 import pool, status
from currantcart.proxy import header_names
from currantcart.proxy.streams import frames

# Statuses with which the not-executed header is trusted.
COULD_NOT_RUN = frozenset({400, 429, 503})
# The target is not the expected one and did not run the request.
MISDIRECTED = 421
# Value of the header of a target that is leaving.
LEAVING = b"1"


class ReplyTo(Protocol):
    """Receives a request's outcome: one method is called, once.

    None is called for a request that is cancelled.
    """

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Receives the target's complete response."""

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Called when the request did not run and will not run."""

    def lost(self, code: str, *, end_number: int = 0) -> None:
        """Called when the request may have run and its response is lost.

        Args:
          code: Why.
          end_number: Number of the end of the target, if it has ended.
        """


@dataclasses.dataclass(slots=True)
class Job:
    """A request at the guard.

    Attributes:
      opening: The request, with its complete body.
      expires_at: Deadline, on this node's clock.
      arrived_at: Time at which the guard received it.
      reply: Receives the outcome; None once the outcome was reported or the
        request cancelled.
      ticket: Its place in the queue or its slot.
      connection: Connection to the target that carries it.
      handed_at: Time at which it was written to the target; negative before.
      pace_weight: Its weight in the pace of the target while it runs there.
      counted_at_end: Whether the target has ended while it ran.
      end_number: Number of that end; 0 if it is not held against it.
    """

    opening: frames.Open
    expires_at: float
    arrived_at: float
    reply: ReplyTo | None
    ticket: slots.Ticket[Job] | None = None
    connection: pool.Connection | None = None
    handed_at: float = -1.0
    pace_weight: float = 0.0
    counted_at_end: bool = False
    end_number: int = 0

    def take_refusal(self, *, at_target: bool = False) -> ReplyTo | None:
        """Returns who is told that the request did not run, and ends it.

        A request that was handed to the target may have run; only the target
        itself can tell that it did not.

        Args:
          at_target: Whether the target has stated that it did not run it.

        Returns:
          None if the request has ended before, or may have run.
        """
        if self.handed_at >= 0 and not at_target:
            return None
        reply, self.reply = self.reply, None
        return reply

    def lineage(self) -> lineage.Lineage:
        """Returns the lineage of the calls that the target makes for it."""
        return lineage.Lineage(
            rank=slots.root_rank(self.opening.priority),
            is_retry=self.opening.from_retry,
            workspace=self.opening.workspace,
            weight=self.opening.weight,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Parsed head of a target's response.

    Attributes:
      request_id: Id of the request that it answers; None if not given.
      sealed: Whether it carries the target's seal or, as a response that is
        not a success, needs none.
      refused: Whether it states that the target did not run the request.
      limit: Rate limit that the target states; None if it states none.
      leaving: Whether the target states that it is leaving.
      head: End-to-end header lines.
    """

    request_id: bytes | None
    sealed: bool
    refused: bool
    limit: bytes | None
    leaving: bool
    head: bytes


def read_answer(
    response: pool.Response, keys: header_names.HeaderKeys
) -> AnswerHead:
    """Parses the head of a target's response.

    Args:
      response: The response.
      keys: Header names of the deployment.
    """
    request_id: bytes | None = None
    limit: bytes | None = None
    leaving = False
    sealed = response.status >= status.NO_SUCCESS
    not_executed = response.status == MISDIRECTED
    lines: list[bytes] = []
    for name, value in response.headers:
        key = name.lower()
        if key == keys.request_id:
            request_id = value
        elif key == keys.not_executed:
            not_executed |= response.status in COULD_NOT_RUN
            continue
        elif key == keys.seal:
            sealed = True
        elif key == keys.limit:
            limit = value
        elif key == keys.leaving:
            leaving = value == LEAVING
        elif key in keys.stripped:
            continue
        lines.append(name + b": " + value + b"\r\n")
    return AnswerHead(
        request_id, sealed, not_executed, limit, leaving, b"".join(lines)
    )
