"""Real processes: kills, freezes, signals, and the commands on them.

Nothing here depends on how fast anything is; each wait ends with its event.
"""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import multidict
import pytest

from bench import checkers, deployments, fleet, load
from bench.standins import target as target_standin

WAIT_SECONDS_MAX = 60.0


@pytest.fixture(scope="module")
def running() -> Iterator[tuple[fleet.Fleet, str]]:
    """A store, two grade nodes and one permit node, configured."""
    with fleet.open_fleet() as opened:
        opened.start_store()
        opened.plan(
            {
                "grades": [
                    target_standin.Behaviour("grades", work_ms=20)
                    for _ in range(2)
                ],
                "permits": [
                    target_standin.Behaviour(
                        "permits", work_ms=5, calls=["/grades/grade"]
                    )
                ],
            }
        )
        opened.start_units()
        keys = deployments.configure(opened.store, rate=1e5, burst=1e5)
        asyncio.run(opened.wait_ready())
        yield opened, keys["mill-1"]


def command(unit: fleet.Unit, *arguments: str) -> Any:
    """Runs a command on a node's admin port."""
    done = subprocess.run(
        [
            sys.executable, "-m", "currantcart", *arguments,
            "--admin", unit.admin, "--json",
        ],
        check=True, capture_output=True, text=True,
    )  # fmt: skip
    return json.loads(done.stdout)


def send(
    running: tuple[fleet.Fleet, str],
    seconds: float,
    *,
    during: Callable[[], None] = lambda: None,
) -> list[load.Outcome]:
    """Sends calls through the permit node; something happens at 0.5 s."""
    opened, key = running

    async def drive() -> list[load.Outcome]:
        loader = load.Load([opened.units[2].callers], seed=3)
        kind = load.Kind(
            "browse", "GET", "/permits/status", 40.0, patience_ms=10_000
        )
        caller = load.Caller("mill-1", key, [kind])
        asyncio.get_running_loop().call_later(0.5, during)
        await loader.run([caller], seconds=seconds)
        return loader.outcomes

    return asyncio.run(drive())


def wait_until(unit: fleet.Unit, condition: Any) -> None:
    """Waits until a node's status meets a condition."""
    deadline = time.monotonic() + WAIT_SECONDS_MAX
    while not condition(command(unit, "status")):
        assert time.monotonic() < deadline, "it never came about"


def status_of(rows: list[dict[str, str]], instance: str) -> str:
    return next(r["status"] for r in rows if r["instance"] == instance)


def test_call_is_explained_hop_by_hop(
    running: tuple[fleet.Fleet, str],
) -> None:
    opened, key = running
    permits = opened.units[2]

    async def call() -> str:
        loader = load.Load([permits.callers], seed=1)
        connection = await loader.pools[0].lease()
        await connection.start(
            method="GET",
            path="/permits/status",
            headers=multidict.CIMultiDict(
                {"Host": "x", "Authorization": f"Bearer {key}"}
            ),
            chunk=b"",
            last=True,
        )
        answer = await connection.answer()
        return str(answer.message.headers["Currantcart-Call-Id"])

    decisions = command(permits, "explain", asyncio.run(call()))
    events = [(d["service"], d["event"]) for d in decisions]
    for service in ("permits", "grades"):
        for event in ("accepted", "routed", "running", "answered"):
            assert (service, event) in events


def test_target_frozen_and_thawed_loses_no_call(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A target is paused for a moment in the middle of its calls."""
    opened, _ = running
    name = "target-grades-1"

    def freeze_and_thaw() -> None:
        opened.signal(name, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            0.5, opened.signal, name, signal.SIGCONT
        )

    outcomes = send(running, 1.5, during=freeze_and_thaw)
    asked = [
        checkers.Asked(
            o.request_id, "permits", o.status,
            o.request_id if o.whole else "", o.not_run,
        )
        for o in outcomes
    ]  # fmt: skip
    assert checkers.answers_are_own(asked) == []
    assert all(o.whole for o in outcomes), outcomes


def test_killed_instance_is_left_out_and_comes_back(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A node is killed with its target, and replaced under the same name."""
    opened, _ = running
    unit, permits = opened.units[0], opened.units[2]
    for name in ("node-grades-1", "target-grades-1"):
        opened.processes[name].kill()
        opened.processes[name].wait()
    outcomes = send(running, 2.0)
    # Its calls have no answer; each is idempotent and goes elsewhere.
    assert all(o.whole for o in outcomes), outcomes
    wait_until(permits, lambda rows: status_of(rows, "grades-1") == "dead")
    opened.start_target(unit)
    opened.start_node(unit)
    wait_until(permits, lambda rows: status_of(rows, "grades-1") == "alive")


def test_node_told_to_stop_cuts_no_call(
    running: tuple[fleet.Fleet, str],
) -> None:
    opened, _ = running
    opened.signal("node-grades-2", signal.SIGTERM)
    outcomes = send(running, 2.0)
    assert all(o.whole for o in outcomes), outcomes
    assert opened.processes["node-grades-2"].wait(WAIT_SECONDS_MAX) == 0


def test_second_signal_ends_it_at_once_and_says_what_was_cut(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A target hangs, and an operator cannot wait for it."""
    opened, key = running
    unit = opened.units[0]

    async def hang() -> None:
        await opened.control(unit, work_ms=30_000)
        loader = load.Load([unit.callers], seed=1)
        kind = load.Kind("hang", "GET", "/grades/a", 1.0, patience_ms=20_000)
        caller = load.Caller("mill-1", key, [kind])
        outcome = load.Outcome("r", "mill-1", "hang", 0.0)
        call = asyncio.create_task(loader.request(caller, kind, outcome))
        while not await opened.history(unit):
            continue
        for _ in range(2):
            opened.signal("node-grades-1", signal.SIGTERM)
            await asyncio.sleep(0.5)
        await call

    asyncio.run(hang())
    assert opened.processes["node-grades-1"].wait(WAIT_SECONDS_MAX) == 1
