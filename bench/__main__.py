"""Entry point of `python -m bench`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import ClassVar

from cleo import application
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bench.experiments import (
    admission,
    demo,
    fleetwide,
    once,
    overhead,
    overload,
    prove,
    rate,
)


def experiment(
    name: str, description: str, main: Callable[[], int]
) -> command.Command:
    """Returns the command that runs an experiment."""

    class ExperimentCommand(command.Command):
        """Runs one experiment."""

        options: ClassVar[list[Option]] = [
            option("json", None, "Kept for scripts: the line is JSON anyway.")
        ]

        def handle(self) -> int:
            return main()

    ExperimentCommand.name = name
    ExperimentCommand.description = description
    return ExperimentCommand()


class ProveCommand(command.Command):
    """Searches generated histories."""

    name = "prove"
    description = "Searches generated histories for violations."
    options: ClassVar[list[Option]] = [
        option("seconds", None, "How long.", flag=False, default="300"),
        option("seed", None, "First seed.", flag=False),
    ]

    def handle(self) -> int:
        seed = self.option("seed")
        return prove.main(
            seconds=float(self.option("seconds")),
            seed=None if seed is None else int(seed),
        )


def main() -> int:
    """Runs one experiment."""
    built = application.Application("bench")
    built.auto_exits(False)
    for name, description, run in (
        ("demo", "Runs both deployments and prints a table.", demo.main),
        ("overhead", "Measures the cost of a hop.", overhead.main),
        ("admission", "Compares orders of a standing queue.", admission.main),
        ("config", "Spreads edits.", fleetwide.config_main),
        ("withdraw", "Withdraws keys in use.", fleetwide.withdraw_main),
        (
            "membership",
            "Joins, leaves, dies; the cost of control.",
            fleetwide.membership_main,
        ),
        ("once", "Repeats payments under faults.", once.main),
        ("rate", "Holds workspaces to their rates.", rate.main),
        ("overload", "Slows a deep service under retries.", overload.main),
    ):
        built.add(experiment(name, description, run))
    built.add(ProveCommand())
    return built.run()


if __name__ == "__main__":
    sys.exit(main())
