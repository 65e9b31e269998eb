"""Prints the figures of `docs/design/placement.md`.

`python -m tests.routing.placement_figures [WAY ...]`; without names, all ways.
"""

from __future__ import annotations

import collections
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from currantcart.routing import completion, picker
from tests.routing import service_world, test_placement

SEEDS = (7, 8)
ARRANGEMENTS = (test_placement.SPEEDS, test_placement.MIXED)
NEGLIGIBLE = 0.05
LATE_SHARE = completion.late_share


def with_threshold(work_ms: float, *, allowed_ms: float, sigma: float) -> float:
    share = LATE_SHARE(work_ms, allowed_ms=allowed_ms, sigma=sigma)
    return max(0.0, share - NEGLIGIBLE)


def by_time(
    work: completion.Work, *, slowness: float, before_ms: float
) -> float:
    """Costs the expected time itself; 100 ms cost as much as a full target."""
    return (before_ms + work.work_ms * slowness) / 100.0


def by_tail(
    work: completion.Work, *, slowness: float, before_ms: float
) -> float:
    """Costs the time by which the tail exceeds the time left."""
    tail_ms = work.work_ms * slowness * completion.TAIL_DEFAULT + before_ms
    return max(0.0, tail_ms - work.objective_ms) / 100.0


def report_true_state(
    world: service_world.World, server: service_world.Server
) -> None:
    """Replaces what a target reports by whether it is slow at that time."""
    slow = world.slow[server.name]
    server.pace.slow_now = lambda now: (  # type: ignore[method-assign]
        service_world.SLOW_FACTOR
        if slow[int(now / service_world.SLOW_MS)]
        else 1.0
    )
    REPORT(world, server)


REPORT = service_world.World.report


@contextmanager
def patched(*changes: tuple[Any, str, Any]) -> Iterator[None]:
    before = [getattr(where, name) for where, name, _ in changes]
    for where, name, value in changes:
        setattr(where, name, value)
    try:
        yield
    finally:
        for (where, name, _), value in zip(changes, before, strict=True):
            setattr(where, name, value)


WAYS: dict[str, list[tuple[Any, str, Any]]] = {
    "load": [],
    "chosen": [],
    "threshold": [(completion, "late_share", with_threshold)],
    "soonest": [(completion, "lateness_cost", by_time)],
    "tail": [(completion, "lateness_cost", by_tail)],
    "far-as-by-load": [(picker, "KNOWN_WORK_FAR_COST", 1.5)],
    "no-reserve": [(completion, "RESERVED_COST", 0.0)],
    "no-jitter": [(picker, "LATENESS_JITTER", 0.0)],
    "no-pace": [(completion, "slow_factor", lambda *_, **__: 1.0)],
    "true-pace": [(service_world.World, "report", report_true_state)],
    "true-pace-100ms": [
        (service_world.World, "report", report_true_state),
        (service_world, "STATUS_MS", 100.0),
    ],
    "status-400ms": [(service_world, "STATUS_MS", 400.0)],
}


def figures(way: str, load: float, **world: Any) -> list[float]:
    """Returns the means over arrangements and seeds at a load."""
    total: collections.Counter[int] = collections.Counter()
    count = 0
    for speeds in ARRANGEMENTS:
        for seed in SEEDS:
            result = service_world.World(
                speeds,
                by_completion=way != "load",
                slow_share=test_placement.SLOW_SHARE,
                seed=seed,
                **world,
            ).play(load)
            row = [
                result.share_in_time(),
                result.share_in_time("lookup"),
                result.share_in_time("cross"),
                result.share_near,
                result.waiting_max,
            ]
            for index, value in enumerate(row):
                total[index] += value  # type: ignore[assignment]
            count += 1
    return [total[index] / count for index in range(5)]


def main(names: list[str], write: Callable[[str], object]) -> None:
    write("way | load | in time | lookup | cross | near | largest queue\n")
    for way in names or list(WAYS):
        with patched(*WAYS[way]):
            for load in test_placement.LOADS:
                row = figures(way, load)
                text = " | ".join(f"{value:.3f}" for value in row[:4])
                write(f"{way} | {load} | {text} | {row[4]:.0f}\n")


if __name__ == "__main__":
    main(sys.argv[1:], sys.stdout.write)
