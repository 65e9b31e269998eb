"""Targets that answer with bytes without end, beside real node processes."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import re
import time

import pytest

from bench.soak import world
from bench.standins import http_target

NODES = 2
MEMORY_MB = 300
"""Memory of the instances of the small deployments."""
SECONDS = 3.0
AT_A_TIME = 6
"""Requests that are answered without end at any time."""
PIECE = b"x" * 16_384
HEAD = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "body in chunks": http_target.Endless(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + PIECE + b"\r\n",
    ),
    "body without length": http_target.Endless(HEAD + b"\r\n", PIECE),
    "header line": http_target.Endless(HEAD + b"X-Line: ", PIECE),
    "header lines": http_target.Endless(HEAD, b"X-Line: 1\r\n" * 1_000),
    "interim answers": http_target.Endless(
        b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600
    ),
    "reason": http_target.Endless(b"HTTP/1.1 200 ", PIECE),
    "no HTTP": http_target.Endless(b"", PIECE),
}


@dataclasses.dataclass
class Seen:
    """What callers saw.

    Attributes:
      ordinary: Statuses of the requests that are answered as usual.
      endless: Statuses of the others.
      longest: Longest time of an ordinary one, in seconds.
    """

    ordinary: list[int] = dataclasses.field(default_factory=list)
    endless: list[int] = dataclasses.field(default_factory=list)
    longest: float = 0.0


def peak_mb(instance: world.Instance) -> float:
    """Returns the most memory that a node's process has used."""
    assert instance.process is not None
    status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


async def ask(fleet: world.World, path: str) -> int:
    """Sends a request to one of the nodes; returns the status."""
    instance = fleet.rng.choice(fleet.places)
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {world.SITE}\r\n"
        f"Currantcart-Request-Id: r{next(fleet.numbers)}\r\n"
        f"Currantcart-Deadline-Ms: 3000\r\nApi-Key: {fleet.keys[0]}\r\n"
    )
    answer = await fleet.exchange(instance.ports[0], head, b"", 5.0)
    return answer.status


async def wait_ready(fleet: world.World) -> None:
    """Waits until each node serves."""
    deadline = time.monotonic() + 30.0
    served = 0
    while served < 10 * NODES:
        assert time.monotonic() < deadline, "the nodes did not serve in time"
        served = served + 1 if await ask(fleet, "/read/1") == 200 else 0
        await asyncio.sleep(0.05)


async def keep_asking(
    fleet: world.World, path: str, until: float, statuses: list[int]
) -> float:
    """Sends requests one after the other; returns the longest time."""
    longest = 0.0
    while (begin := time.monotonic()) < until:
        statuses.append(await ask(fleet, path))
        longest = max(longest, time.monotonic() - begin)
        await asyncio.sleep(0.02)
    return longest


async def play(folder: pathlib.Path, form: http_target.Endless) -> Seen:
    """Plays a few seconds; checks the memory and that no node has ended."""
    fleet = world.World(folder, random.Random(1))
    await fleet.start(NODES)
    try:
        for place in fleet.places:
            place.target.endless["/read/endless"] = form
        await wait_ready(fleet)
        seen = Seen()
        until = time.monotonic() + SECONDS
        times = await asyncio.gather(
            *(
                keep_asking(fleet, "/read/1", until, seen.ordinary)
                for _ in range(4)
            ),
            *(
                keep_asking(fleet, "/read/endless", until, seen.endless)
                for _ in range(AT_A_TIME)
            ),
        )
        seen.longest = max(times[:4])
        assert fleet.record.ended == []
        assert max(peak_mb(place) for place in fleet.places) < MEMORY_MB
        return seen
    finally:
        await fleet.stop()


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_answers_without_end_cost_only_their_own_requests(
    form: http_target.Endless, tmp_path: pathlib.Path
) -> None:
    """Guards against targets whose answers end the node beside them."""
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        seen = runner.run(play(tmp_path, form))
    assert seen.endless
    assert set(seen.endless) <= {502, 503, 504}
    assert seen.ordinary
    assert set(seen.ordinary) == {200}
