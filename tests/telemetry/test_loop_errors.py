"""Unhandled errors: one bounded line each, and never a wait for a reader."""

from __future__ import annotations

import asyncio
import fcntl
import gc
import logging
import os
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator

import pytest

from currantcart.telemetry import counts, decisions, loop_errors

PROCESS_SECONDS_MAX = 30.0
PIPE_BYTES = 4_096
PROGRAM = """
import asyncio, sys
import uvloop
from currantcart import clock as clock_module
from currantcart.proxy import serve, settings

LISTEN = settings.Listen(
    callers="127.0.0.1:0",
    peers="127.0.0.1:0",
    readiness="127.0.0.1:0",
    reports="127.0.0.1:0",
)

def fail():
    raise ValueError("x" * 2_000)

async def main():
    loop = asyncio.get_running_loop()
    clock = clock_module.suspend_aware_clock()
    running = serve.build(
        settings.ProxySettings(
            instance="n1",
            failure_domain="a",
            region="r",
            service="s",
            target="127.0.0.1:9",
            listen=LISTEN,
            store="127.0.0.1:9",
            first_start=True,
        ),
        clock=clock,
        loop=loop,
        log=serve.open_log(clock, loop),
    )
    for _ in range(200):
        loop.call_soon(fail)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    running.context.log.flush()

serve.open_standard_streams()
uvloop.run(main())
"""


@pytest.fixture
def lines() -> list[str]:
    return []


@pytest.fixture
async def reporter(lines: list[str]) -> loop_errors.ErrorReporter:
    loop = asyncio.get_running_loop()

    def write(data: bytes) -> int:
        lines.extend(data.decode().splitlines())
        return len(data)

    def now() -> float:
        return loop.time() * 1_000 + 5_000

    log = decisions.DecisionLog(
        instance="n1", now=now, wall=now, write=write, loop=loop
    )
    return loop_errors.ErrorReporter(log=log, recorded=counts.Counts(), now=now)


@pytest.fixture
async def installed(
    reporter: loop_errors.ErrorReporter,
) -> AsyncIterator[loop_errors.ErrorReporter]:
    hook, handlers = sys.unraisablehook, list(logging.getLogger().handlers)
    loop_errors.install(asyncio.get_running_loop(), reporter)
    yield reporter
    sys.unraisablehook = hook
    logging.captureWarnings(capture=False)
    logging.getLogger().handlers[:] = handlers


async def fail() -> None:
    raise ValueError("first line\nsecond line" + "x" * 1_000)


async def test_error_of_a_task_is_one_line(
    installed: loop_errors.ErrorReporter, lines: list[str]
) -> None:
    """Guards against a traceback of a task that nobody awaits."""
    task = asyncio.get_running_loop().create_task(fail())
    await asyncio.wait([task])
    del task
    gc.collect()
    await asyncio.sleep(0.1)
    (line,) = lines
    assert "event=unhandled_error" in line
    assert 'kind=ValueError detail="first line"' in line
    assert "source=fail" in line
    assert installed.counts.counters["unhandled_errors"] == {("ValueError",): 1}


async def test_place_is_the_innermost_frame_of_the_package(
    installed: loop_errors.ErrorReporter, lines: list[str]
) -> None:
    try:
        installed.counts.add("no_such_metric")
    except KeyError as error:
        installed.report(error, "test")
    installed.log.flush()
    assert "place=telemetry/counts.py:" in lines[-1]


async def test_errors_of_one_place_are_logged_once_a_second(
    installed: loop_errors.ErrorReporter, lines: list[str]
) -> None:
    """Guards against errors that crowd all other lines out of the log."""
    for _ in range(1_000):
        installed.report(ValueError("a"), "test")
    await asyncio.sleep(1.1)
    installed.report(ValueError("a"), "test")
    await asyncio.sleep(0.1)
    assert len(lines) == 2
    assert "repeats=999" in lines[1]


async def test_known_places_are_bounded(
    installed: loop_errors.ErrorReporter,
) -> None:
    """Guards against memory that grows with messages of libraries."""
    for number in range(5_000):
        installed.report(None, f"message {number}")
    assert len(installed.places) <= counts.LABEL_SETS_MAX


async def test_records_and_warnings_of_libraries_are_lines(
    installed: loop_errors.ErrorReporter, lines: list[str]
) -> None:
    """Guards against libraries that print to standard error."""
    logging.getLogger("library").warning("out of %s", "order")
    installed.log.flush()
    assert 'source="library: out of order"' in lines[-1]


def test_full_standard_error_does_not_stop_a_node(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a node that waits for a reader of its error output."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    os.write(write_end, b"x" * PIPE_BYTES)
    try:
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            stdout=subprocess.PIPE,
            stderr=write_end,
            timeout=PROCESS_SECONDS_MAX,
            check=True,
            cwd=tmp_path,
            env={
                "PYTHONPATH": str(
                    pathlib.Path(loop_errors.PACKAGE).resolve().parent
                )
            },
        )
    finally:
        os.close(read_end)
        os.close(write_end)
    assert done.stdout.count(b"event=unhandled_error") == 1
