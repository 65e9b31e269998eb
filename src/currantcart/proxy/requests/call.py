"""State of a request at the node that received it from its caller."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from currantcart.admission import pressure
from currantcart.call import attempt, fingerprint, lineage
from currantcart.proxy.requests import intake
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import job as job_module
from currantcart.routing import picker


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """State of a request between its arrival and its final answer.

    Attributes:
      request: The request as received from its caller.
      service: Service that it is routed to.
      answer: Receives status, head and body of the final answer.
      started_at: When the complete request was received.
      expires_at: When the caller's deadline or the route's time-out ends.
      lineage: What is known of the root request of its call chain.
      outcomes: Outcome of each attempt, the oldest first.
      tried_instances: Instances that were already chosen for an attempt.
      refusing_guards: Number of guards that refused it.
      moves: How often a guard handed it back.
      handed_to_targets: Attempts that reached a target, or may have.
      retry_after_ms: Longest wait that a refusal asked for; 0 for none.
      last_code: Code of the last refusal or loss.
      target: Target of the current attempt.
      link: Stream of the current attempt, when it is at a peer.
      number: Number of the call on that stream.
      job: The request at the local guard, when it is there.
      timer: Ends the request when it expires.
      done: Whether the request has ended.
      partial_answer: First part of an answer whose body isn't complete.
      chunks: Parts of that body, in order.
      missing: Bytes of that body still to come.
      held: Bytes that are reserved for that body.
      local_reply: Receives the result of the local guard; a later attempt
        replaces it, so that results of an earlier one are ignored.
      levels: Pressure levels below the service when shedding was decided.
      placed_at: When the target of the current attempt was chosen.
      expected_ms: Expected time from then until the answer; 0 if unknown.
      expects_wait: Whether all slots of that target were in use.
      fingerprint: Fingerprint of the request's content.
    """

    request: intake.Request
    service: str
    answer: Callable[[int, bytes, bytes], None]
    started_at: float
    expires_at: float
    lineage: lineage.Lineage = lineage.UNKNOWN
    outcomes: list[attempt.Outcome] = dataclasses.field(default_factory=list)
    tried_instances: set[str] = dataclasses.field(default_factory=set)
    refusing_guards: int = 0
    moves: int = 0
    handed_to_targets: int = 0
    retry_after_ms: float = 0.0
    last_code: str = "no_target"
    target: picker.Target | None = None
    link: link.Link | None = None
    number: int = 0
    job: job_module.Job | None = None
    timer: asyncio.TimerHandle | None = None
    done: bool = False
    partial_answer: frames.Answer | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    missing: int = 0
    held: int = 0
    local_reply: object = None
    levels: pressure.Pressure = dataclasses.field(default_factory=dict)
    placed_at: float = 0.0
    expected_ms: float = 0.0
    expects_wait: bool = False
    fingerprint: int = fingerprint.NONE
