"""Measures processor time per log line and per metric update.

The baseline is an empty call. Rounds of all cases are interleaved and the
median is reported, because absolute figures vary by half between runs on a
shared machine.
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


def discard(event: str, **values: object) -> None:
    """Discards a log line; the baseline."""


def log_rejection(log: Callable[..., None]) -> None:
    """Logs the line that is written for a rejected request."""
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


def measure_microseconds(work: Callable[[], None]) -> float:
    """Returns the mean processor time of one call, in microseconds."""
    start = time.process_time()
    for _ in range(CALLS):
        work()
    return 1e6 * (time.process_time() - start) / CALLS


async def measure_all() -> dict[str, float]:
    """Measures all cases in interleaved rounds.

    Returns:
      Median processor time of each case, in microseconds.
    """
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
    metrics = counts.Counts()

    def write_line() -> None:
        log.lines = 0
        log.second = clock.now()
        log_rejection(log.event)
        if log.buffered > decisions.BUFFER_BYTES_MAX // 2:
            log.flush()

    def drop_line() -> None:
        log.lines = decisions.LINES_A_SECOND
        log.second = clock.now()
        log_rejection(log.event)

    def update_metrics() -> None:
        metrics.add("requests", "grades", "2xx")
        metrics.observe("request_seconds", 12.5, "grades")

    cases: dict[str, Callable[[], None]] = {
        "empty_us": lambda: log_rejection(discard),
        "line_kept_us": write_line,
        "line_left_out_us": drop_line,
        "count_and_latency_us": update_metrics,
    }
    samples: dict[str, list[float]] = {name: [] for name in cases}
    for _ in range(ROUNDS):
        for name, work in cases.items():
            samples[name].append(measure_microseconds(work))
            await asyncio.sleep(0)
    os.close(sink)
    return {name: statistics.median(times) for name, times in samples.items()}


def main() -> int:
    """Runs the experiment and prints its result line."""
    figures: dict[str, float | int | str] = {**uvloop.run(measure_all())}
    print(measure.result("log_cost", figures))
    return 0
