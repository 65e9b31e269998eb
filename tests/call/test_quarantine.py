"""Decisions about requests under which targets have ended."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from currantcart.call import quarantine
from currantcart.call.quarantine import Verdict

NOW = 1_000_000.0
SUSPECT_MS = 120_000.0
QUARANTINE_MS = 600_000.0
REQUEST = 7


def new(*, ends_max: int = 3, requests_max: int = 16) -> quarantine.Quarantine:
    return quarantine.Quarantine(
        quarantine.Limits(
            ends_max=ends_max,
            requests_max=requests_max,
            suspect_ms=SUSPECT_MS,
            quarantine_ms=QUARANTINE_MS,
        )
    )


def end(target: int, *, at: float = NOW, number: int = 1) -> quarantine.End:
    return quarantine.End(f"t{target}", number, at)


def with_ends(count: int) -> quarantine.Quarantine:
    known = new()
    for target in range(count):
        known.record_end(REQUEST, end(target), NOW)
    return known


def test_the_verdict_gets_stricter_with_each_end() -> None:
    verdicts = [with_ends(count).verdict(REQUEST, NOW) for count in range(5)]
    assert verdicts == [
        Verdict.CLEAR,
        Verdict.SUSPECT,
        Verdict.LAST_TRIAL,
        Verdict.QUARANTINED,
        Verdict.QUARANTINED,
    ]


def test_an_end_counts_once_from_whoever_it_is_reported() -> None:
    known = new()
    assert known.record_end(REQUEST, end(1), NOW)
    assert not known.record_end(REQUEST, end(1, at=NOW + 30), NOW + 30)
    assert known.verdict(REQUEST, NOW) is Verdict.SUSPECT


def test_ends_of_a_target_that_keeps_its_id_count_one_by_one() -> None:
    """Guards against a target whose id does not change when it restarts."""
    known = new()
    for number in (1, 2, 3):
        known.record_end(REQUEST, end(1, number=number), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.QUARANTINED


def test_an_answer_clears_a_request() -> None:
    known = with_ends(2)
    assert known.record_answer(REQUEST, NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.CLEAR


def test_ends_that_were_cleared_do_not_come_back() -> None:
    """Guards against a peer that still reports what was cleared."""
    known = with_ends(2)
    known.record_answer(REQUEST, NOW)
    assert not known.record_end(REQUEST, end(1, at=NOW + 50), NOW + 50)
    assert known.verdict(REQUEST, NOW) is Verdict.CLEAR


def test_an_end_after_an_answer_counts() -> None:
    known = with_ends(2)
    known.record_answer(REQUEST, NOW)
    assert known.record_end(REQUEST, end(9), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.SUSPECT


def test_a_clearance_that_arrives_before_its_end_holds() -> None:
    """Guards against messages of two peers that overtake each other."""
    known = new()
    known.record_end(REQUEST, end(1), NOW)
    known.clear(REQUEST, NOW, [("t2", 1)])
    known.record_end(REQUEST, end(2), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.SUSPECT


def test_a_recent_answer_is_remembered_for_a_while() -> None:
    known = new()
    known.record_answer(REQUEST, NOW)
    assert known.was_answered(REQUEST, NOW + quarantine.ANSWERED_MS - 1)
    assert not known.was_answered(REQUEST, NOW + quarantine.ANSWERED_MS)


def test_a_quarantined_request_gets_one_trial_after_a_time() -> None:
    known = with_ends(3)
    later = NOW + QUARANTINE_MS
    assert known.left_ms(REQUEST, NOW) == QUARANTINE_MS
    assert known.verdict(REQUEST, later - 1) is Verdict.QUARANTINED
    assert known.verdict(REQUEST, later) is Verdict.LAST_TRIAL
    known.record_end(REQUEST, end(9, at=later), later)
    assert known.verdict(REQUEST, later) is Verdict.QUARANTINED


def test_a_suspect_request_is_forgotten_after_a_time() -> None:
    known = with_ends(2)
    assert known.verdict(REQUEST, NOW + SUSPECT_MS) is Verdict.CLEAR
    known.expire(NOW + SUSPECT_MS)
    assert not known.records


def test_old_ends_do_not_add_up_with_new_ones() -> None:
    known = with_ends(2)
    later = NOW + SUSPECT_MS
    known.record_end(REQUEST, end(9, at=later), later)
    assert known.verdict(REQUEST, later) is Verdict.SUSPECT


def test_an_assumed_end_is_dropped_if_the_target_lives() -> None:
    known = with_ends(2)
    known.record_end(REQUEST, end(5, number=quarantine.UNCONFIRMED), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.QUARANTINED
    known.clear_assumed("t5")
    assert known.verdict(REQUEST, NOW) is Verdict.LAST_TRIAL


def test_an_assumed_end_is_replaced_by_the_confirmed_one() -> None:
    """Guards against one end that counts twice, as assumed and as known."""
    known = new()
    known.record_end(REQUEST, end(5, number=quarantine.UNCONFIRMED), NOW)
    known.record_end(REQUEST, end(5, number=8), NOW)
    known.record_end(REQUEST, end(5, number=quarantine.UNCONFIRMED), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.SUSPECT


def test_nothing_is_quarantined_without_a_limit() -> None:
    known = new(ends_max=0)
    for target in range(5):
        assert not known.record_end(REQUEST, end(target), NOW)
    assert known.verdict(REQUEST, NOW) is Verdict.CLEAR


def test_the_request_with_the_fewest_ends_makes_room() -> None:
    """Guards against many innocent requests that displace a quarantine."""
    known = with_ends(3)
    for other in range(100, 150):
        known.record_end(other, end(1), NOW)
    assert len(known.records) == 16
    assert known.verdict(REQUEST, NOW) is Verdict.QUARANTINED


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 40),
            strategies.integers(1, 30),
            strategies.booleans(),
        ),
        max_size=200,
    )
)
def test_memory_is_bounded(events: list[tuple[int, int, bool]]) -> None:
    known = new()
    for fingerprint, number, answered in events:
        if answered:
            known.record_answer(fingerprint, NOW)
        else:
            known.record_end(fingerprint, end(number, number=number), NOW)
        assert len(known.records) <= 16
        for record in known.records.values():
            assert len(record.ends) <= quarantine.ENDS_KEPT
            assert len(record.cleared) <= quarantine.ENDS_KEPT


@hypothesis.given(
    strategies.permutations(
        [("end", 1), ("end", 2), ("end", 3), ("clear", 1), ("clear", 2)]
    )
)
def test_the_order_of_messages_does_not_matter(
    messages: list[tuple[str, int]],
) -> None:
    known = new()
    known.record_end(REQUEST, end(9), NOW)
    for kind, number in messages:
        if kind == "end":
            known.record_end(REQUEST, end(number), NOW)
        else:
            known.clear(REQUEST, NOW, [(f"t{number}", 1)])
    assert {item.target_id for item in known.records[REQUEST].ends} == {
        "t3",
        "t9",
    }
