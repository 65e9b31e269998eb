"""Record of what callers and targets observed, and checks of the promises."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

NOT_RUN = frozenset({408, 421, 429, 503})
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.0
EVACUATION_SECONDS = 10.0
"""Bound of an evacuation, with its stretch while faults disturb the nodes."""

ADAPT_SECONDS = 3.0
"""Time after a target's first statement of a limit from which it is checked."""
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
ENDS_MAX = 3
"""Targets that may end under a request before no other one gets it."""
ENDS_KNOWN_SECONDS = 2.0
"""Time after which all nodes that nothing has disturbed know of an end."""
RATE_WINDOW_SECONDS = 5.0
RATE_OVERSHOOT = 0.1
RATE_SLACK = 20


@dataclasses.dataclass(slots=True)
class Sent:
    """A request as its caller observed it.

    Attributes:
      request_id: Request id.
      key: API key in the request.
      idempotent: Whether the request may run more than once.
      at: Time of sending, in seconds of the monotonic clock.
      body: Request body.
      status: Status of the answer; 0 if no complete answer was received.
      answer: Body of the answer.
      answered_id: Request id in the answer.
      instance: Instance of the node that it was sent to.
      workspace: Workspace that holds the key.
      path: Path of the request.
    """

    request_id: str
    key: str
    idempotent: bool
    at: float
    body: bytes
    status: int = 0
    answer: bytes = b""
    answered_id: str = ""
    instance: str = ""
    workspace: str = "mill"
    path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """One run of a request as its target observed it.

    Attributes:
      request_id: Request id.
      target_id: Target that ran the request.
      at: Start of the run, in seconds of the monotonic clock.
      body: Request body.
      workspace: Workspace named in the request's header.
      expected: Id of the target that the node addressed the request to.
      domain: Failure domain of the target.
      instance: Instance of the node beside the target.
    """

    request_id: str
    target_id: str
    at: float
    body: bytes
    workspace: str
    expected: str
    domain: str = ""
    instance: str = ""


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An evacuation of a failure domain.

    Attributes:
      domain: The failure domain.
      at: When the store acknowledged it, in seconds of the monotonic clock.
      until: When it was ended.
    """

    domain: str
    at: float
    until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Limit:
    """A rate limit that a target stated in its answers.

    Attributes:
      target_id: Id of the target.
      per_second: Requests per second.
      at: Since when, in seconds of the monotonic clock.
      until: Until when.
    """

    target_id: str
    per_second: float
    at: float
    until: float = float("inf")

    def broken_by(self, arrivals: list[float]) -> bool:
        """Returns whether the target got more than it had stated."""
        seen = [
            at for at in arrivals if self.at + ADAPT_SECONDS <= at < self.until
        ]
        window = LIMIT_WINDOW_SECONDS
        allowed = LIMIT_OVERSHOOT * self.per_second * window + LIMIT_SLACK
        return any(
            sum(first <= at < first + window for at in seen) > allowed
            for first in seen
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Rate limit of a workspace over all nodes.

    Attributes:
      workspace: The workspace.
      per_second: Requests per second.
      burst: Requests beyond the rate that may arrive at once.
    """

    workspace: str
    per_second: float
    burst: float

    @property
    def allowed(self) -> float:
        """Most requests that may be sent and run within one window."""
        whole = self.per_second * RATE_WINDOW_SECONDS + self.burst
        return whole * (1.0 + RATE_OVERSHOOT) + RATE_SLACK

    def most(self, spans: list[tuple[float, float]]) -> int:
        """Returns how many requests were sent and ran within some window.

        Args:
          spans: When each request was sent, and when it first ran.
        """
        window = RATE_WINDOW_SECONDS
        return max(
            (
                sum(
                    first <= sent and ran <= first + window
                    for sent, ran in spans
                )
                for first, _ in spans
            ),
            default=0,
        )


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that callers and targets observed.

    Attributes:
      sent: Requests by id.
      ran: Runs in their order.
      withdrawn: Time at which each key was withdrawn.
      left: Time at which each target's draining report was acknowledged.
      told_leave: When each instance first passed on an answer in which a
        target states that it is leaving, by instance and target.
      disturbed: When each instance's node was last stopped or paused.
      delayed: When the streams to each instance's node were last disturbed.
      ends: When a target ended under a request, by the request's path.
      limits: Stated limits in their order.
      evacuations: Evacuations in their order.
      rates: Rate limits of workspaces.
      ended: Name and exit status of each process that exited unexpectedly.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    withdrawn: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    told_leave: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    disturbed: dict[str, float] = dataclasses.field(default_factory=dict)
    delayed: dict[str, float] = dataclasses.field(default_factory=dict)
    ends: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    limits: list[Limit] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    rates: list[Rate] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)


