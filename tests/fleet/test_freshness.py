"""Tests how long keys are served and which node polls the store."""

from __future__ import annotations

import itertools

import pytest

from currantcart.fleet import freshness


def test_keys_are_served_only_while_the_version_is_shown_to_be_current() -> (
    None
):
    known = freshness.Freshness()
    known.adopt(7, 1_000.0)
    assert known.may_serve_keys(5_000.0, bound_ms=5_000)
    assert not known.may_serve_keys(5_600.0, bound_ms=5_000)


def test_confirmation_of_another_version_is_ignored() -> None:
    known = freshness.Freshness()
    known.adopt(7, 1_000.0)
    known.confirm(6, 4_000.0)
    known.confirm(8, 4_000.0)
    assert known.as_of == 1_000.0


def test_older_confirmation_is_ignored() -> None:
    known = freshness.Freshness()
    known.adopt(7, 1_000.0)
    known.confirm(7, 900.0)
    assert known.as_of == 1_000.0


def test_the_first_rank_polls_steadily_and_the_others_wait() -> None:
    due = freshness.poll_due
    assert due(now=10_000, as_of=9_500, last_poll=9_300, rank=0)
    assert not due(now=10_000, as_of=9_500, last_poll=9_500, rank=0)
    assert not due(now=10_000, as_of=9_500, last_poll=0, rank=1)


def test_other_ranks_poll_when_the_first_one_fails() -> None:
    """The store refuses the polling node and serves the others."""
    due = freshness.poll_due
    assert due(now=10_000, as_of=8_700, last_poll=0, rank=1)
    assert due(now=10_000, as_of=8_200, last_poll=0, rank=11)


def test_the_node_that_succeeded_keeps_polling_whatever_its_rank() -> None:
    """The store serves only a few nodes of a large fleet."""
    assert due_after(1_300, rank=90, is_reader=True)
    assert not due_after(1_300, rank=90)


def test_a_node_whose_reads_fail_polls_less_often() -> None:
    """Guards against all nodes polling an unavailable store at full rate."""
    assert due_after(9_000, rank=2, polled=800)
    assert not due_after(9_000, rank=2, polled=800, failing=True)
    assert due_after(9_000, rank=0, polled=800, failing=True)
    assert due_after(9_000, rank=2, polled=2_100, failing=True)


def due_after(
    age: float,
    *,
    rank: int,
    polled: float = 60_000.0,
    is_reader: bool = False,
    failing: bool = False,
) -> bool:
    """Returns whether a node with a configuration of some age polls."""
    return freshness.poll_due(
        now=100_000.0,
        as_of=100_000.0 - age,
        last_poll=100_000.0 - polled,
        rank=rank,
        is_reader=is_reader,
        failing=failing,
    )


def test_later_ranks_poll_an_unavailable_store_one_by_one() -> None:
    ages = [freshness.take_over_age_ms(rank) for rank in range(200)]
    assert ages == sorted(ages)
    later = [
        age_ms for age_ms in ages if age_ms > freshness.take_over_age_ms(11)
    ]
    gaps = [after - before for before, after in itertools.pairwise(later)]
    assert min(gaps) >= 100


@pytest.mark.parametrize(
    ("rank", "waited", "due"),
    [(0, 0, True), (1, 0, True), (5, 200, False), (5, 240, True),
     (900, 1_400, False), (900, 1_500, True)],
)  # fmt: skip
def test_without_a_configuration_the_first_rank_polls_first(
    rank: int, waited: float, due: bool
) -> None:
    assert due == freshness.first_poll_due(
        now=5_000.0 + waited,
        peers_listed_at=5_000.0,
        last_poll=freshness.NEVER,
        rank=rank,
    )
