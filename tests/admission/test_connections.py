"""Tests of the limit on caller connections."""

from __future__ import annotations

import pytest

from currantcart.admission import connections


@pytest.mark.parametrize(
    ("descriptors", "peers", "slots", "limit"),
    [(4_100, 12, 209, 3_394), (4_100, 90, 126, 3_404), (512, 90, 209, 64)],
)
def test_caller_limit_leaves_room_for_streams_slots_and_files(
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
def test_failed_responses_close_connections_earlier_than_others(
    opened: int, failed: bool, closes: bool
) -> None:
    connection_limit = connections.ConnectionLimit(1_000)
    assert connection_limit.closes_after(opened=opened, failed=failed) is closes


def test_idle_connections_above_the_closing_share_are_surplus() -> None:
    connection_limit = connections.ConnectionLimit(1_000)
    assert connection_limit.surplus(750) == 0
    assert connection_limit.surplus(800) == 50
    assert not connection_limit.is_full(1_000)
    assert connection_limit.is_full(1_001)
