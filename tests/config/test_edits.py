"""Edits of the configuration, with races and lost answers."""

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
    """The store writes and its answer is lost."""
    store = MemoryStore()
    store.lose_answers = 1
    made = await editor(store).apply(changes.create_workspace("mill", LIMITS))
    assert made.revision == 1
    assert (await stored(store)).revision == 1


async def test_racing_edits_both_count() -> None:
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


async def test_edit_of_an_old_revision_is_told_what_changed() -> None:
    """Two operators edit the same text; the later would undo the earlier."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    with pytest.raises(errors.CurrantcartError) as caught:
        await editor(store, "ben").apply(
            changes.create_workspace("shop", LIMITS), base_revision=0
        )
    assert caught.value.code is errors.Code.EDIT_CONFLICT
    assert "revision 1 by ann: workspace mill: created" in caught.value.detail


async def test_store_that_is_down_accepts_nothing() -> None:
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
async def test_edit_of_what_is_not_there_is_refused(
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


async def test_older_document_never_comes_into_force() -> None:
    """A node that was cut off, or a restored store, brings an old revision."""
    state = view.ConfigState()
    for revision, expected in ((5, True), (4, False), (5, False), (6, True)):
        text = document.encode(document.Document(revision=revision))
        assert state.offer(text) is expected
    assert state.revision == 6


def test_broken_document_is_refused_and_the_last_one_stays() -> None:
    state = view.ConfigState()
    state.offer(document.encode(document.Document(revision=1)))
    for text in (b"", b"[]", b'{"revision": "x"}', b"\xff"):
        with pytest.raises(errors.SettingsError):
            state.offer(text)
    assert state.revision == 1


async def test_change_is_undone_as_a_new_revision() -> None:
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


async def test_undo_of_what_changed_since_is_a_conflict() -> None:
    """An operator undoes a change that another one has built upon."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    change = changes.set_workspace("mill", rate=9, burst=None, importance=None)
    await editor(store, "ben").apply(change)
    with pytest.raises(errors.CurrantcartError, match="revision 2 by ben"):
        await editor(store).apply(changes.undo(1))


async def test_withdrawn_key_is_never_given_again() -> None:
    """Undoing a withdrawal would bring back a key that leaked."""
    store = MemoryStore()
    await editor(store).apply(changes.create_workspace("mill", LIMITS))
    await editor(store).apply(changes.give_key("mill", key="k", key_id="i"))
    await editor(store).apply(changes.withdraw_key("i"))
    with pytest.raises(errors.CurrantcartError, match="edit of keys"):
        await editor(store).apply(changes.undo(3))


async def test_history_never_outgrows_the_store() -> None:
    """Large services texts are applied for months."""
    store = MemoryStore()
    text = graph_document.ServicesText.model_validate(
        {"services": {f"s{n}": {"patience_ms": 5 + n} for n in range(300)}}
    )
    for _ in range(document.HISTORY_MAX + 5):
        await editor(store).apply(changes.apply_services(text))
    entry = await store.get(document.STORE_KEY)
    assert len(entry.value) < document.DOCUMENT_BYTES_MAX // 2
    assert len((await stored(store)).history) == document.HISTORY_MAX
