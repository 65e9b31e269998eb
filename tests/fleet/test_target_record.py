"""Tests which reports of a target are accepted."""

from __future__ import annotations

import itertools

import pytest

from currantcart.fleet import target_record
from currantcart.fleet.target_record import Phase


def report(
    phase: Phase = Phase.READY,
    *,
    sequence: int = 1,
    born: int = 100,
    target_id: str = "t",
) -> target_record.Report:
    return target_record.Report(target_id, born, sequence, phase, "s", 10)


def restored() -> target_record.TargetRecord:
    record = target_record.TargetRecord()
    record.restore(None)
    return record


def test_a_late_report_of_an_earlier_incarnation_is_ignored() -> None:
    record = restored()
    assert record.apply(report(born=200))
    assert not record.apply(report(born=100, sequence=9))


def test_the_sequence_starts_again_with_each_incarnation() -> None:
    record = restored()
    assert record.apply(report(sequence=50))
    assert record.apply(report(sequence=1, born=200))


@pytest.mark.parametrize("leaving", [Phase.DRAINING, Phase.LEFT])
@pytest.mark.parametrize("sequence", [1, 5, 99])
def test_leaving_is_final_within_an_incarnation(
    leaving: Phase, sequence: int
) -> None:
    """A heartbeat sent before the leave may arrive seconds after it."""
    record = restored()
    record.apply(report(sequence=4))
    assert record.apply(report(leaving, sequence=5))
    assert not record.apply(report(sequence=sequence))


def test_a_leave_without_incarnation_refers_to_the_present_one() -> None:
    record = restored()
    record.apply(report(sequence=4))
    assert record.apply(report(Phase.LEFT, sequence=0, born=0))
    assert not record.apply(report(sequence=5))
    assert record.apply(report(sequence=1, born=300))


def test_the_restored_record_binds_the_next_process() -> None:
    record = target_record.TargetRecord()
    record.restore(report(Phase.DRAINING, sequence=7))
    assert not record.apply(report(sequence=6))
    assert not record.apply(report(sequence=8))


def test_with_the_store_unavailable_a_second_report_is_needed() -> None:
    record = target_record.TargetRecord()
    assert not record.apply(report(sequence=3))
    assert not record.apply(report(sequence=3))
    assert record.apply(report(sequence=4))


def test_every_order_of_reports_ends_with_the_leave() -> None:
    reports = [
        report(sequence=1),
        report(sequence=2),
        report(Phase.DRAINING, sequence=3),
        report(Phase.LEFT, sequence=3),
    ]
    for order in itertools.permutations(reports):
        record = restored()
        for item in order:
            record.apply(item)
        assert record.last is not None
        assert record.last.phase is Phase.LEFT
