"""Processor a log line and a count, with an empty call as baseline.

Rounds of the ways interleave, and the median counts: absolute figures move by
half from run to run on a shared machine.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from collections.abc import Callable

import uvloop

from bench import measure
from currantcart import clock as clock_module
from currantcart.telemetry import counts, decisions

CALLS = 10_000
ROUNDS = 7


def nothing(event: str, **values: object) -> None:
    """Takes a line's values and does nothing."""


def tell(log: Callable[..., None]) -> None:
    """Tells the line that a refused request gets."""
    log(
        "request_rejected",
        id="9c41d07be2a35f68",
        host="hulo84.example",
        path="/leny950/2f",
        status=429,
        code="rate_exceeded",
        version=19,
        age_ms=312,
    )


def microseconds(work: Callable[[], None]) -> float:
    """Returns the processor time of one call."""
    start = time.process_time()
    for _ in range(CALLS):
        work()
    return 1e6 * (time.process_time() - start) / CALLS


async def measure_all() -> dict[str, float]:
    """Measures all ways, round by round."""
    clock = clock_module.suspend_aware_clock()
    sink = os.open(os.devnull, os.O_WRONLY)
    loop = asyncio.get_running_loop()
    log = decisions.DecisionLog(
        instance="sidecar-dar-a-1",
        now=clock.now,
        wall=clock.wall,
        write=lambda data: os.write(sink, data),
        loop=loop,
    )
    counted = counts.Counts()

    def kept() -> None:
        log.lines = 0
        log.second = clock.now()
        tell(log.event)
        if log.buffered > decisions.BUFFER_BYTES_MAX // 2:
            log.flush()

    def left_out() -> None:
        log.lines = decisions.LINES_A_SECOND
        log.second = clock.now()
        tell(log.event)

    def count() -> None:
        counted.add("requests", "grades", "2xx")
        counted.observe("request_seconds", 12.5, "grades")

    ways: dict[str, Callable[[], None]] = {
        "empty_us": lambda: tell(nothing),
        "line_kept_us": kept,
        "line_left_out_us": left_out,
        "count_and_latency_us": count,
    }
    taken: dict[str, list[float]] = {name: [] for name in ways}
    for _ in range(ROUNDS):
        for name, work in ways.items():
            taken[name].append(microseconds(work))
            await asyncio.sleep(0)
    os.close(sink)
    return {name: statistics.median(all_) for name, all_ in taken.items()}


def main() -> int:
    """Runs the bench and prints its line."""
    figures: dict[str, float | int | str] = {**uvloop.run(measure_all())}
    print(measure.result("log_cost", figures))
    return 0
