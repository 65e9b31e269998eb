"""Tests of parsing targets' reports."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from currantcart import errors
from currantcart.fleet import target_record
from currantcart.platform import reports

HEARTBEAT = "/currantcart/rpc?call=instances.heartbeat&of=t1"
LEAVE = "/currantcart/rpc?call=instances.deregister&of=t1"
GOOD = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 20,
    "state": "ready",
    "cold-remaining-s": 1.5,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def body(**values: Any) -> bytes:
    return json.dumps({**GOOD, **values}).encode()


def test_a_heartbeat_becomes_a_report() -> None:
    assert reports.parse(HEARTBEAT, body()) == target_record.Report(
        target_id="t1",
        born=1_700_000_000_000,
        sequence=4,
        phase=target_record.Phase.READY,
        service="s",
        slots=20,
        cold_ms=1_500.0,
    )


def test_a_draining_state_becomes_the_draining_phase() -> None:
    report = reports.parse(HEARTBEAT, body(state="draining"))
    assert report.phase is target_record.Phase.DRAINING


@pytest.mark.parametrize("text", [b"", b'{"born": 5}'])
def test_a_leave_message_needs_no_body(text: bytes) -> None:
    report = reports.parse(LEAVE, text)
    assert report.phase is target_record.Phase.LEFT
    assert report.born == (5 if text else 0)


@pytest.mark.parametrize(
    ("path", "text"),
    [
        (HEARTBEAT, b""),
        (HEARTBEAT, b"\x00\xff"),
        (HEARTBEAT, body(state="sleeping")),
        (HEARTBEAT, body(slots="many")),
        (HEARTBEAT, body(sequence=None)),
        (HEARTBEAT, b'{"state": "ready"}'),
        ("/currantcart/rpc?call=instances.heartbeat", body()),
        ("/currantcart/rpc?call=other&of=t1", body()),
        ("/elsewhere?call=instances.heartbeat&of=t1", body()),
        (LEAVE, b"{"),
    ],
)
def test_invalid_reports_are_coded_errors(path: str, text: bytes) -> None:
    with pytest.raises(errors.CurrantcartError) as raised:
        reports.parse(path, text)
    assert raised.value.code is errors.Code.BAD_REQUEST


@pytest.mark.parametrize(
    ("path", "content"),
    [
        (HEARTBEAT, b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}"),
        (LEAVE, b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}"),
        ("//[x?call=instances.heartbeat&of=t1", b"{}"),
    ],
    ids=["heartbeat", "leave", "path"],
)
def test_a_report_that_no_parser_accepts_is_invalid(
    path: str, content: bytes
) -> None:
    """Guards against a report that gets no answer, and ends its task."""
    with pytest.raises(errors.CurrantcartError):
        reports.parse(path, content)


@pytest.mark.parametrize(
    "values",
    [
        {"slots": -5},
        {"slots": 2**63},
        {"slots": 10**400},
        {"slots": True},
        {"slots": 20.5},
        {"sequence": -1},
        {"sequence": 2**63},
        {"sequence": 10**400},
        {"born": -1},
        {"born": 2**53},
        {"born": 10**400},
        {"born": 1.5},
        {"cold-remaining-s": 1e308},
        {"cold-remaining-s": -1e308},
        {"cold-remaining-s": math.nan},
        {"cold-remaining-s": math.inf},
        {"cold-remaining-s": None},
        {"address": "10.0.0.1:99999999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:\u0661"},
        {"address": "target.example:80"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"service": "s" * 100_000},
        {"zone": 7},
        {"version": ["v1"]},
    ],
    ids=lambda values: next(iter(values)),
)
def test_a_heartbeat_with_a_value_out_of_range_is_invalid(
    values: dict[str, Any],
) -> None:
    """Guards against a target whose state cannot be sent to any peer."""
    with pytest.raises(errors.CurrantcartError) as raised:
        reports.parse(HEARTBEAT, body(**values))
    assert raised.value.code is errors.Code.BAD_REQUEST


@pytest.mark.parametrize("born", ["-1", "9007199254740992", "1.5", "9" * 400])
def test_a_leave_with_a_start_out_of_range_is_invalid(born: str) -> None:
    """Guards against a leave that no later start of the target supersedes."""
    with pytest.raises(errors.CurrantcartError):
        reports.parse(LEAVE, b'{"born": %s}' % born.encode())


@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
@pytest.mark.parametrize(
    "target_id",
    ["", "t1%0D%0AX-Other:%201", "t%00", "t%201", "%ED%A0%80", "t" * 10_000],
    ids=["empty", "lines", "control", "space", "surrogate", "long"],
)
def test_a_report_with_an_id_that_is_no_header_value_is_invalid(
    call: str, target_id: str
) -> None:
    """Guards against header lines that an id adds to requests."""
    path = f"/currantcart/rpc?call=instances.{call}&of={target_id}"
    with pytest.raises(errors.CurrantcartError):
        reports.parse(path, body())


@pytest.mark.parametrize(
    ("values", "slots", "cold_ms"),
    [
        ({"slots": 0}, 0, 1_500.0),
        ({"cold-remaining-s": -0.25}, 20, 0.0),
        ({"cold-remaining-s": 2}, 20, 2_000.0),
        ({"sequence": 2**53}, 20, 1_500.0),
    ],
    ids=["no-slots", "past", "whole", "sequence"],
)
def test_a_heartbeat_at_the_end_of_a_range_is_valid(
    values: dict[str, Any], slots: int, cold_ms: float
) -> None:
    report = reports.parse(HEARTBEAT, body(**values))
    assert (report.slots, report.cold_ms) == (slots, cold_ms)
