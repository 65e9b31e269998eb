"""Tests of rate and burst over all nodes, with loans, losses, replacements."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import checkers
from currantcart.workspace import limiter, model, share

NODES = 3
RATE, BURST = 60.0, 9.0
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.floats(0, 300)),
        st.tuples(st.just("call"), st.integers(0, NODES - 1)),
        st.tuples(
            st.just("ask"),
            st.integers(0, NODES - 1),
            st.integers(0, NODES - 1),
            st.floats(0, 20),
        ),
        st.tuples(st.just("arrive"), st.integers(0, 5)),
        st.tuples(st.just("lose"), st.integers(0, 5)),
        st.tuples(st.just("replace"), st.integers(0, NODES - 1)),
    ),
    max_size=150,
)


@dataclasses.dataclass
class Loan:
    """A loan in transit."""

    borrower: int
    amount: float
    asked_ms: float


class Fleet:
    """Shares of three nodes, and loans that may be delayed or lost."""

    def __init__(self) -> None:
        self.now = 0.0
        self.shares = [self.new_share() for _ in range(NODES)]
        self.in_transit: list[Loan] = []
        self.admitted: list[float] = []

    def new_share(self) -> share.Share:
        return share.Share(rate=RATE / NODES, burst=BURST / NODES, now=self.now)

    def step(self, kind: str, *values: Any) -> None:
        if kind == "pass":
            self.now += values[0]
        elif kind == "call":
            self.shares[values[0]].count_demand(self.now)
            if self.shares[values[0]].take(self.now):
                self.admitted.append(self.now)
        elif kind == "ask":
            borrower, lender, amount = values
            if borrower != lender:
                lent = self.shares[lender].lend(amount, self.now)
                self.in_transit.append(Loan(borrower, lent, self.now))
        elif kind == "replace":
            self.shares[values[0]] = self.new_share()
        elif self.in_transit:
            loan = self.in_transit.pop(values[0] % len(self.in_transit))
            if kind == "arrive":
                self.shares[loan.borrower].borrow(
                    loan.amount, asked_ms=loan.asked_ms
                )


def violations_of(steps: list[tuple[Any, ...]]) -> list[str]:
    fleet = Fleet()
    for step in steps:
        fleet.step(*step)
    return checkers.rate_is_kept(fleet.admitted, rate=RATE, burst=BURST)


@given(STEPS)
def test_fleet_never_exceeds_rate_and_burst(
    steps: list[tuple[Any, ...]],
) -> None:
    """Loans are delayed or lost, and lenders are replaced."""
    assert violations_of(steps) == []


REPEATED_LOANS: list[tuple[Any, ...]] = [
    ("pass", 1_000),
    *[("ask", 0, 1, 9.0), ("arrive", 0), ("pass", 0.4 * share.LOAN_MS)] * 2,
    *[("call", n) for n in (0, 1, 2) for _ in range(20)],
]


def test_checker_finds_a_loan_that_is_not_held_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A lender that refills at once increases the burst with each loan."""
    assert violations_of(REPEATED_LOANS) == []

    def lend_without_holding_back(
        self: share.Share, amount: float, now: float
    ) -> float:
        self.refill(now)
        lent = min(amount, self.tokens)
        self.tokens -= lent
        return lent

    monkeypatch.setattr(share.Share, "lend", lend_without_holding_back)
    assert violations_of(REPEATED_LOANS) != []


def test_late_loan_has_no_value() -> None:
    """Guards against a delayed loan that its lender counts again as well."""
    node_share = share.Share(rate=0, burst=0, now=0.0)
    node_share.borrow(5.0, asked_ms=0.0)
    assert not node_share.take(share.LOAN_MS)


def test_lender_keeps_what_it_needs_soon() -> None:
    node_share = share.Share(rate=1_000, burst=10, now=0.0)
    for _ in range(25):
        node_share.count_demand(1_000.0)
    assert node_share.lend(100.0, 1_000.0) == pytest.approx(5.0)


@pytest.mark.parametrize("amount", [-1.0, 0.0, float("nan")])
def test_invalid_amount_lends_nothing(amount: float) -> None:
    node_share = share.Share(rate=1_000, burst=10, now=0.0)
    assert node_share.lend(amount, 1_000.0) == 0.0
    assert node_share.tokens == 10


def test_smaller_limits_apply_at_once() -> None:
    limits = limiter.RateLimiter(fleet_instances=1)
    limits.configure([model.Workspace("mill", 10, 100)], 0.0)
    node_share = limits.shares["mill"]
    node_share.refill(20_000.0)
    limits.configure([model.Workspace("mill", 10, 2)], 20_000.0)
    assert [node_share.take(20_000.0) for _ in range(3)] == [True, True, False]
    assert limits.shares["mill"] is node_share


def test_clock_that_runs_backwards_adds_no_tokens() -> None:
    node_share = share.Share(rate=1_000, burst=1, now=0.0)
    assert node_share.take(10.0)
    assert not node_share.take(5.0)
    assert not node_share.take(10.0)
