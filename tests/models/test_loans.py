"""Every order of token requests, loans, spending, delays and restarts.

Guards against a workspace that exceeds its rate: a late loan, or a restarted
node, could spend tokens that another node has too. An exhaustive search runs
all sequences of a few events on the real shares of two nodes. Over any span, at
most rate x span + burst may be spent, whichever messages are late, lost or
duplicated and whichever node restarts.
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
    """Both nodes, and the messages in transit between them.

    Attributes:
      counts_from_arrival: Fault: a loan's validity starts when it arrives.
      starts_full: Fault: a node starts with its full share of the burst.
      now: Current time, in ms.
      requested_at: When node a has requested a loan.
      loan: Amount and request time of the loan in transit.
      spent: Times, with the tokens spent at each.
    """

    counts_from_arrival: bool = False
    starts_full: bool = False
    now: float = 10_000.0
    requested_at: list[float] = dataclasses.field(default_factory=list)
    loan: tuple[float, float] | None = None
    spent: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = {name: self.start() for name in "ab"}
        self.now += 1_000.0

    def start(self) -> share.Share:
        started = share.Share(
            rate=RATE / NODES, burst=BURST / NODES, now=self.now
        )
        if self.starts_full:
            started.tokens = started.burst
        return started

    def apply_event(self, event: str) -> None:
        who, _, what = event.partition(" ")
        if what == "asks":
            self.requested_at.append(self.now)
        elif what == "lends" and self.requested_at:
            amount = self.nodes[who].lend(BURST / NODES, self.now)
            self.loan = (amount, self.requested_at[-1])
        elif what == "hears" and self.loan is not None:
            amount, asked_ms = self.loan
            # A node discards a duplicate loan.
            self.loan = None
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

    def exceeds_rate(self) -> bool:
        for first, (start, _) in enumerate(self.spent):
            total = 0
            for at, count in self.spent[first:]:
                total += count
                if total > RATE * (at - start) / 1_000 + BURST + 1e-6:
                    return True
        return False


def find_violation(
    *, counts_from_arrival: bool = False, starts_full: bool = False
) -> tuple[str, ...] | None:
    """Returns the first sequence after which too much was spent."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        world = World(counts_from_arrival, starts_full)
        for event in events:
            world.apply_event(event)
        if world.exceeds_rate():
            return events
    return None


def test_no_order_of_events_exceeds_the_rate_and_the_burst() -> None:
    assert find_violation() is None


def test_search_finds_a_loan_that_is_valid_from_its_arrival() -> None:
    """Shows that the search can fail.

    A loan arrives late, and the borrower counts its validity from the arrival.
    The lender has its tokens back by the time the borrower spends them.
    """
    found = find_violation(counts_from_arrival=True)
    assert found is not None
    assert "a hears" in found


def test_search_finds_a_node_that_starts_with_its_full_share() -> None:
    """Shows that the search can fail.

    Each restart would give the node the tokens that it has already spent.
    """
    found = find_violation(starts_full=True)
    assert found is not None
    assert "b restarts" in found
