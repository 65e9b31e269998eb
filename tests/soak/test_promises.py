"""Tests that the soak finds a violation of each promise."""

from __future__ import annotations

import dataclasses

import pytest

from bench.soak import promises


def valid_record() -> promises.Record:
    """Returns a record in which no promise is broken."""
    record = promises.Record()
    record.sent["r1"] = promises.Sent(
        "r1", "k", False, 10.0, b"fee", 200, promises.answer_to("r1"), "r1"
    )
    record.ran.append(promises.Ran("r1", "t1", 10.1, b"fee", "mill", "t1"))
    return record


def changed_run(**values: object) -> promises.Record:
    record = valid_record()
    record.ran[0] = dataclasses.replace(record.ran[0], **values)  # type: ignore[arg-type]
    return record


def changed_answer(**values: object) -> promises.Record:
    record = valid_record()
    record.sent["r1"] = dataclasses.replace(record.sent["r1"], **values)  # type: ignore[arg-type]
    return record


def ran_twice() -> promises.Record:
    record = valid_record()
    record.ran.append(record.ran[0])
    return record


def evacuated() -> promises.Record:
    record = changed_run(at=30.0, domain="d1")
    record.evacuations = [
        promises.Evacuation("d0", 12.0),
        promises.Evacuation("d1", 19.0, 31.0),
    ]
    return record


def withdrawn() -> promises.Record:
    record = valid_record()
    record.withdrawn["k"] = 10.0 - promises.REVOKE_SECONDS - 0.1
    return record


def left() -> promises.Record:
    record = valid_record()
    record.left["t1"] = 10.1 - promises.DRAIN_SECONDS - 0.1
    return record


def limited() -> promises.Record:
    record = valid_record()
    record.limits = [promises.Limit("t1", 0.1, 6.9)]
    record.ran = [record.ran[0]] * 6
    return record


def told_leave() -> promises.Record:
    record = changed_answer(instance="n1")
    record.told_leave["n1", "t1"] = 10.0 - promises.DRAIN_SECONDS - 0.1
    return record


def ended() -> promises.Record:
    record = valid_record()
    record.ended.append("n1: -1")
    return record


def above_rate(*, requests: int, seconds: float) -> promises.Record:
    record = valid_record()
    record.rates = [promises.Rate("shop", 2.0, 10.0)]
    for number in range(requests):
        name, at = f"s{number}", 20.0 + seconds * number / requests
        record.sent[name] = promises.Sent(
            name, "k", True, at, b"", workspace="shop"
        )
        record.ran.append(promises.Ran(name, "t1", at, b"", "shop", "t1"))
    return record


def test_requests_within_the_rate_are_no_violation() -> None:
    record = above_rate(requests=42, seconds=5.0)
    assert not list(promises.broken(record))
    record = above_rate(requests=80, seconds=11.0)
    assert not list(promises.broken(record))


def test_valid_record_has_no_violation() -> None:
    assert not list(promises.broken(valid_record()))


@pytest.mark.parametrize(
    ("record", "name"),
    [
        (ran_twice(), "TWICE"),
        (changed_answer(status=503), "REFUSED"),
        (changed_answer(status=429), "REFUSED"),
        (changed_answer(answer=b"done"), "MIXED"),
        (changed_answer(answered_id="r2"), "MIXED"),
        (changed_run(request_id="r9"), "UNASKED"),
        (changed_run(body=b"fe"), "UNASKED"),
        (changed_run(workspace="other"), "UNASKED"),
        (changed_run(expected="t2"), "ROUTE"),
        (withdrawn(), "CONFIG"),
        (left(), "DRAIN"),
        (evacuated(), "EVAC"),
        (limited(), "LIMIT"),
        (told_leave(), "DRAIN"),
        (above_rate(requests=43, seconds=4.9), "QUOTA"),
        (ended(), "ENDED"),
    ],
)
def test_broken_promise_is_found(record: promises.Record, name: str) -> None:
    assert any(line.startswith(name) for line in promises.broken(record))


def ended_under(*, sent_at: float, disturbed_at: float) -> promises.Record:
    """Returns a record in which three targets ended under one request."""
    record = valid_record()
    sent = record.sent["r1"]
    sent.path, sent.instance, sent.at = "/read/fatal", "n0", sent_at
    record.ends["/read/fatal"] = [5.0, 6.0, 7.0]
    record.disturbed["n0"] = disturbed_at
    return record


def test_a_run_after_three_ends_under_its_request_is_found() -> None:
    found = list(promises.broken(ended_under(sent_at=9.5, disturbed_at=4.0)))
    assert [line.partition(":")[0] for line in found] == ["ENDS"]


@pytest.mark.parametrize(("sent_at", "disturbed_at"), [(8.5, 4.0), (9.5, 6.0)])
def test_a_node_that_may_not_know_of_an_end_is_excused(
    sent_at: float, disturbed_at: float
) -> None:
    record = ended_under(sent_at=sent_at, disturbed_at=disturbed_at)
    assert not list(promises.broken(record))
