"""Real processes: kills, pauses, signals and operator commands.

No test depends on the speed of the machine; each wait ends with its event.
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
    """Starts and configures a store, two grade nodes and one permit node."""
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
    """Sends calls through the permit node.

    Args:
      running: Fleet and API key.
      seconds: How long calls are sent.
      during: Called after 0.5 s.

    Returns:
      Outcomes of the calls.
    """
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
    """Waits until a condition holds for a node's status."""
    deadline = time.monotonic() + WAIT_SECONDS_MAX
    while not condition(command(unit, "status")):
        assert time.monotonic() < deadline, (
            "status did not meet the condition in time"
        )


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


def test_target_suspended_and_resumed_loses_no_call(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A target is suspended for 0.5 s while it runs calls.

    Its calls must be delayed, not lost, and no answer may go to another call.
    """
    opened, _ = running
    name = "target-grades-1"

    def suspend_and_resume() -> None:
        opened.signal(name, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            0.5, opened.signal, name, signal.SIGCONT
        )

    outcomes = send(running, 1.5, during=suspend_and_resume)
    asked = [
        checkers.Asked(
            o.request_id, "permits", o.status,
            o.request_id if o.whole else "", o.not_run,
        )
        for o in outcomes
    ]  # fmt: skip
    assert checkers.answers_are_own(asked) == []
    assert all(o.whole for o in outcomes), outcomes


def test_killed_instance_is_excluded_until_it_returns(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A node and its target are killed, then restarted under the same name.

    Calls must not fail while it is gone, and its peers must see it as alive
    again after the restart.
    """
    opened, _ = running
    unit, permits = opened.units[0], opened.units[2]
    for name in ("node-grades-1", "target-grades-1"):
        opened.processes[name].kill()
        opened.processes[name].wait()
    outcomes = send(running, 2.0)
    # Its calls get no answer; they are idempotent and are retried elsewhere.
    assert all(o.whole for o in outcomes), outcomes
    wait_until(permits, lambda rows: status_of(rows, "grades-1") == "dead")
    opened.start_target(unit)
    opened.start_node(unit)
    wait_until(permits, lambda rows: status_of(rows, "grades-1") == "alive")


def test_stopping_node_aborts_no_call(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A node that is stopped finishes its calls before it exits."""
    opened, _ = running
    opened.signal("node-grades-2", signal.SIGTERM)
    outcomes = send(running, 2.0)
    assert all(o.whole for o in outcomes), outcomes
    assert opened.processes["node-grades-2"].wait(WAIT_SECONDS_MAX) == 0


def test_second_signal_ends_the_node_at_once_and_reports_cut_calls(
    running: tuple[fleet.Fleet, str],
) -> None:
    """A target hangs, and an operator cannot wait for its calls.

    A second SIGTERM must end the node at once, with exit status 1.
    """
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
