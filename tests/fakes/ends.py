"""Targets whose process ends under certain requests, and starts again."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

from bench.standins import http_target
from tests.fakes import load as load_module
from tests.fakes import mesh as fake_mesh

RUN_SECONDS = 0.005
"""Time for which such a request runs until the process ends."""
DOWN_SECONDS = 1.5


@dataclasses.dataclass
class Ends:
    """Requests that end the processes of targets, and what they have ended.

    Attributes:
      mesh: Nodes whose targets are affected.
      is_fatal: Whether a request ends the process that runs it.
      down_seconds: Time until the process is started again.
      arrivals: Ids of such requests, in the order in which targets got them.
      ended: Ids of the targets that have ended, in their order.
    """

    mesh: fake_mesh.Mesh
    is_fatal: Callable[[http_target.Seen], bool]
    down_seconds: float = DOWN_SECONDS
    arrivals: list[str] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)

    def watch(self, place: fake_mesh.Place) -> None:
        """Lets such requests end the process of a target."""

        def run(seen: http_target.Seen) -> None:
            if not self.is_fatal(seen):
                return
            self.arrivals.append(seen.request_id)
            self.mesh.loop.call_later(
                RUN_SECONDS, self.end, place, place.target.target_id
            )

        place.target.on_run = run

    def end(self, place: fake_mesh.Place, target_id: str) -> None:
        """Ends a process, unless it has ended before."""
        if place.target.target_id != target_id:
            return
        self.ended.append(target_id)
        load_module.stop_target(self.mesh, place)
        place.target.connections.clear()
        place.target.target_id = f"{target_id}-{len(self.ended)}"
        place.born += 1_000
        place.sequence = 0
        task = self.mesh.loop.create_task(self.start_again(place))
        place.node.background.hold(task)

    async def start_again(self, place: fake_mesh.Place) -> None:
        """Starts a process that has ended, under its new id."""
        await asyncio.sleep(self.down_seconds)
        await load_module.start_target(self.mesh, place)
        await self.mesh.report(place)


def with_path(prefix: str) -> Callable[[http_target.Seen], bool]:
    """Returns a check for requests whose path begins with a prefix."""
    return lambda seen: seen.path.startswith(prefix)


async def add_targets(
    mesh: fake_mesh.Mesh,
    count: int,
    *,
    is_fatal: Callable[[http_target.Seen], bool],
) -> Ends:
    """Adds targets in three failure domains that end under some requests."""
    ends = Ends(mesh, is_fatal)
    for number in range(count):
        place = await mesh.add(f"t{number}", domain="abc"[number % 3])
        ends.watch(place)
    return ends
