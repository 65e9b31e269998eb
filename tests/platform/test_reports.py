"""Tests of parsing targets' reports."""

from __future__ import annotations

import json
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
