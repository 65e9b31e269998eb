"""The retry budgets of all nodes together.

Guards against a fleet that sends more retries than its budget: each node
enforces its share locally, and callers move between nodes, nodes restart, and
nodes may not know of each other. Within any window, all nodes together may send
at most ratio x requests plus a fixed number (the slack) of retries, whatever
each node knows of the others.
"""

from __future__ import annotations

import dataclasses
import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from currantcart.call import budget, slack_share

RATIO = 0.2
SLACK = 48
STEP_MS = 250.0
WINDOW_STEPS = 40
WINDOW_MS = WINDOW_STEPS * STEP_MS
HALF_STEPS = WINDOW_STEPS // 2
START_MS = 1_000_000.0
ALL = "all"


class Node:
    """One process with its budget and the nodes that it knows of."""

    def __init__(self, now: float, known: int) -> None:
        self.known = known
        self.budget = budget.RetryBudget(
            ratio=RATIO, slack=SLACK, window_ms=WINDOW_MS
        )
        self.slack = slack_share.SlackShare(window_ms=WINDOW_MS, started_at=now)
        self.slack.observe_nodes(known, now)

    def send_retries(self, now: float, wanted: int) -> int:
        self.slack.observe_nodes(self.known, now)
        share = self.slack.share(now)
        taken = 0
        while taken < wanted and self.budget.take(now, share=share):
            taken += 1
        return taken


