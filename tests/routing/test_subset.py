"""Selection of the targets to which a node keeps streams."""

from __future__ import annotations

import collections
from collections.abc import Callable

import pytest

from currantcart.routing import picker, subset

DOMAINS = "abcd"


def targets(count: int) -> list[picker.Target]:
    return [
        picker.Target(f"n{number:03}", "read", DOMAINS[number % 4], ready=True)
        for number in range(count)
    ]


def selected(
    instance: str,
    domain: str,
    known: list[picker.Target],
    *,
    count: int = 12,
    is_usable: Callable[[picker.Target], bool] = lambda target: target.ready,
) -> list[picker.Target]:
    order = subset.ranked(instance, known)
    return subset.select(
        [item for item in order if item.failure_domain == domain],
        [item for item in order if item.failure_domain != domain],
        count=count,
        is_usable=is_usable,
    )


@pytest.mark.parametrize("fleet", [24, 96, 300])
def test_the_number_is_bounded_and_two_thirds_are_near(fleet: int) -> None:
    found = selected("x", "a", targets(fleet))
    near = [item for item in found if item.failure_domain == "a"]
    assert len(found) == 12
    assert len(near) == min(8, fleet // 4)


def test_too_few_far_targets_are_made_up_for_by_near_ones() -> None:
    known = [item for item in targets(80) if item.failure_domain == "a"]
    assert len(selected("x", "a", known)) == 12
    assert len(selected("x", "a", known[:5])) == 5


def test_nodes_select_differently_and_evenly() -> None:
    """Otherwise a few targets would get the calls of all nodes."""
    known = targets(96)
    callers: collections.Counter[str] = collections.Counter()
    for number in range(300):
        for item in selected(f"c{number}", DOMAINS[number % 4], known):
            callers[item.instance] += 1
    mean = 300 * 12 / 96
    assert len(callers) == 96
    assert max(callers.values()) <= 1.6 * mean
    assert min(callers.values()) >= 0.5 * mean


def test_a_target_that_refuses_is_replaced_until_it_comes_back() -> None:
    known = targets(96)
    before = selected("x", "a", known)
    before[0].ready = False
    during = selected("x", "a", known)
    assert {item.instance for item in before} < {
        item.instance for item in during
    }
    assert len(during) == len(before) + 1
    assert sum(item.ready for item in during) == 12
    before[0].ready = True
    assert selected("x", "a", known) == before


def test_a_failure_domain_that_is_lost_is_replaced_by_the_others() -> None:
    known = targets(96)
    for item in known:
        item.ready = item.failure_domain != "a"
    found = selected("x", "a", known)
    assert sum(item.ready for item in found) == 12


def test_a_target_that_joins_changes_few_selections() -> None:
    """Each change opens and closes streams."""
    known = targets(96)
    changed = 0
    for number in range(100):
        name, domain = f"c{number}", DOMAINS[number % 4]
        before = {item.instance for item in selected(name, domain, known[:-1])}
        after = {item.instance for item in selected(name, domain, known)}
        assert len(after - before) <= 1
        changed += after != before
    assert changed <= 40
