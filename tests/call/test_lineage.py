"""Tests which request a call belongs to."""

from __future__ import annotations

import pytest

from currantcart.call import lineage


@pytest.mark.parametrize(
    ("request_id", "parent"),
    [("9c4", ""), ("9c4.7b4", "9c4"), ("9c4.7b4.a1", "9c4.7b4"), ("", "")],
)
def test_parent_id_is_everything_before_the_last_part(
    request_id: str, parent: str
) -> None:
    assert lineage.parent_id(request_id) == parent
