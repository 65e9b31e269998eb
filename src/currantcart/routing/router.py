"""The router: which target of a service takes a call."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

from currantcart import errors
from currantcart.membership import model as membership_model
from currantcart.routing import ejection, score

SAMPLE_NEAR = 2
SAMPLE_FAR = 1
REPORT_MEMORY_MS = 2_000.0
EJECTED_SHARE_MAX = 0.5
NO_TARGET_RETRY_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Report:
    """Load that a target's node reported on an answer.

    Attributes:
      load: Calls running and waiting there.
      limit: Its limit on running calls.
      shed_level: Priority up to which it sheds.
      at_ms: When it was heard.
      in_flight: Own calls there at that time.
    """

    load: float
    limit: float
    shed_level: int
    at_ms: float
    in_flight: int


class Candidate:
    """One target as this node knows it.

    Attributes:
      member: The node beside the target.
      seen_ms: When this node first heard of it, less its age then.
      in_flight: Own calls there now.
      report: Last load heard; None before the first answer.
      health: Ejection state.
    """

    def __init__(self, member: membership_model.Member, now: float) -> None:
        self.member = member
        self.seen_ms = now
        self.in_flight = 0
        self.report: Report | None = None
        self.health = ejection.TargetHealth()

    def utilization(self, now: float) -> float:
        """Estimates the share of its limit in use."""
        ramp = score.ramp_share(now - self.seen_ms, ramp_ms=self.member.ramp_ms)
        report = self.report
        if report is None or now - report.at_ms > REPORT_MEMORY_MS:
            return self.in_flight / (max(1, self.member.slots) * ramp)
        sent_since = self.in_flight - report.in_flight
        load = max(float(self.in_flight), report.load + sent_since)
        return load / (max(1.0, report.limit) * ramp)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this node runs."""

    failure_domain: str
    region: str


class Router:
    """Targets of all services and the choice among them."""

    def __init__(self, *, place: Place, rng: random.Random) -> None:
        self.place = place
        self.rng = rng
        self.candidates: dict[str, Candidate] = {}
        self.services: dict[str, list[Candidate]] = {}

    def update(
        self, members: Collection[membership_model.Member], now: float
    ) -> None:
        """Takes the present members; keeps what is known of those staying."""
        known = self.candidates
        self.candidates = {}
        self.services = {}
        suspects: list[Candidate] = []
        for member in members:
            candidate = known.get(member.instance)
            if candidate is None or candidate.member.started != member.started:
                candidate = Candidate(member, now)
            candidate.member = member
            self.candidates[member.instance] = candidate
            if member.slots == 0:
                continue
            if member.status is membership_model.Status.ALIVE:
                self.services.setdefault(member.service, []).append(candidate)
            elif member.status is membership_model.Status.SUSPECT:
                suspects.append(candidate)
        for candidate in suspects:
            # A suspect may only have lost a datagram; it is used when the
            # choice is between it and no target at all.
            service = candidate.member.service
            if service not in self.services:
                self.services[service] = [candidate]

    def cost(self, candidate: Candidate, priority: int, now: float) -> float:
        """Returns the cost of one more call at a candidate."""
        member = candidate.member
        cost = score.utilization_cost(candidate.utilization(now))
        cost += score.distance_cost(
            same_domain=member.failure_domain == self.place.failure_domain,
            same_region=member.region == self.place.region,
        )
        report = candidate.report
        if (
            report is not None
            and now - report.at_ms < REPORT_MEMORY_MS
            and priority <= report.shed_level
        ):
            cost += score.SHEDDING_COST
        return cost

    def usable(
        self, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Returns the candidates that health lets through, never none.

        When more than half are ejected, the fault is more likely common to
        all (a bad dependency, this node's own link) than theirs; leaving the
        few others to carry everything would bring those down too.
        """
        usable = [c for c in candidates if c.health.usable(now)]
        if len(usable) < len(candidates) * (1.0 - EJECTED_SHARE_MAX):
            return candidates
        return usable

    def sample(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Draws a few candidates, near ones first."""
        if len(candidates) <= SAMPLE_NEAR + SAMPLE_FAR:
            return candidates
        near = [
            c
            for c in candidates
            if c.member.failure_domain == self.place.failure_domain
        ]
        drawn = self.rng.sample(near, min(SAMPLE_NEAR, len(near)))
        wanted = SAMPLE_NEAR + SAMPLE_FAR - len(drawn)
        rest = [c for c in candidates if c not in drawn]
        return [*drawn, *self.rng.sample(rest, min(wanted, len(rest)))]

    def pick(
        self,
        service: str,
        *,
        priority: int,
        exclude: Collection[str],
        now: float,
    ) -> Candidate:
        """Chooses the target for one attempt.

        Args:
          service: Service called.
          priority: Order of the call under overload.
          exclude: Instances that this call has tried.
          now: Present time.

        Raises:
          errors.Refusal: No target of the service is known or left.
        """
        known = self.services.get(service, [])
        candidates = [c for c in known if c.member.instance not in exclude]
        if not candidates:
            raise errors.Refusal(
                errors.Code.NO_TARGET,
                errors.Step.ROUTE,
                f"no target of {service} is left of {len(known)} known",
                not_run=True,
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
        drawn = self.sample(self.usable(candidates, now))
        return min(drawn, key=lambda c: self.cost(c, priority, now))

    def report(
        self,
        candidate: Candidate,
        *,
        load: float,
        limit: float,
        shed_level: int,
        now: float,
    ) -> None:
        """Takes the load that came back on an answer."""
        candidate.report = Report(
            load=load,
            limit=limit,
            shed_level=shed_level,
            at_ms=now,
            in_flight=candidate.in_flight,
        )
