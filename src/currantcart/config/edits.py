"""Edits of the configuration document by compare-and-swap."""

from __future__ import annotations

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any

from currantcart import clock as clock_module
from currantcart import errors
from currantcart.config import document
from currantcart.store import port

ATTEMPTS_MAX = 5
UNDO_MAX = 20
Change = Callable[[document.Document], "Changed"]


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Result of a change.

    Attributes:
      parts: Changed top-level fields of the document, with new values.
      summary: One line for operators.
    """

    parts: dict[str, Any]
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An edit that is known to have been stored."""

    revision: int
    summary: str


def conflict(detail: str) -> errors.CurrantcartError:
    """Returns the error for an edit that conflicts with another one."""
    return errors.CurrantcartError(
        errors.Code.EDIT_CONFLICT, errors.Step.CONFIG, detail
    )


def previous_parts(
    current: document.Document, changed: Changed
) -> dict[str, Any]:
    """Returns the values that an edit replaces, for undo.

    Keys are left out, so that an undo never restores a withdrawn key. So are
    evacuations: `restore` ends them, and an undo must not begin one.
    """
    before: dict[str, Any] = {}
    if "services" in changed.parts:
        before["services"] = current.services.model_dump(
            mode="json", exclude_defaults=True
        )
    new = changed.parts.get("workspaces")
    if new is not None:
        old = current.workspaces
        before["workspaces"] = {
            name: old[name].model_dump(mode="json") if name in old else None
            for name in {*old, *new}
            if old.get(name) != new.get(name)
        }
    return before


def next_document(
    current: document.Document,
    changed: Changed,
    *,
    author: str,
    edit_id: str,
    wall_ms: float,
) -> document.Document:
    """Returns the document after an edit, with a record in its history."""
    record = document.EditRecord(
        edit_id=edit_id,
        revision=current.revision + 1,
        author=author,
        wall_ms=wall_ms,
        summary=changed.summary,
        before=previous_parts(current, changed),
    )
    history = [*current.history, record][-document.HISTORY_MAX :]
    # Old values of all edits would eventually exceed the size limit of a
    # stored value, so only the latest edits can be undone.
    history = [
        old.model_copy(update={"before": {}}) for old in history[:-UNDO_MAX]
    ] + history[-UNDO_MAX:]
    return current.model_copy(
        update={
            **changed.parts,
            "revision": current.revision + 1,
            "history": history,
        }
    )


class Editor:
    """Applies edits to the stored document."""

    def __init__(
        self, *, store: port.Store, clock: clock_module.Clock, author: str
    ) -> None:
        self.store = store
        self.clock = clock
        self.author = author

    async def read(self) -> tuple[document.Document, int]:
        """Returns the stored document and its store index."""
        entry = await self.store.get(document.STORE_KEY)
        if entry.index == 0:
            return document.Document(), 0
        return document.decode(entry.value), entry.index

    async def apply(
        self, change: Change, *, base_revision: int | None = None
    ) -> Accepted:
        """Applies one edit; retries after a lost race or a lost answer.

        Args:
          change: Returns the changed parts for the current document;
            raises if the document does not allow the edit.
          base_revision: Revision that the author saw; None applies the edit
            to any revision.

        Raises:
          errors.CurrantcartError: The document does not allow the edit, it
            conflicts with other edits, or the store is unavailable.
        """
        edit_id = secrets.token_hex(8)
        for _ in range(ATTEMPTS_MAX):
            current, index = await self.read()
            accepted = find_edit(current, edit_id)
            if accepted is not None:
                return accepted
            if base_revision not in (None, current.revision):
                raise conflict(describe_since(current, base_revision or 0))
            changed = change(current)
            updated = next_document(
                current,
                changed,
                author=self.author,
                edit_id=edit_id,
                wall_ms=self.clock.wall(),
            )
            try:
                swapped = await self.store.compare_and_swap(
                    document.STORE_KEY, document.encode(updated), index=index
                )
            except port.StoreOutcomeUnknown:
                # The write may have taken effect. The next attempt looks for
                # the edit id in the stored document first, so that the edit
                # is not applied twice.
                continue
            if swapped:
                return Accepted(updated.revision, changed.summary)
        current, _ = await self.read()
        accepted = find_edit(current, edit_id)
        if accepted is not None:
            return accepted
        raise conflict(f"edit was not stored in {ATTEMPTS_MAX} attempts")


def find_edit(current: document.Document, edit_id: str) -> Accepted | None:
    """Returns the edit with an id from the history; None if not there."""
    for record in current.history:
        if record.edit_id == edit_id:
            return Accepted(record.revision, record.summary)
    return None


def describe_since(current: document.Document, revision: int) -> str:
    """Returns a message that lists the edits after a revision."""
    lines = [
        f"revision {record.revision} by {record.author}: {record.summary}"
        for record in current.history
        if record.revision > revision
    ]
    return f"changed since revision {revision}: {'; '.join(lines)}"
