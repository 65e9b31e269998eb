"""Diagnoses described in docs/OPERATIONS.md, from a request id to its cause.

Every log event of a diagnosed request has to be described on that page.
"""

from __future__ import annotations

import pathlib

import msgspec

from currantcart.admission import occupancy
from currantcart.proxy import settings as proxy_settings
from currantcart.telemetry import timeline
from tests.fakes import ends as ends_module
from tests.fakes import mesh as fake_mesh

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def explain(mesh: fake_mesh.Mesh, request_id: str) -> dict[str, timeline.Line]:
    """Returns a request's log lines by event, as `explain` collects them."""
    lines = filter(None, map(timeline.parse, mesh.lines))
    matching = timeline.way_of(request_id, lines)
    page = PAGE.read_text()
    for line in matching:
        assert line.event in page
    return {line.event: line for line in matching}


async def test_a_payment_with_unknown_outcome(mesh: fake_mesh.Mesh) -> None:
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    back.target.script = lambda seen: b""
    back.target.cut_after = True
    reply = await mesh.ask(
        front,
        fake_mesh.request("/pay/1", method="POST", request_id="fee"),
    )
    assert reply.status == 502
    await mesh.settle(0.2)
    lines = explain(mesh, "fee")
    assert lines["request_failed"].values["outcomes"] == "unknown"
    holder = lines["request_failed"].values["had_it"]
    assert lines["answer_lost"].instance == holder == "b"
    assert "closed" in lines["answer_lost"].values["reason"]


async def test_a_refusal_by_a_full_queue(mesh: fake_mesh.Mesh) -> None:
    front = await mesh.add("a", service="other")
    back = await mesh.add("b", slots=1)
    await mesh.settle()
    back.node.guard.queue.occupancy.service_ms = dict.fromkeys(
        occupancy.Kind, 9_000.0
    )
    back.target.work_seconds = 2.0
    first = await mesh.connect(front)
    first.send(fake_mesh.request(request_id="first"))
    await mesh.settle(0.1)
    reply = await mesh.ask(front, fake_mesh.request(request_id="refused"))
    assert reply.status == 503
    await mesh.settle(0.2)
    lines = explain(mesh, "refused")
    assert lines["request_failed"].values["code"] == "queue_full"
    candidates = lines["request_failed"].values["candidates"]
    assert candidates.startswith("b:1/1:")
    assert lines["refused_by_guard"].values["running"] == "1"


async def test_a_late_response(mesh: fake_mesh.Mesh) -> None:
    front = await mesh.add("a", service="other")
    back = await mesh.add("b")
    await mesh.settle()
    back.target.work_seconds = 1.4
    reply = await mesh.ask(front, fake_mesh.request(request_id="late"))
    assert reply.status == 200
    await mesh.settle(0.2)
    lines = explain(mesh, "late")
    assert lines["answered_late"].values["had_it"] == "b"
    slow = lines["slow_at_target"].values
    assert int(slow["worked_ms"]) > 1_300
    assert int(slow["waited_ms"]) < 100


async def test_a_refusal_over_the_rate(mesh: fake_mesh.Mesh) -> None:
    mesh.store.operate("op/config", fake_mesh.document(2, rate=0.5, burst=2.0))
    place = await mesh.add("a")
    await mesh.settle()
    place.node.use_settings(
        msgspec.structs.replace(
            place.settings, rate_queue=proxy_settings.RateQueue(enabled=True)
        )
    )
    for _ in range(2):
        await mesh.ask(place, fake_mesh.request(request_id="before"))
    reply = await mesh.ask(place, fake_mesh.request(request_id="over"))
    assert reply.status == 429
    await mesh.settle(0.2)
    lines = explain(mesh, "over")
    assert lines["request_rejected"].values["code"] == "rate_exceeded"
    assert lines["rate_refused"].values["workspace"] == "mill"
    assert lines["rate_refused"].values["waited_ms"] == "0"


async def test_a_request_that_ends_its_targets(mesh: fake_mesh.Mesh) -> None:
    ends = await ends_module.add_targets(
        mesh, 4, is_fatal=ends_module.with_path("/pay/fatal")
    )
    front = await mesh.add("c", service="other")
    await mesh.settle()
    for number in range(4):
        data = fake_mesh.request(
            "/pay/fatal", method="POST", request_id=f"fee{number}"
        )
        await mesh.ask(front, data)
        await mesh.settle(0.2)
    assert explain(mesh, "fee0")["ended_under"].values["target"] in ends.ended
    failed = explain(mesh, "fee3")["request_failed"]
    assert failed.values["code"] == "request_quarantined"
    page = PAGE.read_text()
    lines = filter(None, map(timeline.parse, mesh.lines))
    found = {line.event: line for line in lines if line.instance == "c"}
    for event in ("request_suspected", "request_quarantined"):
        assert event in page
        assert found[event].values["targets"].split(",")[0] == ends.ended[0]
    assert found["request_quarantined"].values["targets"] == ",".join(
        ends.ended
    )