def broken(record: Record) -> Iterator[str]:
    """Yields one line for each broken promise."""
    for ended in record.ended:
        yield f"ENDED: {ended}"
    for limit in record.limits:
        target_id = limit.target_id
        arrivals = [ran.at for ran in record.ran if ran.target_id == target_id]
        if limit.broken_by(arrivals):
            yield f"LIMIT: {target_id} got more than {limit.per_second:.1f}/s"
    for rate in record.rates:
        most = rate.most(first_runs(record, rate.workspace))
        if most > rate.allowed:
            yield (
                f"QUOTA: {most} of {rate.workspace}, allowed {rate.allowed:.0f}"
            )
    runs: dict[str, int] = {}
    for ran in record.ran:
        runs[ran.request_id] = runs.get(ran.request_id, 0) + 1
        yield from broken_by_run(record, ran)
    for sent in record.sent.values():
        count = runs.get(sent.request_id, 0)
        if not sent.idempotent and count > 1:
            yield f"TWICE: {sent.request_id} ran {count} times"
        if not sent.idempotent and count and sent.status in NOT_RUN:
            yield f"REFUSED: {sent.request_id} got {sent.status} and ran"
        yield from broken_by_answer(sent, count)


def first_runs(record: Record, workspace: str) -> list[tuple[float, float]]:
    """Returns when a workspace's requests were sent and first ran."""
    spans: dict[str, tuple[float, float]] = {}
    for ran in record.ran:
        sent = record.sent.get(ran.request_id)
        if sent is not None and sent.workspace == workspace:
            spans.setdefault(ran.request_id, (sent.at, ran.at))
    return list(spans.values())


def broken_by_run(record: Record, ran: Ran) -> Iterator[str]:
    """Yields the promises that one run breaks."""
    sent = record.sent.get(ran.request_id)
    if sent is None:
        yield f"UNASKED: {ran.request_id} ran and nobody sent it"
        return
    if ran.body != sent.body or ran.workspace != sent.workspace:
        yield f"UNASKED: {ran.request_id} ran with another body or workspace"
    if ran.expected != ran.target_id:
        yield f"ROUTE: {ran.request_id} ran at {ran.target_id}"
    withdrawn_at = record.withdrawn.get(sent.key)
    if withdrawn_at is not None and sent.at > withdrawn_at + REVOKE_SECONDS:
        yield f"CONFIG: {ran.request_id} ran with a withdrawn key"
    left_at = record.left.get(ran.target_id)
    if left_at is not None and ran.at > left_at + DRAIN_SECONDS:
        yield f"DRAIN: {ran.request_id} came to {ran.target_id}, which left"
    told_at = record.told_leave.get((sent.instance, ran.target_id))
    if (
        told_at is not None
        and sent.at > told_at + DRAIN_SECONDS
        and record.disturbed.get(sent.instance, 0.0) < told_at
    ):
        yield f"DRAIN: {ran.request_id} came to {ran.target_id}, which leaves"
    if is_one_too_many(record, sent, ran):
        yield f"ENDS: {ran.request_id} ({sent.path}) came to {ran.target_id}"
    for evacuation in record.evacuations:
        begin = evacuation.at + EVACUATION_SECONDS
        if (
            ran.domain == evacuation.domain
            and begin < ran.at < evacuation.until
        ):
            yield f"EVAC: {ran.request_id} came to {ran.target_id}"


def is_one_too_many(record: Record, sent: Sent, ran: Ran) -> bool:
    """Returns whether a run follows too many ends under the same request.

    Nodes that were stopped, paused or cut off since the first end may not know
    of all.
    """
    ends = record.ends.get(sent.path, [])
    if len(ends) < ENDS_MAX:
        return False
    known_at = ends[ENDS_MAX - 1] + ENDS_KNOWN_SECONDS
    disturbed = [
        at.get(instance, 0.0)
        for at in (record.disturbed, record.delayed)
        for instance in (sent.instance, ran.instance)
    ]
    return sent.at > known_at and max(disturbed) < ends[0]


def broken_by_answer(sent: Sent, runs: int) -> Iterator[str]:
    """Yields the promises that the answer to one request breaks."""
    if not 200 <= sent.status < 300:
        return
    if not runs:
        yield f"MIXED: {sent.request_id} got {sent.status} and never ran"
    if sent.answered_id != sent.request_id:
        yield f"MIXED: {sent.request_id} got {sent.answered_id}'s answer"
    if sent.answer != answer_to(sent.request_id):
        yield f"MIXED: {sent.request_id} got a body that is not whole"


def answer_to(request_id: str) -> bytes:
    """Returns the body with which targets answer a request."""
    return f"done {request_id} ".encode() * 20
