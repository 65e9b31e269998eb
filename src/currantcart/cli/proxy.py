"""Commands for nodes that a platform deploys, and their configuration."""

from __future__ import annotations

import pathlib
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart import files
from currantcart.cli import base, output
from currantcart.platform import config
from currantcart.proxy import settings as proxy_settings


class ProxyCommand(base.BaseCommand):
    """Runs a node that a platform deploys."""

    name = "proxy"
    description = "Runs the node beside a target of a platform's deployment."
    options: ClassVar[list[Option]] = [base.SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the node until it is stopped by a signal."""
        # Imported here because only this command needs the fast event loop.
        from currantcart.proxy import serve

        return serve.run(self.settings_path())


class ProxyCheckCommand(base.BaseCommand):
    """Checks the settings of a node that a platform deploys."""

    name = "proxy check"
    description = "Checks a settings file of a platform's deployment."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file.")]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Validates the settings file."""
        path = self.argument("file")
        settings = proxy_settings.load(pathlib.Path(path))
        output.result(
            self, f"{path}: valid", file=path, instance=settings.instance
        )
        return 0


class ConfigCheckCommand(base.BaseCommand):
    """Checks the configuration of a platform's operator."""

    name = "config check"
    description = "Checks a configuration of a platform's operator."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "Configuration, as JSON.")
    ]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Parses the configuration and prints a summary."""
        path = pathlib.Path(self.argument("file"))
        catalog = config.parse(files.read(path))
        routes = sum(map(len, catalog.routes.values()))
        output.result(
            self,
            f"{path}: version {catalog.version}, {routes} routes, "
            f"{len(catalog.services)} services, "
            f"{len(catalog.by_name)} workspaces",
            file=str(path),
            version=catalog.version,
            routes=routes,
            services=len(catalog.services),
            workspaces=len(catalog.by_name),
        )
        return 0
