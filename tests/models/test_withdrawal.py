"""Every order of polls, messages and pauses around a withdrawn key.

Guards against a node that still admits a withdrawn key: it may be partitioned
or suspended, or receive an outdated message that confirms its old version. An
exhaustive search runs all sequences of a few events on two nodes and a store,
with the real freshness. Neither node may admit a request with the withdrawn key
that was sent more than the bound after the withdrawal, whatever is partitioned,
suspended, late or lost.
"""

from __future__ import annotations

import dataclasses
import itertools

from currantcart.fleet import freshness

BOUND_MS = 5_000.0
STEP_MS = 1_400.0
DEPTH = 6
EVENTS = (
    "a polls", "b polls", "a tells", "b tells", "held told", "pass",
)  # fmt: skip


@dataclasses.dataclass
class World:
    """The store and both nodes.

    Attributes:
      counts_from_answer: Fault: a poll's result counts as of its answer.
      now: Current time, in ms.
      store_version: Newest version in the store.
      withdrawn_at: When the key was withdrawn.
      nodes: Freshness of each node, by name.
      delayed: Receiver, version and time of a message that may come again.
    """

    counts_from_answer: bool = False
    now: float = 10_000.0
    store_version: int = 1
    withdrawn_at: float = float("inf")
    nodes: dict[str, freshness.Freshness] = dataclasses.field(
        default_factory=dict
    )
    delayed: tuple[str, int, float] | None = None

    def __post_init__(self) -> None:
        for name in "ab":
            self.nodes[name] = freshness.Freshness(1, self.now)

    def apply_event(self, event: str) -> None:
        who, _, what = event.partition(" ")
        if what == "polls":
            # The answer arrives a step after the request, and was true at
            # some time in between.
            asked_at, version = self.now, self.store_version
            self.now += STEP_MS
            as_of = self.now if self.counts_from_answer else asked_at
            self.handle_version(who, version, as_of)
        elif what == "tells":
            known = self.nodes[who]
            other = "b" if who == "a" else "a"
            self.handle_version(other, known.version, known.as_of)
            # A duplicate of the message may arrive much later.
            self.delayed = (other, known.version, known.as_of)
        elif event == "held told" and self.delayed is not None:
            self.handle_version(*self.delayed)
        else:
            self.now += STEP_MS

    def handle_version(self, who: str, version: int, as_of: float) -> None:
        known = self.nodes[who]
        if version > known.version:
            known.adopt(version, as_of)
        else:
            known.confirm(version, as_of)

    def serves_withdrawn_key(self) -> bool:
        late = self.now - self.withdrawn_at > BOUND_MS
        return late and any(
            known.version == 1
            and known.may_serve_keys(self.now, bound_ms=BOUND_MS)
            for known in self.nodes.values()
        )


def find_violation(*, counts_from_answer: bool) -> tuple[str, ...] | None:
    """Returns the first sequence after which a withdrawn key is admitted."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        for withdrawn_before in range(3):
            world = World(counts_from_answer)
            for number, event in enumerate(events):
                if number == withdrawn_before:
                    # The worst case: while a poll's answer is in transit.
                    world.withdrawn_at = world.now
                    if event.endswith("polls"):
                        world.apply_event(event)
                        world.store_version = 2
                        continue
                    world.store_version = 2
                world.apply_event(event)
                if world.serves_withdrawn_key():
                    return events
    return None


def test_no_order_of_events_admits_a_withdrawn_key_past_the_bound() -> None:
    assert find_violation(counts_from_answer=False) is None


def test_search_finds_a_freshness_that_counts_from_the_answer() -> None:
    """Shows that the search can fail.

    The key may be withdrawn between the store's read and its answer.
    """
    assert find_violation(counts_from_answer=True) is not None
