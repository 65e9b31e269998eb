"""A request on its way, as its first node keeps it."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from currantcart.admission import pressure
from currantcart.call import attempt, lineage
from currantcart.proxy.requests import intake
from currantcart.proxy.streams import frames, link
from currantcart.proxy.targets import job as job_module
from currantcart.routing import picker


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """A request on its way.

    Attributes:
      request: The request as taken from its caller.
      service: Service that it goes to.
      answer: Takes the final answer.
      started_at: When it was whole.
      expires_at: When its caller, or the operator, no longer waits.
      lineage: What it has of the request at which its chain began.
      outcomes: What is known of each attempt.
      passed_over: Instances that had it already.
      guards: Guards that refused it.
    """

    request: intake.Request
    service: str
    answer: Callable[[int, bytes, bytes], None]
    started_at: float
    expires_at: float
    lineage: lineage.Lineage = lineage.UNKNOWN
    outcomes: list[attempt.Outcome] = dataclasses.field(default_factory=list)
    passed_over: set[str] = dataclasses.field(default_factory=set)
    guards: int = 0
    handed_to_targets: int = 0
    retry_after_ms: float = 0.0
    last_code: str = "no_target"
    target: picker.Target | None = None
    link: link.Link | None = None
    number: int = 0
    job: job_module.Job | None = None
    timer: asyncio.TimerHandle | None = None
    done: bool = False
    pending: frames.Answer | None = None
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    missing: int = 0
    local: object = None
    levels: pressure.Pressure = dataclasses.field(default_factory=dict)
