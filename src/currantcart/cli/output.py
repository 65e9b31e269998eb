"""Output of commands, as text or JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence

from cleo.commands import command

from currantcart.config import edits


def table(
    shown: command.Command,
    columns: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> None:
    """Prints rows in aligned columns, or as a list of JSON objects."""
    if shown.option("json"):
        records = [dict(zip(columns, row, strict=True)) for row in rows]
        shown.line(json.dumps(records))
        return
    widths = [
        max(len(row[i]) for row in [columns, *rows])
        for i in range(len(columns))
    ]
    for row in [columns, *rows]:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        shown.line("  ".join(cells).rstrip())


def result(
    shown: command.Command, text: str, **fields: str | int | float | bool
) -> None:
    """Prints one result as a line of text, or as a JSON object."""
    shown.line(json.dumps(fields) if shown.option("json") else text)


def accepted(shown: command.Command, edit: edits.Accepted) -> None:
    """Prints the revision and summary of an accepted edit."""
    result(
        shown,
        f"accepted as revision {edit.revision}: {edit.summary}",
        revision=edit.revision,
        summary=edit.summary,
    )
