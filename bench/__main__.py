"""Entry point of `python -m bench`."""

from __future__ import annotations

import dataclasses
import json
import pathlib
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
    log_cost,
    once,
    overhead,
    overload,
    prove,
    proxy_hop,
    rate,
)
from bench.soak import own as soak_own
from bench.soak import run as soak_run


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


class SoakCommand(command.Command):
    """Injects seeded faults into real nodes and checks the promises."""

    name = "soak"
    description = "Plays seeded faults against real nodes, checks promises."
    options: ClassVar[list[Option]] = [
        option("seed", None, "First seed.", flag=False, default="1"),
        option("rounds", None, "Seeds to play.", flag=False, default="1"),
        option("seconds", None, "Of faults in each.", flag=False, default="20"),
        option("keep", None, "Folder for the logs.", flag=False),
        option("own", None, "On the product's own interface."),
        option("heavy", None, "With what is meant for heavy load."),
    ]

    def handle(self) -> int:
        seed = int(self.option("seed"))
        keep = self.option("keep")
        failed_seeds = 0
        for number in range(seed, seed + int(self.option("rounds"))):
            folder = pathlib.Path(keep) / str(number) if keep else None
            seconds = float(self.option("seconds"))
            if self.option("own"):
                result = soak_own.run_own(number, seconds)
            else:
                result = soak_run.run(
                    number, seconds, folder, heavy=bool(self.option("heavy"))
                )
            print(json.dumps(dataclasses.asdict(result)), flush=True)
            failed_seeds += bool(result.broken)
        return 1 if failed_seeds else 0


class ProveCommand(command.Command):
    """Searches generated histories for violations."""

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
    """Runs the command named on the command line."""
    built = application.Application("bench")
    built.auto_exits(False)
    for name, description, run in (
        ("demo", "Runs both deployments and prints a table.", demo.main),
        ("overhead", "Measures the cost of a hop.", overhead.main),
        ("proxy_hop", "Measures it on the platform's way.", proxy_hop.main),
        ("log_cost", "Measures a log line and a count.", log_cost.main),
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
    built.add(SoakCommand())
    return built.run()


if __name__ == "__main__":
    sys.exit(main())
