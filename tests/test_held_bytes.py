"""Bodies that a node holds, against its memory."""

from __future__ import annotations

import pytest

from currantcart import held_bytes

MEMORY_MB = 200
"""Memory of most instances of the large deployments."""
BODY_BYTES_MAX = 64 * held_bytes.MIB
"""Largest body of a request that the deployments allow."""


@pytest.fixture
def held() -> held_bytes.HeldBytes:
    return held_bytes.HeldBytes(MEMORY_MB)


@pytest.mark.parametrize("memory_mb", [200, 300, 552])
def test_the_copies_of_all_bodies_fit_into_the_memory(memory_mb: int) -> None:
    limit = held_bytes.HeldBytes(memory_mb).limit
    used = held_bytes.PROCESS_BYTES + held_bytes.COPIES * limit
    assert used <= memory_mb * held_bytes.MIB


def test_the_largest_body_of_a_request_fits(
    held: held_bytes.HeldBytes,
) -> None:
    assert held.reserve(BODY_BYTES_MAX)
    assert not held.reserve(BODY_BYTES_MAX)
    held.release(BODY_BYTES_MAX)
    assert held.reserve(BODY_BYTES_MAX)


def test_requests_leave_room_for_answers(held: held_bytes.HeldBytes) -> None:
    """Guards against answers that are lost since uploads use the memory."""
    while held.reserve(held_bytes.MIB):
        pass
    assert held.reserve_answer(3 * held_bytes.MIB, so_far=0)
    assert not held.reserve_answer(3 * held_bytes.MIB, so_far=0)


def test_a_small_answer_always_finds_room(held: held_bytes.HeldBytes) -> None:
    held.hold(held.limit)
    assert held.reserve_answer(held_bytes.SMALL_ANSWER_BYTES, so_far=0)
    assert not held.reserve_answer(1, so_far=held_bytes.SMALL_ANSWER_BYTES)


def test_one_answer_gets_a_share_only(held: held_bytes.HeldBytes) -> None:
    """Guards against an answer without end that takes the room of others."""
    so_far = 0
    while held.reserve_answer(held_bytes.MIB, so_far=so_far):
        so_far += held_bytes.MIB
    assert 0 < so_far <= held.limit * held_bytes.ANSWER_SHARE
    assert held.reserve_answer(so_far, so_far=0)


def test_a_process_with_little_memory_still_serves() -> None:
    assert held_bytes.HeldBytes(64).limit == held_bytes.LIMIT_MIN
