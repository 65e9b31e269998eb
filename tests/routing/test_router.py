"""Tests target selection and the ejection of failing targets."""

from __future__ import annotations

import collections
import dataclasses
import random

import pytest

from currantcart import errors
from currantcart.membership import model
from currantcart.routing import ejection, router, score


def member(number: int, **more: str | int | float) -> model.Member:
    base = model.Member(
        instance=f"grades-{number}",
        incarnation=1,
        started=1,
        status=model.Status.ALIVE,
        peers="",
        admin="",
        failure_domain=f"domain-{number % 3}",
        region="dar",
        service="grades",
        slots=10,
        ramp_ms=0.0,
        revision=0,
    )
    return dataclasses.replace(base, **more)  # type: ignore[arg-type]


@pytest.fixture
def routing() -> router.Router:
    built = router.Router(
        locality=router.Locality("domain-0", "dar"), rng=random.Random(1)
    )
    built.update([member(n) for n in range(6)], 0.0)
    return built


def send_calls(
    routing: router.Router, calls: int, *, hold: bool = True
) -> collections.Counter[str]:
    """Sends calls and counts them by failure domain."""
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(calls):
        chosen = routing.pick("grades", priority=0, exclude=(), now=0.0)
        chosen.in_flight += hold
        counts[chosen.member.failure_domain] += 1
    return counts


def test_same_domain_is_preferred_until_it_is_loaded(
    routing: router.Router,
) -> None:
    assert set(send_calls(routing, 8)) == {"domain-0"}
    far = send_calls(routing, 30)
    assert far["domain-1"] + far["domain-2"] > far["domain-0"]


def test_excluded_leaving_and_dead_targets_get_no_call(
    routing: router.Router,
) -> None:
    routing.update(
        [
            member(0, status=model.Status.LEAVING),
            member(1, status=model.Status.DEAD),
            member(2, slots=0),
            member(3),
        ],
        0.0,
    )
    with pytest.raises(errors.Refusal) as caught:
        routing.pick("grades", priority=0, exclude={"grades-3"}, now=0.0)
    assert caught.value.code is errors.Code.NO_TARGET
    assert caught.value.not_run


def test_suspect_is_used_if_it_is_the_only_target(
    routing: router.Router,
) -> None:
    routing.update([member(0, status=model.Status.SUSPECT)], 0.0)
    assert send_calls(routing, 1)


def test_target_that_sheds_this_priority_is_avoided(
    routing: router.Router,
) -> None:
    for number in (0, 3):
        routing.record_report(
            routing.candidates[f"grades-{number}"],
            load=1, limit=10, shed_level=5, now=0.0,
        )  # fmt: skip
    assert "domain-0" not in send_calls(routing, 5, hold=False)
    chosen = routing.pick("grades", priority=6, exclude=(), now=0.0)
    assert chosen.member.failure_domain == "domain-0"


def test_started_target_ramps_up_to_its_share() -> None:
    """Guards against time-outs of a cold target that gets its full share."""
    shares = [score.ramp_share(t, ramp_ms=1_000) for t in (0, 500, 1_000)]
    assert shares == [0.1, 0.5, 1.0]


def fail(health: ejection.TargetHealth, times: int, now: float) -> None:
    for _ in range(times):
        health.started()
        health.failed(now)


def test_failing_target_is_ejected_and_recovers_by_probes() -> None:
    """Guards against targets that answer each call at once with an error."""
    health = ejection.TargetHealth()
    fail(health, ejection.FAILURES_IN_ROW, 0.0)
    assert not health.usable(500.0)
    assert health.usable(1_000.0)
    health.started()
    assert not health.usable(1_000.0)
    for _ in range(ejection.PROBE_SUCCESSES):
        health.started()
        health.succeeded()
    assert health.state == ejection.HEALTHY


def test_failed_probe_doubles_the_ejection_time() -> None:
    health = ejection.TargetHealth()
    fail(health, ejection.FAILURES_IN_ROW, 0.0)
    assert health.usable(1_000.0)
    fail(health, 1, 1_000.0)
    assert not health.usable(2_900.0)
    assert health.usable(3_000.0)


def test_target_that_fails_most_calls_is_ejected() -> None:
    health = ejection.TargetHealth()
    for number in range(60):
        if health.state == ejection.HEALTHY:
            if number % 3:
                health.failed(0.0)
            else:
                health.succeeded()
    assert health.state == ejection.EJECTED


def test_calls_are_sent_if_all_targets_are_ejected(
    routing: router.Router,
) -> None:
    """All targets fail if a service that they call is down."""
    for candidate in routing.candidates.values():
        fail(candidate.health, ejection.FAILURES_IN_ROW, 0.0)
    assert sum(send_calls(routing, 12).values()) == 12


def test_state_of_a_target_outlasts_an_update(routing: router.Router) -> None:
    candidate = routing.candidates["grades-0"]
    routing.update([member(0, incarnation=2)], 0.0)
    assert routing.candidates["grades-0"] is candidate
    routing.update([member(0, incarnation=3, started=9)], 0.0)
    assert routing.candidates["grades-0"] is not candidate
