"""Commands that manage workspaces and their API keys."""

from __future__ import annotations

import secrets
from typing import ClassVar

import pydantic
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart.cli import base, fleet, output
from currantcart.config import changes, document
from currantcart.settings import model as settings_model
from currantcart.settings import validation
from currantcart.workspace import model as workspace_model

KEY_ID_BYTES = 4
NAME_ADAPTER = pydantic.TypeAdapter(settings_model.Name)
NAME_ARGUMENT = argument("name", "Name of the workspace.")
LIMIT_OPTIONS: list[Option] = [
    option("rate", None, "Root calls a second, fleet-wide.", flag=False),
    option("burst", None, "Root calls at once, fleet-wide.", flag=False),
    option(
        "importance", None, "sheddable, normal, important or critical.",
        flag=False,
    ),
]  # fmt: skip


class WorkspaceCreateCommand(base.BaseCommand):
    """Creates a workspace."""

    name = "workspace create"
    description = "Creates a workspace."
    arguments: ClassVar[list[Argument]] = [NAME_ARGUMENT]
    options: ClassVar[list[Option]] = [*base.STORE_OPTIONS, *LIMIT_OPTIONS]

    def handle(self) -> int:
        """Validates the workspace and stores it as a new revision."""
        name = self.argument("name")
        values = {
            "rate": self.option("rate"),
            "burst": self.option("burst"),
            "importance": self.option("importance") or "normal",
        }
        try:
            NAME_ADAPTER.validate_python(name)
            workspace = document.WorkspaceText.model_validate(values)
        except pydantic.ValidationError as error:
            raise base.UsageError(validation.describe(error)) from error
        accepted = self.edit(
            lambda editor: editor.apply(
                changes.create_workspace(name, workspace)
            )
        )
        output.accepted(self, accepted)
        return 0


class WorkspaceSetCommand(base.BaseCommand):
    """Changes the limits of a workspace."""

    name = "workspace set"
    description = "Changes rate, burst or importance of a workspace."
    arguments: ClassVar[list[Argument]] = [NAME_ARGUMENT]
    options: ClassVar[list[Option]] = [*base.STORE_OPTIONS, *LIMIT_OPTIONS]

    def handle(self) -> int:
        """Stores the new limits as a new revision."""
        change = changes.set_workspace(
            self.argument("name"),
            rate=self.number("rate"),
            burst=self.number("burst"),
            importance=self.option("importance"),
        )
        try:
            accepted = self.edit(lambda editor: editor.apply(change))
        except pydantic.ValidationError as error:
            raise base.UsageError(validation.describe(error)) from error
        output.accepted(self, accepted)
        return 0


class WorkspaceListCommand(base.BaseCommand):
    """Lists the workspaces and their limits."""

    name = "workspace list"
    description = "Lists the workspaces."
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Prints the workspaces."""
        current, _ = self.edit(lambda editor: editor.read())
        rows = [
            [name, f"{w.rate:g}", f"{w.burst:g}", w.importance]
            for name, w in sorted(current.workspaces.items())
        ]
        output.table(self, ["name", "rate", "burst", "importance"], rows)
        return 0


class KeyGiveCommand(base.BaseCommand):
    """Creates an API key for a workspace."""

    name = "key give"
    description = "Gives a new key to a workspace, and shows it this once."
    arguments: ClassVar[list[Argument]] = [NAME_ARGUMENT]
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Stores a new key and prints it; it cannot be shown again."""
        key = workspace_model.new_key()
        key_id = secrets.token_hex(KEY_ID_BYTES)
        change = changes.give_key(self.argument("name"), key=key, key_id=key_id)
        accepted = self.edit(lambda editor: editor.apply(change))
        output.result(
            self,
            f"key {key_id}, shown only now: {key}",
            key_id=key_id,
            key=key,
            revision=accepted.revision,
        )
        return 0


class KeyWithdrawCommand(base.BaseCommand):
    """Revokes an API key."""

    name = "key withdraw"
    description = "Withdraws a key."
    arguments: ClassVar[list[Argument]] = [argument("key_id", "Id of the key.")]
    options: ClassVar[list[Option]] = [*base.STORE_OPTIONS, base.ADMIN_OPTION]

    def handle(self) -> int:
        """Revokes the key; given a node, waits until all members confirm it.

        Raises:
          errors.CurrantcartError: The edit was refused, or was accepted but is
            not confirmed by all members.
        """
        change = changes.withdraw_key(self.argument("key_id"))
        accepted = self.edit(lambda editor: editor.apply(change))
        fleet.show_in_force(self, accepted)
        return 0


class KeyListCommand(base.BaseCommand):
    """Lists the API keys."""

    name = "key list"
    description = "Lists the ids of the keys in force."
    options: ClassVar[list[Option]] = base.STORE_OPTIONS

    def handle(self) -> int:
        """Prints the id and workspace of each key."""
        current, _ = self.edit(lambda editor: editor.read())
        rows = [
            [key_id, key.workspace]
            for key_id, key in sorted(current.keys.items())
        ]
        output.table(self, ["key_id", "workspace"], rows)
        return 0
