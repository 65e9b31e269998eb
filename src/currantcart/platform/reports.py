"""Parsing of targets' reports: heartbeats and leave messages."""

from __future__ import annotations

import urllib.parse

import msgspec

from currantcart import bounds, decoding, errors
from currantcart.fleet import target_record
from currantcart.platform import names

MS = 1_000.0
STATES = {"ready": True, "draining": False}


class Heartbeat(msgspec.Struct, rename="kebab"):
    """Body of a heartbeat message."""

    service: bounds.Name
    address: bounds.Name
    slots: bounds.Slots
    state: str
    sequence: bounds.Ordinal
    zone: bounds.Name = ""
    version: bounds.Name = ""
    cold_remaining_s: bounds.RemainingSeconds = 0.0
    born: bounds.UnixMs = 0


class Leave(msgspec.Struct):
    """Body of a leave message; may be empty."""

    born: bounds.UnixMs = 0


def invalid(detail: str) -> errors.CurrantcartError:
    """Returns the error for a report that is not valid."""
    return errors.CurrantcartError(
        errors.Code.BAD_REQUEST, errors.Step.PARSE, detail
    )


def parse(path: str, body: bytes) -> target_record.Report:
    """Parses a report.

    Args:
      path: Path of the request with its query.
      body: Body of the request.

    Raises:
      errors.CurrantcartError: The report is not valid or names no target.
    """
    try:
        parts = urllib.parse.urlsplit(path)
    except ValueError as error:
        raise invalid(f"not a path: {path[:80]}") from error
    query = urllib.parse.parse_qs(parts.query)
    call = query.get("call", [""])[0]
    if parts.path != names.REPORT_PATH:
        raise invalid(f"not a target report: {path[:80]}")
    try:
        target_id = msgspec.convert(query.get("of", [""])[0], bounds.Identifier)
        if call == names.HEARTBEAT_CALL:
            return heartbeat_report(
                target_id, msgspec.json.decode(body, type=Heartbeat)
            )
        if call == names.DEREGISTER_CALL:
            leave = (
                msgspec.json.decode(body, type=Leave)
                if body.strip()
                else Leave()
            )
            return target_record.Report(
                target_id=target_id,
                born=leave.born,
                sequence=0,
                phase=target_record.Phase.LEFT,
            )
    except decoding.ERRORS as error:
        raise invalid(str(error)) from error
    raise invalid(f"unknown call {call[:40]!r}")


def heartbeat_report(
    target_id: str, heartbeat: Heartbeat
) -> target_record.Report:
    """Converts a heartbeat message to a report.

    Raises:
      errors.CurrantcartError: The state is unknown, or the address is not
        IP:PORT.
    """
    if not bounds.is_address(heartbeat.address):
        raise invalid(f"not an address: {heartbeat.address[:40]!r}")
    ready = STATES.get(heartbeat.state)
    if ready is None:
        raise invalid(f"unknown target state {heartbeat.state[:40]!r}")
    phase = target_record.Phase.READY
    if not ready:
        phase = target_record.Phase.DRAINING
    return target_record.Report(
        target_id=target_id,
        born=heartbeat.born,
        sequence=heartbeat.sequence,
        phase=phase,
        service=heartbeat.service,
        slots=heartbeat.slots,
        cold_ms=max(0.0, heartbeat.cold_remaining_s) * MS,
    )
