"""Commands that run a node and check its settings."""

from __future__ import annotations

import asyncio
import pathlib
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart.cli import base, output
from currantcart.settings import model as settings_model
from currantcart.telemetry import log


class NodeCommand(base.BaseCommand):
    """Runs a node."""

    name = "node"
    description = "Runs the node beside a target."
    options: ClassVar[list[Option]] = [base.SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the node until it is stopped by a signal."""
        # Imported here because the other commands start faster without it.
        from currantcart.node import serve

        settings = settings_model.load(self.settings_path())
        settings.secret()
        log.configure(level=settings.log_level)
        return asyncio.run(serve.run(settings))


class SettingsCheckCommand(base.BaseCommand):
    """Checks a settings file."""

    name = "settings check"
    description = "Checks a settings file."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file.")]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Validates the settings file."""
        path = self.argument("file")
        settings = settings_model.load(pathlib.Path(path))
        settings.secret()
        output.result(
            self, f"{path}: valid", file=path, instance=settings.instance
        )
        return 0
