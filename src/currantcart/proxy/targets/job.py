"""A request beside its target, and what the target's answer says of it."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from currantcart.admission import slots
from currantcart.call import lineage
from currantcart.http1 import pool, status
from currantcart.proxy import dialect
from currantcart.proxy.streams import frames

COULD_NOT_RUN = frozenset({400, 429, 503})
MISDIRECTED = 421


class ReplyTo(Protocol):
    """Takes the end of a request at the guard; one of the three is called."""

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Takes the target's whole answer."""

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Takes the word that the request did not run and never will."""

    def lost(self, code: str) -> None:
        """Takes that the request may have run and has no answer."""


@dataclasses.dataclass(slots=True)
class Job:
    """A request at the guard.

    Attributes:
      opening: The request, with its whole body.
      expires_at: When nobody waits for it, on this node's clock.
      arrived_at: When it came to the guard.
      reply: Takes its end; None once it was told.
      ticket: Its place at the target.
      connection: The connection that carries it.
      handed_at: When it was written to the target; negative before.
    """

    opening: frames.Open
    expires_at: float
    arrived_at: float
    reply: ReplyTo | None
    ticket: slots.Ticket[Job] | None = None
    connection: pool.Connection | None = None
    handed_at: float = -1.0

    def lineage(self) -> lineage.Lineage:
        """Returns what the calls have that the target makes for it."""
        return lineage.Lineage(
            rank=slots.root_rank(self.opening.priority),
            repeated=self.opening.repeated,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the headers of a target's answer say.

    Attributes:
      request_id: Request that it answers; None when it doesn't say.
      sealed: Whether it bears the target's seal, or needs none.
      refused: Whether the target says that it did not run the request.
      head: End-to-end header lines.
    """

    request_id: bytes | None
    sealed: bool
    refused: bool
    head: bytes


def read_answer(
    response: pool.Response, keys: dialect.HeaderKeys
) -> AnswerHead:
    """Reads what the headers of an answer say."""
    request_id: bytes | None = None
    sealed = response.status >= status.NO_SUCCESS
    not_executed = response.status == MISDIRECTED
    lines: list[bytes] = []
    for name, value in response.headers:
        low = name.lower()
        if low == keys.request_id:
            request_id = value
        elif low == keys.not_executed:
            not_executed |= response.status in COULD_NOT_RUN
            continue
        elif low == keys.seal:
            sealed = True
        elif low in keys.stripped:
            continue
        lines.append(name + b": " + value + b"\r\n")
    return AnswerHead(request_id, sealed, not_executed, b"".join(lines))
