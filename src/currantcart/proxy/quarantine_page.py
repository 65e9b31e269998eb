"""Requests under which targets have ended, as operators see and clear them."""

from __future__ import annotations

import urllib.parse

import msgspec

from currantcart.call import fingerprint as fingerprints
from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context
from currantcart.proxy import control, evidence

PATH = "/quarantine"
CLEAR_METHOD = "DELETE"
HEX = 16


class Row(msgspec.Struct):
    """One request.

    Attributes:
      fingerprint: Its fingerprint.
      state: How it may be sent: a `quarantine.Verdict` in lower case.
      targets: Targets that have ended under it, the first one first.
      ended_seconds_ago: Time since the last end.
      left_seconds: Time until it is sent to a target again; 0 if it may be now.
    """

    fingerprint: str
    state: str
    targets: list[str]
    ended_seconds_ago: float
    left_seconds: float


class Cleared(msgspec.Struct):
    """Result of clearing a request.

    Attributes:
      cleared: Whether any end counted against it.
    """

    cleared: bool


def rows(context: proxy_context.Context) -> list[Row]:
    """Returns the requests, those with the most ends first."""
    known, now = context.quarantine, context.now
    found = []
    for fingerprint, record in known.records.items():
        verdict = known.verdict(fingerprint, now)
        if verdict is quarantine.Verdict.CLEAR:
            continue
        is_held = verdict is quarantine.Verdict.QUARANTINED
        left_ms = known.left_ms(fingerprint, now) if is_held else 0.0
        found.append(
            Row(
                fingerprint=fingerprints.show(fingerprint),
                state=verdict.name.lower(),
                targets=[end.target_id for end in record.ends],
                ended_seconds_ago=round((now - record.ends[-1].at) / 1e3, 1),
                left_seconds=round(left_ms / 1e3, 1),
            )
        )
    return sorted(found, key=lambda row: -len(row.targets))


def answer(
    context: proxy_context.Context, request: control.ControlRequest
) -> control.ControlResponse:
    """Answers an operator's request for the page.

    GET lists the requests; DELETE with a fingerprint in the query clears one,
    at this node and with the next statuses at all others.
    """
    query = urllib.parse.urlsplit(request.path).query
    if request.method != CLEAR_METHOD:
        return json_response(rows(context))
    shown = urllib.parse.parse_qs(query).get("fingerprint", [""])[0]
    try:
        fingerprint = int(shown, HEX)
    except ValueError:
        return control.ControlResponse(400, b"fingerprint: 16 hex digits\n")
    cleared = evidence.clear(context, fingerprint, cause="operator")
    return json_response(Cleared(cleared))


def json_response(value: object) -> control.ControlResponse:
    """Returns a response with a JSON body."""
    return control.ControlResponse(
        200, msgspec.json.encode(value), "application/json"
    )
