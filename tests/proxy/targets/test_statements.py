"""What a target states about itself in its answers."""

from __future__ import annotations

import math

import pytest

from currantcart.proxy import control
from currantcart.proxy.streams import frames
from currantcart.proxy.targets import job as job_module
from tests.fakes import mesh as fake_mesh


def answer(
    *, limit: bytes | None = None, leaving: bool = False
) -> job_module.AnswerHead:
    """Returns the head of an answer with what it states."""
    return job_module.AnswerHead(b"r1", True, False, limit, leaving, b"")


def sent(at: float) -> job_module.Job:
    """Returns a request that was sent to the target at a time."""
    opening = frames.Open(
        call=1, sent_ms=at, left_ms=1e3, request_id="r1", target_id="t-a",
        priority=1, objective_ms=1e3, method="GET", path="/", head=b"",
        body=b"", more=0,
    )  # fmt: skip
    return job_module.Job(opening, at + 1e3, at, None, handed_at=at)


async def test_a_stated_limit_is_logged_and_exported(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    place.target.limit = 17.5
    place.target.leaving = True
    await mesh.ask(place, fake_mesh.request(request_id="r7"))
    place.node.context.log.flush()
    line = next(line for line in mesh.lines if "event=target_limit" in line)
    assert "id=r7" in line
    assert "per_second=17.5" in line
    assert any("event=target_states_leaving" in line for line in mesh.lines)
    request = control.ControlRequest("GET", "/metrics", b"")
    metrics = (await place.node.metrics(request)).body.decode()
    assert "currantcart_target_limit 17.5" in metrics
    assert "currantcart_target_requests_total 1.0" in metrics


@pytest.mark.parametrize(
    "value", [b"", b"many", b"-1", b"nan", b"inf", b"1e308", b"9" * 400]
)
async def test_an_unreadable_limit_changes_nothing(
    mesh: fake_mesh.Mesh, value: bytes
) -> None:
    place = await mesh.add("a")
    stated = place.node.guard.statements
    now = place.node.context.now
    stated.record(sent(now), answer(limit=b"4"))
    stated.record(sent(now + 1), answer(limit=value))
    place.node.context.log.flush()
    assert stated.limit == 4.0
    assert any("target_limit_unreadable" in line for line in mesh.lines)


async def test_only_an_answer_to_a_later_request_lifts_a_limit(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    stated = place.node.guard.statements
    now = place.node.context.now
    stated.record(sent(now), answer(limit=b"4"))
    stated.record(sent(now), answer())
    assert stated.limit == 4.0
    stated.record(sent(now + 1), answer())
    assert stated.limit == math.inf


async def test_answers_of_an_earlier_incarnation_state_nothing(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    stated = place.node.guard.statements
    before = stated.since - 1
    stated.record(sent(before), answer(limit=b"4", leaving=True))
    assert stated.limit == math.inf
    assert not stated.leaving


async def test_a_new_incarnation_has_stated_nothing(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    stated = place.node.guard.statements
    stated.record(sent(place.node.context.now), answer(limit=b"4"))
    place.born += 1
    place.sequence = 0
    await mesh.report(place)
    assert stated.limit == math.inf
