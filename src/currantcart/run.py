"""Command line entry point; maps errors to one line and an exit status."""

from __future__ import annotations

import sys

from cleo import application
from cleo.exceptions import CleoError

import currantcart
from currantcart import errors
from currantcart.cli import (
    base,
    domains,
    fleet,
    logs,
    node,
    proxy,
    services,
    workspaces,
)

EXIT_FAILED = 1
EXIT_USAGE = 2

COMMANDS = (
    node.NodeCommand,
    node.SettingsCheckCommand,
    services.ServicesCheckCommand,
    services.ServicesApplyCommand,
    services.ServicesShowCommand,
    services.HistoryCommand,
    services.UndoCommand,
    workspaces.WorkspaceCreateCommand,
    workspaces.WorkspaceSetCommand,
    workspaces.WorkspaceListCommand,
    workspaces.KeyGiveCommand,
    workspaces.KeyWithdrawCommand,
    workspaces.KeyListCommand,
    domains.DomainEvacuateCommand,
    domains.DomainRestoreCommand,
    domains.DomainListCommand,
    fleet.StatusCommand,
    fleet.ExplainCommand,
    logs.IncidentCommand,
    logs.LossesCommand,
    proxy.ProxyCommand,
    proxy.ProxyCheckCommand,
    proxy.ProxyShowCommand,
    proxy.ProxyQuarantineCommand,
    proxy.ConfigCheckCommand,
)


def build_application() -> application.Application:
    """Returns the application with all commands registered."""
    built = application.Application("currantcart", currantcart.__version__)
    built.auto_exits(False)
    built.catch_exceptions(False)
    for command in COMMANDS:
        built.add(command())
    return built


def main() -> int:
    """Runs the command line.

    Returns:
      Exit status: 0 on success, 1 if the command failed or was refused, 2 for
      invalid usage.
    """
    try:
        return build_application().run()
    except base.UsageError as error:
        sys.stderr.write(f"currantcart: {error}\n")
        return EXIT_USAGE
    except errors.CurrantcartError as error:
        sys.stderr.write(f"currantcart: {error}\n")
        return EXIT_FAILED
    except CleoError as error:
        sys.stderr.write(f"currantcart: [usage] {error}\n")
        return EXIT_USAGE


def run() -> None:
    """Runs the command line and exits the process with its status."""
    sys.exit(main())
