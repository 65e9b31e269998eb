"""Commands on the services text and the configuration history."""

from __future__ import annotations

import json
import pathlib
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart import errors
from currantcart.cli import base, output
from currantcart.config import changes
from currantcart.graph import document as graph_document
from currantcart.settings import jsonc

FILE_ARGUMENT = argument("file", "Services text, JSON with comments.")


def read_services(path: str) -> graph_document.ServicesText:
    """Reads and validates a services text."""
    text = jsonc.read_file(
        pathlib.Path(path), code=errors.Code.SERVICES_INVALID
    )
    return graph_document.parse(text, source=path)


class ServicesCheckCommand(base.BaseCommand):
    """Validates a services text."""

    name = "services check"
    description = "Checks a services text."
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Validates the file and prints the number of services."""
        path = self.argument("file")
        count = len(read_services(path).services)
        output.result(
            self, f"{path}: valid, {count} services", file=path, services=count
        )
        return 0


class ServicesApplyCommand(base.BaseCommand):
    """Applies a services text to the stored configuration."""

    name = "services apply"
    description = "Puts a services text in force."
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [
        *base.STORE_OPTIONS,
        option(
            "base", None, "Revision that you edited; refuses others.",
            flag=False,
        ),
    ]  # fmt: skip

    def handle(self) -> int:
        """Stores the services text as a new revision."""
        text = read_services(self.argument("file"))
        expected = self.number("base")
        accepted = self.edit(
            lambda editor: editor.apply(
                changes.apply_services(text),
                base_revision=None if expected is None else int(expected),
            )
        )
        output.accepted(self, accepted)
        return 0


class ServicesShowCommand(base.BaseCommand):
    """Shows the stored services text."""

    name = "services show"
    description = "Shows the stored services text."
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Prints the stored text, which is JSON with and without `--json`."""
        current, _ = self.edit(lambda editor: editor.read())
        text = current.services.model_dump(mode="json", exclude_defaults=True)
        text.setdefault("services", {})
        if self.option("json"):
            text = {"revision": current.revision, **text}
            self.line(json.dumps(text))
            return 0
        self.line(f"// revision {current.revision}")
        self.line(json.dumps(text, indent=2))
        return 0


class UndoCommand(base.BaseCommand):
    """Reverts an accepted change of the configuration."""

    name = "undo"
    description = "Undoes a change of services or workspaces, as a new one."
    arguments: ClassVar[list[Argument]] = [
        argument("revision", "Revision of the change.")
    ]
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Stores the reverted change as a new revision."""
        text = self.argument("revision")
        if not text.isdecimal():
            raise base.UsageError(
                f"revision: found {text!r}, allowed: a whole number"
            )
        change = changes.undo(int(text))
        output.accepted(self, self.edit(lambda editor: editor.apply(change)))
        return 0


class HistoryCommand(base.BaseCommand):
    """Lists accepted changes of the configuration."""

    name = "history"
    description = "Lists the accepted changes of the configuration."
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Prints the history of the configuration."""
        current, _ = self.edit(lambda editor: editor.read())
        rows = [
            [str(r.revision), r.author, f"{r.wall_ms:.0f}", r.summary]
            for r in current.history
        ]
        output.table(self, ["revision", "author", "wall_ms", "summary"], rows)
        return 0