@dataclasses.dataclass
class Fleet:
    """Nodes, and the requests and retries that they sent in each step.

    Attributes:
      size: Nodes that are there at the start.
      step: Current step.
      requests: Requests of all nodes, by step.
      repeats: Retries that all nodes sent, by step.
    """

    size: int
    step: int = 0
    requests: list[int] = dataclasses.field(default_factory=list)
    repeats: list[int] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = [Node(self.now, self.size) for _ in range(self.size)]
        self.requests, self.repeats = [0], [0]

    @property
    def now(self) -> float:
        return START_MS + self.step * STEP_MS

    def nodes_of(self, group: str) -> list[Node]:
        half = max(1, self.size // 2)
        return {
            ALL: self.nodes,
            "one": self.nodes[:1],
            "first": self.nodes[:half],
            "second": self.nodes[half:],
        }[group]

    def advance(self, steps: int) -> None:
        """Advances the time; every node observes the nodes that it knows of."""
        for _ in range(steps):
            self.step += 1
            self.requests.append(0)
            self.repeats.append(0)
            for node in self.nodes:
                node.slack.observe_nodes(node.known, self.now)

    def ask(self, group: str, count: int) -> None:
        """Sends some requests to each node of a group."""
        for node in self.nodes_of(group):
            for _ in range(count):
                node.budget.count_request(self.now)
            self.requests[-1] += count

    def repeat(self, group: str, wanted: int) -> None:
        """Lets each node of a group send as many retries as it may."""
        for node in self.nodes_of(group):
            self.repeats[-1] += node.send_retries(self.now, wanted)

    def restart(self, group: str) -> None:
        """Restarts the processes of a group; they know of no node yet."""
        restarted = self.nodes_of(group)
        self.nodes = [
            Node(self.now, 0) if node in restarted else node
            for node in self.nodes
        ]

    def cut(self, group: str) -> None:
        """Partitions the nodes of a group: each knows only of itself.

        A node that the store has never listed the others to still knows of
        none.
        """
        for node in self.nodes_of(group):
            node.known = min(node.known, 1)

    def heal(self) -> None:
        """Ends all partitions: every node knows of all."""
        for node in self.nodes:
            node.known = len(self.nodes)

    def grow(self) -> None:
        """Adds a fifth more nodes, which the others don't know of yet."""
        for _ in range(max(1, self.size // 5)):
            self.nodes.append(Node(self.now, 0))

    def shrink(self) -> None:
        """Removes a third of the nodes."""
        del self.nodes[-max(1, len(self.nodes) // 3) :]
        self.heal()

    def excess(self) -> float:
        """Returns by how many retries the worst window exceeds its budget."""
        asked = [0, *itertools.accumulate(self.requests)]
        sent = [0, *itertools.accumulate(self.repeats)]

        def total(sums: list[int], start: int, end: int) -> int:
            last = len(sums) - 1
            return sums[min(max(end, 0), last)] - sums[min(max(start, 0), last)]

        worst = -float("inf")
        for start in range(len(self.repeats)):
            end = start + WINDOW_STEPS
            most = max(
                total(asked, start, end),
                total(asked, start - WINDOW_STEPS, start),
                total(asked, start - HALF_STEPS, start + HALF_STEPS),
            )
            allowed = RATIO * most + SLACK
            worst = max(worst, total(sent, start, end) - allowed)
        return worst


def test_callers_that_move_between_nodes_do_not_raise_the_budget() -> None:
    """Requests shift from one half of the nodes to the other, and back.

    If each node used the larger of its last two windows, the sum over all nodes
    would count the same callers twice.
    """
    fleet = Fleet(12)
    fleet.advance(2 * WINDOW_STEPS)
    quarters = [
        {"first": 125, "second": 0},
        {"first": 0, "second": 25},
        {"first": 0, "second": 100},
        {"first": 100, "second": 0},
    ]
    for quarter in quarters:
        for _ in range(HALF_STEPS):
            fleet.advance(1)
            for group, count in quarter.items():
                fleet.ask(group, count)
    fleet.repeat(ALL, 10_000)
    fleet.advance(WINDOW_STEPS)
    assert fleet.excess() <= 0


def test_a_burst_between_two_windows_does_not_raise_the_budget() -> None:
    """All retries are sent at once, right after a burst of requests.

    The burst lies across two windows. If it counted in full in both, it would
    allow its retries twice.
    """
    fleet = Fleet(12)
    for step in range(4 * WINDOW_STEPS):
        fleet.advance(1)
        if abs(step - 2 * WINDOW_STEPS) < HALF_STEPS:
            fleet.ask(ALL, 20)
        if step == 2 * WINDOW_STEPS + HALF_STEPS:
            fleet.repeat(ALL, 10_000)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("size", [12, 16, 89, 300])
def test_partitioned_nodes_do_not_each_use_the_fixed_number(
    size: int,
) -> None:
    """All nodes are partitioned at once.

    A node that knows only of itself would use the full fixed number.
    """
    fleet = Fleet(size)
    fleet.advance(WINDOW_STEPS + 1)
    fleet.cut(ALL)
    fleet.repeat(ALL, 1_000)
    fleet.advance(1)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("size", [12, 16, 89, 300])
def test_restarts_do_not_renew_the_fixed_number(size: int) -> None:
    """All processes use up their share and restart, four times in a window.

    A new process does not know which retries its predecessor sent.
    """
    fleet = Fleet(size)
    fleet.advance(WINDOW_STEPS + 1)
    for _ in range(4):
        fleet.repeat(ALL, 1_000)
        fleet.restart(ALL)
        fleet.heal()
        fleet.advance(4)
    assert fleet.excess() <= 0


GROUPS = st.sampled_from([ALL, "one", "first", "second"])
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), GROUPS, st.integers(1, 60)),
        st.tuples(st.just("repeat"), GROUPS, st.integers(1, 120)),
        st.tuples(st.just("advance"), st.integers(1, 25)),
        st.tuples(st.just("restart"), GROUPS),
        st.tuples(st.just("cut"), GROUPS),
        st.tuples(st.sampled_from(["heal", "grow", "shrink"])),
    ),
    min_size=4,
    max_size=40,
)


@pytest.mark.parametrize(
    ("size", "examples"), [(1, 60), (12, 60), (16, 40), (89, 10), (300, 4)]
)
def test_no_history_exceeds_the_budget_of_all_nodes(
    size: int, examples: int
) -> None:
    @hypothesis.settings(max_examples=examples)
    @hypothesis.given(events=EVENTS, lead=st.integers(0, 2 * WINDOW_STEPS))
    def check(events: list[tuple[str, ...]], lead: int) -> None:
        fleet = Fleet(size)
        fleet.advance(lead)
        for name, *arguments in events:
            getattr(fleet, name)(*arguments)
        assert fleet.excess() <= 0

    check()
