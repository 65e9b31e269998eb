"""Percentiles, processor time and memory of processes, result lines."""

from __future__ import annotations

import datetime
import json
import os
import pathlib
import platform
import subprocess

from hdrh import histogram

MICROSECONDS_MAX = 60_000_000
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
RESULTS = pathlib.Path(__file__).parent / "results"


class Latency:
    """Distribution of the latencies of one request path."""

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(1, MICROSECONDS_MAX, 3)

    def add(self, seconds: float) -> None:
        self.histogram.record_value(max(1, int(seconds * 1e6)))

    def percentile(self, percent: float) -> float:
        """Returns a percentile of the latencies in milliseconds."""
        value = self.histogram.get_value_at_percentile(percent)
        return float(value) / 1_000


def processor_seconds(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB; 0 if it is unknown."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_000
    return 0.0


def commit() -> str:
    """Returns the current commit, marked if the working tree is changed."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


def result(experiment: str, figures: dict[str, float | int | str]) -> str:
    """Returns the JSON line of an experiment and appends it to its results."""
    line = json.dumps(
        {
            "experiment": experiment,
            **{
                name: round(value, 4) if isinstance(value, float) else value
                for name, value in figures.items()
            },
            "commit": commit(),
            "machine": f"{platform.machine()}-{os.cpu_count()}cpu",
            "date": datetime.datetime.now(datetime.UTC).isoformat(
                timespec="seconds"
            ),
        }
    )
    RESULTS.mkdir(exist_ok=True)
    with (RESULTS / f"{experiment}.jsonl").open("a") as sink:
        sink.write(line + "\n")
    return line
