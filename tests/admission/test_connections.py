"""How many connections of callers are kept, and which are let go."""

from __future__ import annotations

import pytest

from currantcart.admission import connections


@pytest.mark.parametrize(
    ("descriptors", "peers", "slots", "limit"),
    [(4_100, 12, 209, 3_394), (4_100, 90, 126, 3_404), (512, 90, 209, 64)],
)
def test_callers_get_what_streams_slots_and_files_leave(
    descriptors: int, peers: int, slots: int, limit: int
) -> None:
    assert (
        connections.caller_limit(
            descriptors=descriptors, peers=peers, slots=slots
        )
        == limit
    )


@pytest.mark.parametrize(
    ("opened", "failed", "closes"),
    [
        (399, True, False),
        (400, True, True),
        (749, False, False),
        (750, False, True),
    ],
)
def test_refused_callers_are_sent_on_long_before_the_others(
    opened: int, failed: bool, closes: bool
) -> None:
    bound = connections.ConnectionLimit(1_000)
    assert bound.closes_after(opened=opened, failed=failed) is closes


def test_idle_connections_go_down_to_where_answers_close() -> None:
    bound = connections.ConnectionLimit(1_000)
    assert bound.surplus(750) == 0
    assert bound.surplus(800) == 50
    assert not bound.is_full(1_000)
    assert bound.is_full(1_001)
