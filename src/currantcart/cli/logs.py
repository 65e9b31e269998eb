"""Commands that read decision logs: request paths, timelines and losses."""

from __future__ import annotations

import collections
import pathlib
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart import errors
from currantcart.cli import base, output, pictures
from currantcart.telemetry import losses, timeline

FILES_ARGUMENT = argument("files", "Log files or folders.", multiple=True)
PICTURE_OPTION = option("picture", None, "Draw it into a file.", flag=False)
PATH_COLUMNS = ["at_ms", "instance", "event", "what"]
LOSS_COLUMNS = [
    "route", "cause", "requests", "worth", "share", "worst_second",
]  # fmt: skip
DAY_COLUMNS = ["second", "version", "pressure", "changes", "failed"]


def log_files(names: list[str]) -> list[pathlib.Path]:
    """Returns the named files, and the files in the named folders."""
    paths: list[pathlib.Path] = []
    for path in map(pathlib.Path, names):
        paths += sorted(path.iterdir()) if path.is_dir() else [path]
    return [path for path in paths if not path.is_dir()]


def path_rows(request_id: str, names: list[str]) -> list[list[str]]:
    """Returns the logged decisions on a request as table rows.

    Raises:
      errors.CurrantcartError: No log line has the request's id.
    """
    lines = timeline.way_of(request_id, timeline.read(log_files(names)))
    if not lines:
        raise errors.CurrantcartError(
            errors.Code.NOT_FOUND,
            errors.Step.COMMAND,
            f"no log line for request {request_id}; most successful requests "
            "have none",
        )
    start = lines[0].at
    return [
        [
            f"{(line.at - start) * 1e3:.0f}",
            line.instance,
            line.event,
            line.text(),
        ]
        for line in lines
    ]


def counted(counts: collections.Counter[str]) -> str:
    """Formats counts as `name:count`, the highest first."""
    return " ".join(f"{name}:{n}" for name, n in counts.most_common())


def parse_worth(text: str) -> tuple[str, losses.Worth]:
    """Parses `ROUTE=WORTH` or `ROUTE=WORTH:LATE`.

    A late answer has no value unless LATE is given.

    Raises:
      base.UsageError: The text has neither form.
    """
    route, _, numbers = text.partition("=")
    in_time, _, late = numbers.partition(":")
    try:
        if not route:
            raise ValueError(text)
        worth = losses.Worth(float(in_time), float(late or 0.0))
    except ValueError:
        raise base.UsageError(
            f"--worth: found {text!r}, allowed: ROUTE=WORTH or ROUTE=WORTH:LATE"
        ) from None
    return route, worth


class IncidentCommand(base.BaseCommand):
    """Shows the timeline of an incident."""

    name = "incident"
    description = "Tells what happened in each second, from decision logs."
    arguments: ClassVar[list[Argument]] = [FILES_ARGUMENT]
    options: ClassVar[list[Option]] = [
        base.JSON_OPTION,
        PICTURE_OPTION,
    ]

    def handle(self) -> int:
        """Prints the events of each second, and draws them on request."""
        slices = timeline.slices(
            timeline.read(log_files(self.argument("files")))
        )
        if not slices:
            raise errors.CurrantcartError(
                errors.Code.NOT_FOUND,
                errors.Step.COMMAND,
                "the log files contain no decisions",
            )
        rows = [
            [
                f"{item.start - slices[0].start:.0f}",
                item.version,
                f"{item.pressure:.2f}",
                counted(item.changes),
                counted(item.ends),
            ]
            for item in slices
        ]
        output.table(self, DAY_COLUMNS, rows)
        if self.option("picture"):
            pictures.draw_day(slices, pathlib.Path(self.option("picture")))
        return 0


class LossesCommand(base.BaseCommand):
    """Totals lost requests by route and cause."""

    name = "losses"
    description = "Totals the requests that were lost by cause, from logs."
    arguments: ClassVar[list[Argument]] = [FILES_ARGUMENT]
    options: ClassVar[list[Option]] = [
        base.JSON_OPTION,
        option(
            "worth",
            None,
            "What an answer is worth: ROUTE=WORTH[:LATE].",
            flag=False,
            multiple=True,
        ),
        PICTURE_OPTION,
    ]

    def handle(self) -> int:
        """Prints the losses, greatest value first; draws them on request."""
        worths = dict(map(parse_worth, self.option("worth")))
        lines = timeline.read(log_files(self.argument("files")))
        found = losses.of(lines, worths)
        if not found:
            raise errors.CurrantcartError(
                errors.Code.NOT_FOUND,
                errors.Step.COMMAND,
                "the log files contain no lost request",
            )
        total = sum(loss.worth for loss in found)
        rows = [
            [
                loss.route,
                loss.cause,
                str(loss.requests),
                f"{loss.worth:.1f}",
                f"{loss.worth / total:.3f}" if total else "0.000",
                str(loss.worst_second()),
            ]
            for loss in found
        ]
        output.table(self, LOSS_COLUMNS, rows)
        if self.option("picture"):
            pictures.draw_losses(found, pathlib.Path(self.option("picture")))
        return 0
