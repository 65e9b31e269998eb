"""Tests that retries are divided along a call chain and never created."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from currantcart.call import allowance


@given(
    start=st.integers(0, 10),
    steps=st.lists(
        st.tuples(st.sampled_from(["lend", "back", "lose", "spend"]),
                  st.integers(-5, 50)),
        max_size=40,
    ),
)  # fmt: skip
def test_sum_over_the_chain_never_grows(
    start: int, steps: list[tuple[str, int]]
) -> None:
    """An answer may return any number of retries if the peer is faulty."""
    held = allowance.Allowance(start)
    lent: list[int] = []
    spent = 0
    for step, number in steps:
        if step == "lend":
            lent.append(held.lend())
        elif step == "back" and lent:
            held.give_back(number, lent=lent.pop())
        elif step == "lose" and lent:
            lent.pop()
        elif step == "spend":
            spent += held.spend()
        assert held.remaining >= 0
        assert held.remaining + sum(lent) + spent <= start


def test_first_call_gets_the_larger_half_and_the_rest_stays() -> None:
    held = allowance.Allowance(3)
    assert [held.lend() for _ in range(4)] == [2, 1, 0, 0]


def test_budget_allows_a_ratio_of_first_attempts() -> None:
    budget = allowance.RetryBudget(ratio=0.1, burst=2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.count_first_attempt()
    assert [budget.spend() for _ in range(2)] == [True, False]
