"""Tests of configuration edits, with races and lost store answers."""

from __future__ import annotations

import asyncio

import pytest

from currantcart import clock, errors
from currantcart.config import changes, document, edits, view
from currantcart.graph import document as graph_document
from currantcart.store import port
from tests.fakes.store import MemoryStore

LIMITS = document.WorkspaceText(rate=10, burst=5)


def editor(store: MemoryStore, author: str = "ann") -> edits.Editor:
    return edits.Editor(
        store=store,
        clock=clock.Clock(now=lambda: 0.0, wall=lambda: 0.0),
        author=author,
    )


async def stored(store: MemoryStore) -> document.Document:
    return (await editor(store).read())[0]


async def test_edit_is_accepted_once_stored() -> None:
    store = MemoryStore()
    made = await editor(store).apply(changes.create_workspace("mill", LIMITS))
    assert made.revision == 1
    current = await stored(store)
    assert list(current.workspaces) == ["mill"]
    assert [record.author for record in current.history] == ["ann"]


async def test_lost_answer_is_read_back_and_not_applied_twice() -> None:
    """The store applies the write, but its answer is lost."""
    store = MemoryStore()
    store.lose_answers = 1
    made = await editor(store).apply(changes.create_workspace("mill", LIMITS))
    assert made.revision == 1
    assert (await stored(store)).revision == 1


async def test_concurrent_edits_are_all_applied() -> None:
    store = MemoryStore()
    await asyncio.gather(
        *(
            editor(store, name).apply(changes.create_workspace(name, LIMITS))
            for name in ("ann", "ben", "eva")
        )
    )
    current = await stored(store)
    assert sorted(current.workspaces) == ["ann", "ben", "eva"]
    assert current.revision == 3


async def test_conflict_of_an_old_revision_lists_later_edits() -> None:
    """Two operators edit one revision; the second would revert the first."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    with pytest.raises(errors.CurrantcartError) as caught:
        await editor(store, "ben").apply(
            changes.create_workspace("shop", LIMITS), base_revision=0
        )
    assert caught.value.code is errors.Code.EDIT_CONFLICT
    assert "revision 1 by ann: workspace mill: created" in caught.value.detail


async def test_unavailable_store_rejects_edits() -> None:
    store = MemoryStore()
    store.down = True
    with pytest.raises(port.StoreUnavailable):
        await editor(store).apply(changes.create_workspace("mill", LIMITS))


@pytest.mark.parametrize(
    "change",
    [
        changes.withdraw_key("none"),
        changes.give_key("none", key="k", key_id="i"),
        changes.set_workspace("none", rate=1, burst=None, importance=None),
    ],
)
async def test_edit_of_a_missing_entry_is_rejected(
    change: edits.Change,
) -> None:
    with pytest.raises(errors.CurrantcartError) as caught:
        await editor(MemoryStore()).apply(change)
    assert caught.value.code is errors.Code.NOT_FOUND


async def test_only_the_digest_of_a_key_is_stored() -> None:
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    await editor(store).apply(
        changes.give_key("mill", key="cck_secret", key_id="k1")
    )
    entry = await store.get(document.STORE_KEY)
    assert b"cck_secret" not in entry.value


async def test_older_document_is_never_applied() -> None:
    """A node after a partition, or a restored store, sends an old revision."""
    state = view.ConfigState()
    for revision, expected in ((5, True), (4, False), (5, False), (6, True)):
        text = document.encode(document.Document(revision=revision))
        assert state.apply(text) is expected
    assert state.revision == 6


def test_invalid_document_is_rejected_and_the_current_one_kept() -> None:
    state = view.ConfigState()
    state.apply(document.encode(document.Document(revision=1)))
    for text in (b"", b"[]", b'{"revision": "x"}', b"\xff"):
        with pytest.raises(errors.SettingsError):
            state.apply(text)
    assert state.revision == 1


async def test_undo_creates_a_new_revision() -> None:
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    await editor(store).apply(
        changes.set_workspace("mill", rate=99, burst=None, importance=None)
    )
    made = await editor(store).apply(changes.undo(2))
    current = await stored(store)
    assert (made.revision, current.workspaces["mill"].rate) == (3, 10)
    await editor(store).apply(changes.undo(3))
    assert (await stored(store)).workspaces["mill"].rate == 99


async def test_undo_of_a_part_changed_since_is_a_conflict() -> None:
    """An operator undoes an edit whose workspace was edited again since."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    change = changes.set_workspace("mill", rate=9, burst=None, importance=None)
    await editor(store, "ben").apply(change)
    with pytest.raises(errors.CurrantcartError, match="revision 2 by ben"):
        await editor(store).apply(changes.undo(1))


async def test_undo_never_restores_a_withdrawn_key() -> None:
    """Undoing a withdrawal would make a leaked key valid again."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    await editor(store).apply(changes.give_key("mill", key="k", key_id="i"))
    await editor(store).apply(changes.withdraw_key("i"))
    with pytest.raises(errors.CurrantcartError, match="edit of keys"):
        await editor(store).apply(changes.undo(3))


async def test_history_stays_within_the_document_size_limit() -> None:
    """Large services texts are applied many times over months."""
    store = MemoryStore()
    text = graph_document.ServicesText.model_validate(
        {"services": {f"s{n}": {"patience_ms": 5 + n} for n in range(300)}}
    )
    for _ in range(document.HISTORY_MAX + 5):
        await editor(store).apply(changes.apply_services(text))
    entry = await store.get(document.STORE_KEY)
    assert len(entry.value) < document.DOCUMENT_BYTES_MAX // 2
    assert len((await stored(store)).history) == document.HISTORY_MAX
