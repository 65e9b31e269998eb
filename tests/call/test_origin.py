"""Whether a request comes from a caller or from the local target."""

from __future__ import annotations

import math

import pytest

from currantcart.call import origin


@pytest.mark.parametrize(
    ("expires_at", "has_parent", "at_work", "expected"),
    [
        (math.inf, True, [1_000.0], origin.Origin.TARGET),
        (1_000.0, False, [1_000.0], origin.Origin.UNCLEAR),
        (1_200.0, False, [500.0, 1_000.0], origin.Origin.UNCLEAR),
        (1_300.0, False, [500.0, 1_000.0], origin.Origin.CALLER),
        (math.inf, False, [1_000.0], origin.Origin.CALLER),
        (1_000.0, False, [], origin.Origin.CALLER),
    ],
)
def test_origin(
    expires_at: float,
    has_parent: bool,
    at_work: list[float],
    expected: origin.Origin,
) -> None:
    found = origin.of(
        expires_at=expires_at, has_parent=has_parent, at_work=at_work
    )
    assert found is expected
