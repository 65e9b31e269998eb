"""Which request a call belongs to."""

from __future__ import annotations

import pytest

from currantcart.call import lineage


@pytest.mark.parametrize(
    ("request_id", "parent"),
    [("9c4", ""), ("9c4.7b4", "9c4"), ("9c4.7b4.a1", "9c4.7b4"), ("", "")],
)
def test_the_parent_is_all_before_the_last_part(
    request_id: str, parent: str
) -> None:
    assert lineage.parent_id(request_id) == parent


def test_all_nodes_draw_the_same_lot_for_a_root() -> None:
    assert lineage.of_root("9c4", 3) == lineage.of_root("9c4", 3)


def test_lots_are_drawn_evenly() -> None:
    lots = [lineage.of_root(f"{n:016x}", 1).lot or 0.0 for n in range(10_000)]
    for part in range(10):
        within = sum(part / 10 <= lot < (part + 1) / 10 for lot in lots)
        assert 850 < within < 1_150
