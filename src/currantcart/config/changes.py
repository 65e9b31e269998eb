"""Operators' changes, as pure functions of the configuration document."""

from __future__ import annotations

from typing import Any

from currantcart import errors
from currantcart.config import document, edits
from currantcart.graph import document as graph_document
from currantcart.workspace import model as workspace_model


def refuse(detail: str, *, code: errors.Code) -> errors.CurrantcartError:
    """Returns the error for a change that the document does not allow."""
    return errors.CurrantcartError(code, errors.Step.CONFIG, detail)


def require_workspace(
    current: document.Document, name: str
) -> document.WorkspaceText:
    """Returns the workspace with the given name.

    Raises:
      errors.CurrantcartError: The workspace does not exist.
    """
    if name not in current.workspaces:
        raise refuse(
            f"workspace {name} does not exist", code=errors.Code.NOT_FOUND
        )
    return current.workspaces[name]


def apply_services(text: graph_document.ServicesText) -> edits.Change:
    """Returns a change that replaces all services."""

    def change(current: document.Document) -> edits.Changed:
        del current
        return edits.Changed(
            {"services": text}, f"services: {len(text.services)} services"
        )

    return change


def create_workspace(
    name: str, workspace: document.WorkspaceText
) -> edits.Change:
    """Returns a change that adds a workspace."""

    def change(current: document.Document) -> edits.Changed:
        if name in current.workspaces:
            raise refuse(
                f"workspace {name} already exists",
                code=errors.Code.EDIT_CONFLICT,
            )
        workspaces = {**current.workspaces, name: workspace}
        return edits.Changed(
            {"workspaces": workspaces}, f"workspace {name}: created"
        )

    return change


def set_workspace(
    name: str,
    *,
    rate: float | None,
    burst: float | None,
    importance: graph_document.ImportanceName | None,
) -> edits.Change:
    """Returns a change of a workspace's limits; None keeps a value."""

    def change(current: document.Document) -> edits.Changed:
        values = require_workspace(current, name).model_dump()
        given = {"rate": rate, "burst": burst, "importance": importance}
        values |= {k: v for k, v in given.items() if v is not None}
        workspaces = {
            **current.workspaces,
            name: document.WorkspaceText.model_validate(values),
        }
        return edits.Changed(
            {"workspaces": workspaces}, f"workspace {name}: limits set"
        )

    return change


def give_key(workspace: str, *, key: str, key_id: str) -> edits.Change:
    """Returns a change that adds an API key to a workspace.

    Args:
      workspace: Name of the workspace.
      key: The key itself; only its digest is stored.
      key_id: Public identifier of the key.
    """

    def change(current: document.Document) -> edits.Changed:
        require_workspace(current, workspace)
        text = document.KeyText(
            digest=workspace_model.digest_of(key), workspace=workspace
        )
        return edits.Changed(
            {"keys": {**current.keys, key_id: text}},
            f"key {key_id}: given to {workspace}",
        )

    return change


def withdraw_key(key_id: str) -> edits.Change:
    """Returns a change that removes an API key."""

    def change(current: document.Document) -> edits.Changed:
        if key_id not in current.keys:
            raise refuse(
                f"key {key_id} does not exist", code=errors.Code.NOT_FOUND
            )
        keys = {k: v for k, v in current.keys.items() if k != key_id}
        return edits.Changed({"keys": keys}, f"key {key_id}: withdrawn")

    return change


def evacuate_domain(name: str) -> edits.Change:
    """Returns a change that evacuates a failure domain."""

    def change(current: document.Document) -> edits.Changed:
        if name in current.evacuated:
            raise refuse(
                f"failure domain {name} is evacuated already",
                code=errors.Code.EDIT_CONFLICT,
            )
        return edits.Changed(
            {"evacuated": sorted([*current.evacuated, name])},
            f"failure domain {name}: evacuated",
        )

    return change


def restore_domain(name: str) -> edits.Change:
    """Returns a change that ends the evacuation of a failure domain."""

    def change(current: document.Document) -> edits.Changed:
        if name not in current.evacuated:
            raise refuse(
                f"failure domain {name} is not evacuated",
                code=errors.Code.NOT_FOUND,
            )
        rest = [other for other in current.evacuated if other != name]
        return edits.Changed(
            {"evacuated": rest}, f"failure domain {name}: restored"
        )

    return change


def find_undoable(
    current: document.Document, revision: int
) -> document.EditRecord:
    """Returns the history record of an edit that can be undone.

    Raises:
      errors.CurrantcartError: The edit is unknown or too old, or concerns keys
        or evacuations.
    """
    for record in current.history:
        if record.revision == revision and record.before:
            return record
    raise refuse(
        f"revision {revision} cannot be undone: it is too old, unknown, "
        "or an edit of keys or evacuations",
        code=errors.Code.NOT_FOUND,
    )


def changed_parts(record: document.EditRecord) -> set[str]:
    """Returns the changed parts, as `services` or `workspaces.NAME`."""
    names = record.before.get("workspaces", {})
    parts = {f"workspaces.{name}" for name in names}
    return parts | ({"services"} & record.before.keys())


def undo(revision: int) -> edits.Change:
    """Returns a change that restores what an edit replaced.

    The result is a new revision. The change is rejected if a later edit has
    changed one of the same parts.
    """

    def change(current: document.Document) -> edits.Changed:
        undone = find_undoable(current, revision)
        for later in current.history:
            common = changed_parts(later) & changed_parts(undone)
            if later.revision > revision and common:
                raise refuse(
                    f"revision {later.revision} by {later.author} changed "
                    f"{', '.join(sorted(common))} since",
                    code=errors.Code.EDIT_CONFLICT,
                )
        parts: dict[str, Any] = {}
        if "services" in undone.before:
            parts["services"] = graph_document.ServicesText.model_validate(
                undone.before["services"]
            )
        if "workspaces" in undone.before:
            parts["workspaces"] = restored_workspaces(current, undone)
        return edits.Changed(parts, f"undo of revision {revision}")

    return change


def restored_workspaces(
    current: document.Document, undone: document.EditRecord
) -> dict[str, document.WorkspaceText]:
    """Returns the current workspaces with an edit's changes reverted.

    Args:
      current: Current document.
      undone: History record of the edit.
    """
    workspaces = dict(current.workspaces)
    for name, values in undone.before["workspaces"].items():
        if values is None:
            workspaces.pop(name, None)
        else:
            workspaces[name] = document.WorkspaceText.model_validate(values)
    return workspaces
