"""Charts of timelines and losses from decision logs."""

from __future__ import annotations

import pathlib
from typing import Any

from currantcart import errors
from currantcart.telemetry import losses, timeline

SERIES_MAX = 12


def new_figure(height: float) -> Any:
    """Returns an empty figure of a given height in inches.

    Raises:
      errors.CurrantcartError: matplotlib is not installed.
    """
    try:
        from matplotlib import figure
    except ImportError as error:
        raise errors.CurrantcartError(
            errors.Code.NOT_FOUND,
            errors.Step.COMMAND,
            "--picture requires matplotlib, which is not installed",
        ) from error
    return figure.Figure(figsize=(10, height))


def draw_day(slices: list[timeline.Slice], path: pathlib.Path) -> None:
    """Draws a timeline: failures, pressure and configuration changes.

    Raises:
      errors.CurrantcartError: matplotlib is not installed.
    """
    start = slices[0].start
    seconds = [item.start - start for item in slices]
    chart = new_figure(6)
    failed, changed = chart.subplots(2, 1, sharex=True)
    codes = sorted({code for item in slices for code in item.ends})
    failed.stackplot(
        seconds, [[item.ends[code] for item in slices] for code in codes],
        labels=codes,
    )  # fmt: skip
    failed.set_ylabel("failed a second")
    if codes:
        failed.legend(fontsize="x-small")
    changed.step(seconds, [item.pressure for item in slices], label="pressure")
    changed.set_ylabel("highest pressure")
    changed.set_xlabel("seconds")
    for item in slices:
        if item.changes["config_taken"]:
            changed.axvline(item.start - start, linewidth=0.3)
    chart.savefig(path)


def draw_losses(found: list[losses.Loss], path: pathlib.Path) -> None:
    """Draws the lost requests per second, for the causes that cost most.

    Raises:
      errors.CurrantcartError: matplotlib is not installed.
    """
    last = max(max(loss.by_second) for loss in found)
    seconds = list(range(last + 1))
    shown = found[:SERIES_MAX]
    chart = new_figure(4)
    axes = chart.subplots()
    axes.stackplot(
        seconds,
        [[loss.by_second[second] for second in seconds] for loss in shown],
        labels=[f"{loss.route}: {loss.cause}" for loss in shown],
    )
    axes.set_ylabel("lost a second")
    axes.set_xlabel("seconds")
    axes.legend(fontsize="x-small")
    chart.savefig(path)
