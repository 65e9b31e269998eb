"""Tests of the work times by kind and of the pace of a target."""

from __future__ import annotations

import random

import pytest

from currantcart.admission import work_by_kind

SLOTS = 20


def measured(**times: float) -> work_by_kind.WorkByKind:
    known = work_by_kind.WorkByKind()
    for kind, work_ms in times.items():
        for _ in range(work_by_kind.SAMPLES_MIN):
            known.record(kind, work_ms, 0.0)
    return known


def test_each_kind_has_its_own_time() -> None:
    """Guards against a target that gets long requests looking slow."""
    assert measured(short=20.0, long=800.0).report(0.0) == {
        "short": 20,
        "long": 800,
    }


def test_a_kind_with_few_samples_is_not_reported() -> None:
    known = measured(a=100.0)
    for _ in range(work_by_kind.SAMPLES_MIN - 1):
        known.record("b", 100.0, 0.0)
    assert known.report(0.0).keys() == {"a"}
    assert known.usual_ms("b") == 0.0


def test_requests_that_time_out_count_as_long_ones() -> None:
    """Guards against a target that looks fast since its slow ones time out."""
    known = measured(a=1_000.0)
    for _ in range(200):
        known.record_cancelled("a", 1_200.0, 0.0)
        known.record_cancelled("a", 50.0, 0.0)
    assert known.usual_ms("a") == pytest.approx(1_200.0, rel=0.01)


def test_a_request_without_a_kind_is_not_recorded() -> None:
    """A node of an older release does not name the kind."""
    known = measured(**{"": 100.0})
    assert not known.kinds


def test_the_number_of_kinds_is_bounded() -> None:
    """Guards against state that grows with the routes of a configuration."""
    known = measured(**{f"k{number}": 50.0 for number in range(50)})
    assert len(known.kinds) == work_by_kind.KINDS_MAX
    known.record("new", 50.0, work_by_kind.EXPIRY_MS + 1)
    assert known.kinds.keys() == {"new"}


def test_the_time_of_an_unused_kind_expires() -> None:
    """Guards against a target that is avoided for ever after it was slow."""
    known = measured(a=900.0)
    assert known.report(work_by_kind.EXPIRY_MS)
    assert not known.report(work_by_kind.EXPIRY_MS + 1)


def test_a_report_is_repeated_until_a_time_changes_by_a_tenth() -> None:
    """Guards against statuses that differ each time, and compress poorly."""
    known = measured(a=100.0)
    first = known.report(0.0)
    for _ in range(100):
        known.record("a", 107.0, 0.0)
    assert known.report(0.0) is first
    for _ in range(200):
        known.record("a", 120.0, 0.0)
    assert known.report(0.0)["a"] == pytest.approx(120.0, abs=2.0)


class Work:
    """Requests that follow each other on the slots of a target."""

    def __init__(self, *, slots: int = SLOTS, usual_ms: float = 100.0) -> None:
        self.rng = random.Random(5)
        self.pace = work_by_kind.Pace()
        self.usual_ms = usual_ms
        self.now = 0.0
        self.running = [self.start(1.0) for _ in range(slots)]

    def start(self, factor: float) -> tuple[float, float]:
        weight = self.pace.start(self.usual_ms, self.now)
        work_ms = self.usual_ms * self.rng.lognormvariate(0, 0.45)
        return self.now + work_ms * factor, weight

    def run(self, duration_ms: float, *, factor: float = 1.0) -> float:
        """Returns the pace after a time with a factor on the work."""
        end = self.now + duration_ms
        while min(self.running)[0] < end:
            first = min(self.running)
            self.running.remove(first)
            self.now = first[0]
            self.pace.end(first[1], self.now, completed=True)
            self.running.append(self.start(factor))
        self.now = end
        return self.pace.slow_now(end)


def test_a_target_at_its_usual_pace_is_rarely_reported_as_slow() -> None:
    """Guards against requests that avoid targets because of noise."""
    work = Work()
    work.run(5_000.0)
    paces = [work.run(100.0) for _ in range(100)]
    assert sum(pace > 1 for pace in paces) <= 5


def test_a_short_slow_time_is_reported_and_withdrawn() -> None:
    """2.5 times slower for 600 ms: at 400 ms most of the excess is seen."""
    work = Work()
    work.run(5_000.0)
    assert work.run(400.0, factor=2.5) >= 1.75
    work.run(200.0, factor=2.5)
    assert work.run(1_000.0) == 1


def test_a_target_that_hangs_is_slow_before_any_request_ends() -> None:
    work = Work()
    work.run(5_000.0)
    assert work.run(400.0, factor=100.0) >= 2.0


def test_a_permanently_slow_target_becomes_usual() -> None:
    """Its slowness is then seen in the work times by kind."""
    work = Work()
    work.run(5_000.0)
    assert work.run(120_000.0, factor=2.0) <= 1.5


def test_requests_that_run_during_a_restart_leave_no_weight() -> None:
    """Guards against a pace that counts requests of the previous process."""
    work = Work(slots=1)
    _, weight = work.running[0]
    work.pace.reset()
    work.pace.end(weight, 50.0, completed=False)
    assert work.pace.running == 0.0
    assert work.pace.slow_now(5_000.0) == 1


def test_kinds_of_unknown_time_are_ignored_by_the_pace() -> None:
    pace = work_by_kind.Pace()
    weight = pace.start(0.0, 1.0)
    pace.end(weight, 10_000.0, completed=True)
    assert pace.slow_now(10_000.0) == 1
    assert pace.recent.completed == 0.0
