"""Ends of a target's process, told from losses of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from bench.standins import http_target
from currantcart.http1 import pool
from currantcart.proxy.streams import frames
from currantcart.proxy.targets import job, target_end
from currantcart.telemetry import timeline
from tests.fakes import ends as ends_module
from tests.fakes import load as load_module
from tests.fakes import mesh as fake_mesh

LONG_SECONDS = 0.5
"""Time for which other requests run meanwhile."""


def lines(mesh: fake_mesh.Mesh, event: str) -> list[timeline.Line]:
    """Returns the log lines of an event."""
    found = filter(None, map(timeline.parse, mesh.lines))
    return [line for line in found if line.event == event]


def ended_under(mesh: fake_mesh.Mesh) -> set[str]:
    """Returns the requests under which targets have ended, by id."""
    return {line.values["id"] for line in lines(mesh, "ended_under")}


async def ask_beside(
    mesh: fake_mesh.Mesh, happens: Callable[[fake_mesh.Place], object]
) -> fake_mesh.Place:
    """Lets something happen to a target that runs two requests."""
    place = await mesh.add("a")
    place.target.work_seconds = LONG_SECONDS
    await mesh.settle()
    tasks = [
        asyncio.ensure_future(
            mesh.ask(
                place,
                fake_mesh.request(
                    f"/pay/{name}", method="POST", request_id=name
                ),
            )
        )
        for name in ("one", "two")
    ]
    await mesh.settle(0.1)
    happens(place)
    await asyncio.gather(*tasks)
    await mesh.settle(0.1)
    return place


async def test_a_target_that_refuses_connections_has_ended_under_all_it_ran(
    mesh: fake_mesh.Mesh,
) -> None:
    await ask_beside(mesh, lambda place: load_module.stop_target(mesh, place))
    assert ended_under(mesh) == {"one", "two"}
    (line,) = lines(mesh, "target_ended")
    assert line.values["cause"] == "refused"
    assert line.values["requests"] == "2"


async def test_a_lost_connection_is_no_end(mesh: fake_mesh.Mesh) -> None:
    """Guards against a reset connection that is taken for a crash."""

    def reset_one(place: fake_mesh.Place) -> None:
        transport = place.target.connections[-1].transport
        assert transport is not None
        transport.abort()

    await ask_beside(mesh, reset_one)
    assert not ended_under(mesh)


async def test_an_answer_that_is_no_http_is_no_end(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a garbled answer that is taken for a crash."""

    def garble(place: fake_mesh.Place) -> None:
        place.target.script = lambda _: b"rubbish\r\n\r\n"

    await ask_beside(mesh, garble)
    assert not ended_under(mesh)


async def test_a_target_that_restarts_at_once_is_known_by_its_report(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a crash that no refused connection shows."""

    def restart(place: fake_mesh.Place) -> None:
        for connection in place.target.connections:
            if connection.transport is not None:
                connection.transport.abort()
        place.born += 1_000
        place.sequence = 0

    place = await ask_beside(mesh, restart)
    assert not ended_under(mesh)
    await mesh.report(place)
    await mesh.settle(0.1)
    assert ended_under(mesh) == {"one", "two"}
    (line,) = lines(mesh, "target_ended")
    assert line.values["cause"] == "new_incarnation"


async def test_a_silent_target_has_ended_under_what_it_never_answered(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a machine without power, which closes no connection."""
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = fake_mesh.silent
    await mesh.ask(place, fake_mesh.request(request_id="r", deadline=500))
    assert not ended_under(mesh)
    place.born += 1_000
    place.sequence = 0
    await mesh.report(place)
    await mesh.settle(0.1)
    assert ended_under(mesh) == {"r"}


async def test_a_request_that_was_cancelled_at_a_live_target_is_cleared(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    place.target.script = fake_mesh.silent
    await mesh.ask(place, fake_mesh.request(request_id="r", deadline=500))
    place.target.script = http_target.sealed
    await mesh.ask(place, fake_mesh.request(request_id="s"))
    place.born += 1_000
    place.sequence = 0
    await mesh.report(place)
    await mesh.settle(0.1)
    assert not ended_under(mesh)


async def test_a_target_that_leaves_has_not_ended_under_its_requests(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against planned ends that are held against requests."""
    place = await mesh.add("a")
    place.target.work_seconds = LONG_SECONDS
    await mesh.settle()
    asked = asyncio.ensure_future(mesh.ask(place, fake_mesh.request()))
    await mesh.settle(0.1)
    await mesh.report(place, state="draining")
    load_module.stop_target(mesh, place)
    await asked
    assert not ended_under(mesh)


async def test_an_end_is_recorded_once(mesh: fake_mesh.Mesh) -> None:
    """Guards against one end that is counted by each way of noticing it."""
    ends = await ends_module.add_targets(
        mesh, 1, is_fatal=ends_module.with_path("/pay/fatal")
    )
    await mesh.settle()
    (place,) = mesh.places.values()
    await mesh.ask(place, fake_mesh.request("/pay/fatal", method="POST"))
    await mesh.settle(ends.down_seconds * 2)
    assert len(lines(mesh, "target_ended")) == len(ends.ended) == 1


class HeldConnections:
    """A pool whose attempts to connect end when the test says so."""

    def __init__(self) -> None:
        self.attempts: list[
            tuple[Callable[[Any], None], Callable[[str], None]]
        ] = []

    def dial(
        self, on_open: Callable[[Any], None], on_failed: Callable[[str], None]
    ) -> None:
        self.attempts.append((on_open, on_failed))

    def give_back(self, connection: object, now: float) -> None:
        del connection, now


class Reply:
    """Records the code of a lost attempt."""

    def __init__(self) -> None:
        self.codes: list[str] = []

    def lost(self, code: str, *, end_number: int = 0) -> None:
        del end_number
        self.codes.append(code)


async def test_each_lost_answer_is_checked_for_its_own_time(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a sender that is told by the timer of an earlier loss."""
    place = await mesh.add("a")
    connections = HeldConnections()
    detector = target_end.EndDetector(
        place.node.context,
        connections=cast(pool.Pool, connections),
        running=list,
        on_refused=lambda: detector.record_end(target_id="t", cause="refused"),
    )

    def lose(number: int) -> Reply:
        reply = Reply()
        opening = frames.Open(
            number, 0.0, 1e3, f"r{number}", "t", 1, 1e3, "GET", "/", b"", b"",
            0, fingerprint=number,
        )  # fmt: skip
        lost = job.Job(opening, 1e9, 0.0, cast(job.ReplyTo, reply))
        detector.record_unanswered(lost)
        detector.report_lost(lost, is_up=True)
        return reply

    first = lose(1)
    connections.attempts[0][0](None)
    assert first.codes == ["answer_lost"]
    await mesh.settle(target_end.CHECK_SECONDS_MAX * 0.9)
    second = lose(2)
    await mesh.settle(target_end.CHECK_SECONDS_MAX * 0.5)
    assert not second.codes
    connections.attempts[1][1]("refused")
    assert second.codes == ["target_ended"]
