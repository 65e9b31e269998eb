"""Tests the fleet of the soak."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import subprocess
from typing import cast

import pytest

from bench.soak import wire, world
from bench.standins import http_target


class Process:
    """A process that ends some time after its first signal."""

    def __init__(self) -> None:
        self.signals: list[int] = []
        self.ended = False

    def poll(self) -> int | None:
        return 0 if self.ended else None

    def send_signal(self, number: int) -> None:
        self.signals.append(number)


async def test_a_node_that_two_series_restart_at_once_is_started_once(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two fault series may restart the same node at the same time.

    If each started a process, the second would find the ports in use and exit.
    """
    fleet = world.World(tmp_path, random.Random(1))
    first = Process()
    instance = world.Instance(
        "n0",
        tmp_path / "n0.json",
        [0] * 6,
        wire.FaultyWire(0),
        http_target.HttpTarget(),
        process=cast("subprocess.Popen[bytes]", first),
    )
    launched: list[Process] = []

    def launch(started: world.Instance) -> None:
        launched.append(Process())
        started.process = cast("subprocess.Popen[bytes]", launched[-1])

    monkeypatch.setattr(fleet, "launch", launch)
    restarts = [
        asyncio.create_task(fleet.restart(instance, number))
        for number in (signal.SIGTERM, signal.SIGKILL)
    ]
    await asyncio.sleep(0.2)
    assert first.signals == [signal.SIGTERM, signal.SIGKILL]
    assert instance.restarts == 2
    first.ended = True
    await asyncio.gather(*restarts)
    assert len(launched) == 1
    assert instance.restarts == 0


async def test_the_end_of_a_run_excuses_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against checks that never fail, as all nodes are stopped last."""
    fleet = world.World(tmp_path, random.Random(1))
    process = Process()
    process.wait = lambda timeout: None  # type: ignore[attr-defined]
    fleet.places.append(
        world.Instance(
            "n0",
            tmp_path / "n0.json",
            [0] * 6,
            wire.FaultyWire(0),
            http_target.HttpTarget(),
            process=cast("subprocess.Popen[bytes]", process),
        )
    )
    await fleet.stop()
    assert process.signals == [signal.SIGCONT, signal.SIGKILL]
    assert not fleet.record.disturbed
