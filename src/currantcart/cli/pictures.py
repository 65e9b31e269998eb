"""Pictures of what decision logs tell."""

from __future__ import annotations

import pathlib
from typing import Any

from currantcart import errors
from currantcart.telemetry import losses, timeline

SERIES_MAX = 12


def new_figure(height: float) -> Any:
    """Returns an empty figure.

    Raises:
      errors.CurrantcartError: The drawing library is not there.
    """
    try:
        from matplotlib import figure
    except ImportError as error:
        raise errors.CurrantcartError(
            errors.Code.NOT_FOUND,
            errors.Step.COMMAND,
            "--picture needs matplotlib",
        ) from error
    return figure.Figure(figsize=(10, height))


def draw_day(made: list[timeline.Slice], target: pathlib.Path) -> None:
    """Draws a day's timeline.

    Raises:
      errors.CurrantcartError: The drawing library is not there.
    """
    start = made[0].start
    seconds = [item.start - start for item in made]
    drawn = new_figure(6)
    failed, changed = drawn.subplots(2, 1, sharex=True)
    codes = sorted({code for item in made for code in item.ends})
    failed.stackplot(
        seconds, [[item.ends[code] for item in made] for code in codes],
        labels=codes,
    )  # fmt: skip
    failed.set_ylabel("failed a second")
    if codes:
        failed.legend(fontsize="x-small")
    changed.step(seconds, [item.pressure for item in made], label="pressure")
    changed.set_ylabel("highest pressure")
    changed.set_xlabel("seconds")
    for item in made:
        if item.changes["config_taken"]:
            changed.axvline(item.start - start, linewidth=0.3)
    drawn.savefig(target)


def draw_losses(found: list[losses.Loss], target: pathlib.Path) -> None:
    """Draws what was lost in each second, the costliest causes apart.

    Raises:
      errors.CurrantcartError: The drawing library is not there.
    """
    last = max(max(loss.by_second) for loss in found)
    seconds = list(range(last + 1))
    shown = found[:SERIES_MAX]
    drawn = new_figure(4)
    axes = drawn.subplots()
    axes.stackplot(
        seconds,
        [[loss.by_second[second] for second in seconds] for loss in shown],
        labels=[f"{loss.route}: {loss.cause}" for loss in shown],
    )
    axes.set_ylabel("lost a second")
    axes.set_xlabel("seconds")
    axes.legend(fontsize="x-small")
    drawn.savefig(target)
