"""Tests of the order of evacuations."""

from __future__ import annotations

from currantcart.fleet import evacuation


def test_a_change_names_what_was_evacuated_and_restored() -> None:
    known = evacuation.Evacuations()
    assert known.adopt(["a", "b"], 5) == evacuation.Change(("a", "b"), (), 5)
    assert known.adopt(["b", "c"], 9) == evacuation.Change(("c",), ("a",), 9)


def test_the_same_domains_at_a_later_revision_are_no_change() -> None:
    known = evacuation.Evacuations()
    known.adopt(["a"], 5)
    assert known.adopt(["a"], 7) is None
    assert known.revision == 7


def test_an_older_state_never_replaces_a_newer_one() -> None:
    known = evacuation.Evacuations()
    known.adopt([], 8)
    assert known.adopt(["a"], 5) is None
    assert known.domains == frozenset()
    assert known.is_outdated(["a"], 5)
    assert not known.is_outdated([], 5)
