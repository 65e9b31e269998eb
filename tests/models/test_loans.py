"""Every order of questions, loans, spending, delays and restarts of a rate.

Two nodes with the real shares of one workspace. What must hold: over any span
no more than rate x span + burst is spent, whatever is late, lost or repeated,
and whoever dies.
"""

from __future__ import annotations

import dataclasses
import itertools

from currantcart.workspace import share

RATE = 20.0
BURST = 8.0
NODES = 2
STEP_MS = 160.0
DEPTH = 6
EVENTS = (
    "a asks", "b lends", "a hears", "a spends", "b spends", "b restarts",
    "pass",
)  # fmt: skip


@dataclasses.dataclass
class World:
    """Both nodes, and what is on its way between them."""

    counts_from_arrival: bool = False
    starts_full: bool = False
    now: float = 10_000.0
    asked: list[float] = dataclasses.field(default_factory=list)
    given: tuple[float, float] | None = None
    spent: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = {name: self.start() for name in "ab"}
        self.now += 1_000.0

    def start(self) -> share.Share:
        made = share.Share(rate=RATE / NODES, burst=BURST / NODES, now=self.now)
        if self.starts_full:
            made.tokens = made.burst
        return made

    def play(self, event: str) -> None:
        who, _, what = event.partition(" ")
        if what == "asks":
            self.asked.append(self.now)
        elif what == "lends" and self.asked:
            amount = self.nodes[who].lend(BURST / NODES, self.now)
            self.given = (amount, self.asked[-1])
        elif what == "hears" and self.given is not None:
            amount, asked_ms = self.given
            # The node passes over a loan that comes twice.
            self.given = None
            if self.counts_from_arrival:
                asked_ms = self.now
            self.nodes[who].borrow(amount, asked_ms=asked_ms)
        elif what == "spends":
            count = 0
            while self.nodes[who].take(self.now):
                count += 1
            self.spent.append((self.now, count))
        elif what == "restarts":
            self.nodes[who] = self.start()
        elif event == "pass":
            self.now += STEP_MS

    def wrong(self) -> bool:
        for first, (start, _) in enumerate(self.spent):
            total = 0
            for at, count in self.spent[first:]:
                total += count
                if total > RATE * (at - start) / 1_000 + BURST + 1e-6:
                    return True
        return False


def broken(
    *, counts_from_arrival: bool = False, starts_full: bool = False
) -> tuple[str, ...] | None:
    """Returns the first sequence after which too much was spent."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        world = World(counts_from_arrival, starts_full)
        for event in events:
            world.play(event)
        if world.wrong():
            return events
    return None


def test_no_order_of_events_spends_more_than_the_rate_and_the_burst() -> None:
    assert broken() is None


def test_the_search_finds_a_loan_that_counts_from_its_arrival() -> None:
    """A loan is late; its lender has the tokens again as it is spent."""
    found = broken(counts_from_arrival=True)
    assert found is not None
    assert "a hears" in found


def test_the_search_finds_a_node_that_starts_with_its_whole_share() -> None:
    found = broken(starts_full=True)
    assert found is not None
    assert "b restarts" in found
