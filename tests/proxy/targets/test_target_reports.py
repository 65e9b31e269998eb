"""Reports of the local target that no target sends."""

from __future__ import annotations

import json
from typing import Any

import pytest

from currantcart.fleet import target_record
from currantcart.proxy.targets import target_reports
from tests.fakes import mesh as fake_mesh


@pytest.mark.parametrize(
    "values",
    [
        {"slots": 10**400},
        {"slots": -5},
        {"born": 10**30},
        {"born": 2**63 - 1},
        {"born": 1_800_000_000_000},
        {"sequence": 10**400},
        {"cold-remaining-s": 1e308},
        {"address": "10.0.0.1:99999999"},
    ],
    ids=[
        "slots",
        "negative",
        "born",
        "digits",
        "future",
        "sequence",
        "cold",
        "address",
    ],
)
async def test_a_heartbeat_out_of_range_changes_nothing(
    mesh: fake_mesh.Mesh, values: dict[str, Any]
) -> None:
    """Guards against statuses that fail, and a target that gets no requests."""
    place = await mesh.add("a")
    front = await mesh.add("b", service="other")
    await mesh.settle()
    before = place.node.record.last
    report = {
        "service": "grades",
        "address": place.settings.target,
        "zone": "a",
        "version": "v1",
        "slots": 20,
        "state": "ready",
        "cold-remaining-s": 0,
        "sequence": 50,
        "born": place.born,
    }
    status = await mesh.control(
        place,
        "instances.heartbeat&of=t-a",
        json.dumps({**report, **values}).encode(),
    )
    assert status == 400
    assert place.node.record.last == before
    assert await mesh.report(place) == 200
    await mesh.settle()
    assert (await mesh.ask(front, fake_mesh.request())).status == 200
    assert not [line for line in mesh.lines if "background_failed" in line]
    refusals = ("event=report_unreadable", "event=report_from_future")
    assert [line for line in mesh.lines if any(x in line for x in refusals)]


def test_a_node_whose_clock_is_not_set_takes_reports() -> None:
    """Guards against a target that is refused because of its node's clock."""
    report = target_record.Report(
        "t-a", 1_800_000_000_000, 1, target_record.Phase.READY
    )
    assert target_reports.starts_in_future(report, 1_700_000_000_000.0)
    assert not target_reports.starts_in_future(report, 1_799_990_000_000.0)
    assert not target_reports.starts_in_future(report, 5_000.0)
