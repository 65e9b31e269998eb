"""Callers' load on a mesh, and what its targets receive."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

from bench.standins import http_target
from currantcart.proxy import settings as proxy_settings
from tests.fakes import mesh as fake_mesh


def most_in(seconds: float, arrivals: list[float]) -> int:
    """Returns the most arrivals in any span of so many seconds."""
    return max(
        (
            sum(first <= at < first + seconds for at in arrivals)
            for first in arrivals
        ),
        default=0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request of a caller.

    Attributes:
      kind: Route of the request.
      at: When it was sent, in seconds of the loop's clock.
      status: Status of the response.
    """

    kind: str
    at: float
    status: int


class Load:
    """Callers that send requests at a steady rate to all nodes in turn.

    Attributes:
      deadline_ms: Deadline of each request.
      asked: Requests that have ended.
    """

    def __init__(
        self, mesh: fake_mesh.Mesh, *, deadline_ms: int = 2_000
    ) -> None:
        self.mesh = mesh
        self.deadline_ms = deadline_ms
        self.asked: list[Asked] = []
        self.numbers = itertools.count()

    @property
    def statuses(self) -> list[int]:
        return [asked.status for asked in self.asked]

    async def one(self, place: fake_mesh.Place, number: int, kind: str) -> None:
        at = self.mesh.loop.time()
        data = fake_mesh.request(
            f"/{kind}/1", request_id=f"l{number}", deadline=self.deadline_ms
        )
        reply = await self.mesh.ask(place, data)
        self.asked.append(Asked(kind, at, reply.status))

    async def run(
        self,
        *,
        per_second: float,
        seconds: float,
        kinds: tuple[str, ...] = ("read",),
    ) -> None:
        places = list(self.mesh.places.values())
        tasks = []
        for _ in range(round(per_second * seconds)):
            number = next(self.numbers)
            place = places[number % len(places)]
            kind = kinds[number // len(places) % len(kinds)]
            tasks.append(
                self.mesh.loop.create_task(self.one(place, number, kind))
            )
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    def served(self, kind: str, begin: float, end: float) -> float:
        """Returns the share served of a kind's requests of a time."""
        statuses = [
            asked.status
            for asked in self.asked
            if asked.kind == kind and begin <= asked.at < end
        ]
        return statuses.count(200) / len(statuses)


def record_arrivals(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place
) -> list[float]:
    """Returns the times of the requests that a target gets from now on."""
    arrivals: list[float] = []

    def note(seen: http_target.Seen) -> None:
        del seen
        arrivals.append(mesh.loop.time())

    place.target.on_run = note
    return arrivals


def stop_target(mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> None:
    """Ends a target's process: its connections and its port are closed."""
    host, port = proxy_settings.split_address(place.settings.target)
    mesh.loop.ports.pop((host, port))
    for connection in place.target.connections:
        if connection.transport is not None:
            connection.transport.abort()


async def start_target(mesh: fake_mesh.Mesh, place: fake_mesh.Place) -> None:
    """Starts a target's process again."""
    host, port = proxy_settings.split_address(place.settings.target)
    await mesh.loop.create_server(place.target.accept, host, port)
