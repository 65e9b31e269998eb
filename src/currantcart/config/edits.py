"""Edits of the configuration: pure changes and their acceptance."""

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
    """A changed document.

    Attributes:
      parts: Top-level parts with their new values.
      summary: One line for people.
    """

    parts: dict[str, Any]
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An edit that is known to have succeeded."""

    revision: int
    summary: str


def conflict(detail: str) -> errors.CurrantcartError:
    """Returns the error of an edit that lost a race."""
    return errors.CurrantcartError(
        errors.Code.EDIT_CONFLICT, errors.Step.CONFIG, detail
    )


def previous_parts(
    current: document.Document, changed: Changed
) -> dict[str, Any]:
    """Returns what an edit replaces, for undoing it.

    Keys are left out: a withdrawn key is never given again.
    """
    before: dict[str, Any] = {}
    if "services" in changed.parts:
        before["services"] = current.services.model_dump(
            mode="json", exclude_defaults=True
        )
    fresh = changed.parts.get("workspaces")
    if fresh is not None:
        old = current.workspaces
        before["workspaces"] = {
            name: old[name].model_dump(mode="json") if name in old else None
            for name in {*old, *fresh}
            if old.get(name) != fresh.get(name)
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
    """Returns the document that an edit makes of the current one."""
    record = document.EditRecord(
        edit_id=edit_id,
        revision=current.revision + 1,
        author=author,
        wall_ms=wall_ms,
        summary=changed.summary,
        before=previous_parts(current, changed),
    )
    history = [*current.history, record][-document.HISTORY_MAX :]
    # What old edits replaced would fill the value of the store in time.
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
    """Makes edits through the store."""

    def __init__(
        self, *, store: port.Store, clock: clock_module.Clock, author: str
    ) -> None:
        self.store = store
        self.clock = clock
        self.author = author

    async def read(self) -> tuple[document.Document, int]:
        """Returns the stored document and its index in the store."""
        entry = await self.store.get(document.STORE_KEY)
        if entry.index == 0:
            return document.Document(), 0
        return document.decode(entry.value), entry.index

    async def apply(
        self, change: Change, *, base_revision: int | None = None
    ) -> Accepted:
        """Makes one edit.

        Args:
          change: Makes the changed parts of the current document; raises
            when the edit does not fit it.
          base_revision: Revision that the author saw; None lets the edit go
            on top of whatever is there.

        Raises:
          errors.CurrantcartError: The edit does not fit, lost a race, or the
            store is out.
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
            fresh = next_document(
                current,
                changed,
                author=self.author,
                edit_id=edit_id,
                wall_ms=self.clock.wall(),
            )
            try:
                swapped = await self.store.compare_and_swap(
                    document.STORE_KEY, document.encode(fresh), index=index
                )
            except port.StoreOutcomeUnknown:
                # The write may have taken effect: read back by edit id
                # before saying either, so nothing is applied twice.
                continue
            if swapped:
                return Accepted(fresh.revision, changed.summary)
        current, _ = await self.read()
        accepted = find_edit(current, edit_id)
        if accepted is not None:
            return accepted
        raise conflict(f"no turn came in {ATTEMPTS_MAX} attempts")


def find_edit(current: document.Document, edit_id: str) -> Accepted | None:
    """Returns an edit of the document's history."""
    for record in current.history:
        if record.edit_id == edit_id:
            return Accepted(record.revision, record.summary)
    return None


def describe_since(current: document.Document, revision: int) -> str:
    """Tells the author what changed after a revision."""
    lines = [
        f"revision {record.revision} by {record.author}: {record.summary}"
        for record in current.history
        if record.revision > revision
    ]
    return f"changed since revision {revision}: {'; '.join(lines)}"
