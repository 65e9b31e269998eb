"""Selects the target of a service for a call."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Sequence

from currantcart import errors
from currantcart.membership import model as membership_model
from currantcart.routing import ejection, score

SAMPLE_SAME_DOMAIN = 2
SAMPLE_OTHERS = 1
REPORT_AGE_MAX_MS = 2_000.0
EJECTED_SHARE_MAX = 0.5
NO_TARGET_RETRY_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Report:
    """Load that a target's node reported with an answer.

    Attributes:
      load: Calls running and waiting there.
      limit: Its limit on running calls.
      shed_level: Priority up to which it sheds.
      at_ms: When the report was received.
      in_flight: This node's calls there at that time.
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
      seen_ms: When this node first saw it, or saw it restarted.
      in_flight: This node's calls there now.
      report: Last reported load; None before the first answer.
      health: Ejection state.
    """

    def __init__(self, member: membership_model.Member, now: float) -> None:
        self.member = member
        self.seen_ms = now
        self.in_flight = 0
        self.report: Report | None = None
        self.health = ejection.TargetHealth()

    def utilization(self, now: float) -> float:
        """Estimates the share of the target's limit that is in use."""
        ramp = score.ramp_share(now - self.seen_ms, ramp_ms=self.member.ramp_ms)
        report = self.report
        if report is None or now - report.at_ms > REPORT_AGE_MAX_MS:
            return self.in_flight / (max(1, self.member.slots) * ramp)
        sent_since = self.in_flight - report.in_flight
        load = max(float(self.in_flight), report.load + sent_since)
        return load / (max(1.0, report.limit) * ramp)


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Failure domain and region of this node."""

    failure_domain: str
    region: str


class Router:
    """Known targets of all services, and the selection among them."""

    def __init__(self, *, locality: Locality, rng: random.Random) -> None:
        self.locality = locality
        self.rng = rng
        self.evacuated: frozenset[str] = frozenset()
        self.candidates: dict[str, Candidate] = {}
        self.services: dict[str, list[Candidate]] = {}

    def update(
        self,
        members: Collection[membership_model.Member],
        now: float,
        *,
        evacuated: Collection[str] = (),
    ) -> None:
        """Replaces the members; keeps the state of targets that remain.

        Args:
          members: The members.
          now: Milliseconds of the node's clock.
          evacuated: Failure domains whose targets get no calls.
        """
        known = self.candidates
        restored = self.evacuated - frozenset(evacuated)
        self.evacuated = frozenset(evacuated)
        self.candidates = {}
        self.services = {}
        suspects: list[Candidate] = []
        for member in members:
            candidate = known.get(member.instance)
            if candidate is None or candidate.member.started != member.started:
                candidate = Candidate(member, now)
            if member.failure_domain in restored:
                # Its target has had no calls and warms up as a new one does.
                candidate.seen_ms = now
            candidate.member = member
            self.candidates[member.instance] = candidate
            if member.slots == 0 or member.failure_domain in evacuated:
                continue
            if member.status is membership_model.Status.ALIVE:
                self.services.setdefault(member.service, []).append(candidate)
            elif member.status is membership_model.Status.SUSPECT:
                suspects.append(candidate)
        for candidate in suspects:
            # A suspect may only have lost a datagram, so it is used if its
            # service has no other target.
            service = candidate.member.service
            if service not in self.services:
                self.services[service] = [candidate]

    def cost(self, candidate: Candidate, priority: int, now: float) -> float:
        """Returns the cost of one more call at a candidate."""
        member = candidate.member
        cost = score.utilization_cost(candidate.utilization(now))
        cost += score.distance_cost(
            same_domain=member.failure_domain == self.locality.failure_domain,
            same_region=member.region == self.locality.region,
        )
        report = candidate.report
        if (
            report is not None
            and now - report.at_ms < REPORT_AGE_MAX_MS
            and priority <= report.shed_level
        ):
            cost += score.SHEDDING_COST
        return cost

    def usable(
        self, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Returns the candidates that aren't ejected; all if most are.

        When more than half are ejected, a common cause is more likely than
        faults of the targets: a failing dependency or this node's network.
        Sending all calls to the few others would overload those too.
        """
        usable = [c for c in candidates if c.health.usable(now)]
        if len(usable) < len(candidates) * (1.0 - EJECTED_SHARE_MAX):
            return candidates
        return usable

    def sample(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Returns a random sample, preferring this node's failure domain."""
        if len(candidates) <= SAMPLE_SAME_DOMAIN + SAMPLE_OTHERS:
            return candidates
        near = [
            c
            for c in candidates
            if c.member.failure_domain == self.locality.failure_domain
        ]
        sampled = self.rng.sample(near, min(SAMPLE_SAME_DOMAIN, len(near)))
        wanted = SAMPLE_SAME_DOMAIN + SAMPLE_OTHERS - len(sampled)
        rest = [c for c in candidates if c not in sampled]
        return [*sampled, *self.rng.sample(rest, min(wanted, len(rest)))]

    def pick(
        self,
        service: str,
        *,
        priority: int,
        exclude: Collection[str],
        now: float,
    ) -> Candidate:
        """Selects the target for one attempt.

        Args:
          service: Service called.
          priority: Order of the call under overload.
          exclude: Instances that this call was already sent to.
          now: Milliseconds of the node's clock.

        Raises:
          errors.Refusal: No target is known, or all known ones are excluded.
        """
        known = self.services.get(service, [])
        candidates = [c for c in known if c.member.instance not in exclude]
        if not candidates:
            raise errors.Refusal(
                errors.Code.NO_TARGET,
                errors.Step.ROUTE,
                f"no target of {service} is left out of {len(known)} known",
                not_run=True,
                retry_after_ms=NO_TARGET_RETRY_MS,
            )
        sampled = self.sample(self.usable(candidates, now))
        return min(sampled, key=lambda c: self.cost(c, priority, now))

    def record_report(
        self,
        candidate: Candidate,
        *,
        load: float,
        limit: float,
        shed_level: int,
        now: float,
    ) -> None:
        """Records the load that was reported with an answer."""
        candidate.report = Report(
            load=load,
            limit=limit,
            shed_level=shed_level,
            at_ms=now,
            in_flight=candidate.in_flight,
        )
