"""Entry point of `python -m bench`."""

from __future__ import annotations

import sys

from cleo import application
from cleo.commands import command
from cleo.helpers import option

from bench.experiments import demo


class DemoCommand(command.Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Runs both deployments and prints a table."

    def handle(self) -> int:
        return demo.main()


def main() -> int:
    """Runs one experiment."""
    built = application.Application("bench")
    built.auto_exits(False)
    built.add(DemoCommand())
    return built.run()


JSON_OPTION = option("json", None, "Write one JSON line.")

if __name__ == "__main__":
    sys.exit(main())
