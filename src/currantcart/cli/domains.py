"""Commands that evacuate failure domains."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import pydantic
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart.cli import base, fleet, output
from currantcart.config import changes, edits
from currantcart.settings import model as settings_model
from currantcart.settings import validation

NAME_ADAPTER = pydantic.TypeAdapter(settings_model.Name)
NAME_ARGUMENT = argument("name", "Name of the failure domain.")


CHANGE_OPTIONS: list[Option] = [*base.STORE_OPTIONS, base.ADMIN_OPTION]


def apply(
    command: base.BaseCommand, change_of: Callable[[str], edits.Change]
) -> int:
    """Changes a failure domain; given a node, waits until all confirm it.

    Args:
      command: The command, with the name of the failure domain.
      change_of: Returns the change of a failure domain.

    Returns:
      The exit status.

    Raises:
      base.UsageError: The name is not a valid one.
      errors.CurrantcartError: The edit was refused, or was accepted but is not
        confirmed by all members.
    """
    name = command.argument("name")
    try:
        NAME_ADAPTER.validate_python(name)
    except pydantic.ValidationError as error:
        raise base.UsageError(validation.describe(error)) from error
    change = change_of(name)
    accepted = command.edit(lambda editor: editor.apply(change))
    fleet.show_in_force(command, accepted)
    return 0


class DomainEvacuateCommand(base.BaseCommand):
    """Evacuates a failure domain."""

    name = "domain evacuate"
    description = "Stops calls to the targets of a failure domain."
    arguments: ClassVar[list[Argument]] = [NAME_ARGUMENT]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Stores the evacuation as a new revision."""
        return apply(self, changes.evacuate_domain)


class DomainRestoreCommand(base.BaseCommand):
    """Ends the evacuation of a failure domain."""

    name = "domain restore"
    description = "Lets the targets of an evacuated failure domain get calls."
    arguments: ClassVar[list[Argument]] = [NAME_ARGUMENT]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Stores the end of the evacuation as a new revision."""
        return apply(self, changes.restore_domain)


class DomainListCommand(base.BaseCommand):
    """Lists the evacuated failure domains."""

    name = "domain list"
    description = "Lists the evacuated failure domains."
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Prints the evacuated failure domains."""
        current, _ = self.edit(lambda editor: editor.read())
        output.table(
            self, ["evacuated"], [[name] for name in current.evacuated]
        )
        return 0
