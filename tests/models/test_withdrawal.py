"""Every order of polls, messages, cuts and freezes around a withdrawn key.

Two nodes and a store, with the real freshness. What must hold: no request
that was sent more than the bound after the withdrawal is admitted with the
withdrawn key, on either node, whatever is cut, frozen, late or lost.
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
    """The store and both nodes; each event takes some time."""

    counts_from_answer: bool = False
    now: float = 10_000.0
    store_version: int = 1
    withdrawn_at: float = float("inf")
    nodes: dict[str, freshness.Freshness] = dataclasses.field(
        default_factory=dict
    )
    held: tuple[str, int, float] | None = None

    def __post_init__(self) -> None:
        for name in "ab":
            self.nodes[name] = freshness.Freshness(1, self.now)

    def play(self, event: str) -> None:
        who, _, what = event.partition(" ")
        if what == "polls":
            # The answer comes a step after the question; what it says was
            # true at some time in between.
            asked_at, version = self.now, self.store_version
            self.now += STEP_MS
            as_of = self.now if self.counts_from_answer else asked_at
            self.hear(who, version, as_of)
        elif what == "tells":
            known = self.nodes[who]
            other = "b" if who == "a" else "a"
            self.hear(other, known.version, known.as_of)
            # The same word may come again, much later.
            self.held = (other, known.version, known.as_of)
        elif event == "held told" and self.held is not None:
            self.hear(*self.held)
        else:
            self.now += STEP_MS

    def hear(self, who: str, version: int, as_of: float) -> None:
        known = self.nodes[who]
        if version > known.version:
            known.adopt(version, as_of)
        else:
            known.confirm(version, as_of)

    def wrong(self) -> bool:
        late = self.now - self.withdrawn_at > BOUND_MS
        return late and any(
            known.version == 1
            and known.may_serve_keys(self.now, bound_ms=BOUND_MS)
            for known in self.nodes.values()
        )


def broken(*, counts_from_answer: bool) -> tuple[str, ...] | None:
    """Returns the first sequence after which a withdrawn key is served."""
    for events in itertools.product(EVENTS, repeat=DEPTH):
        for withdrawn_before in range(3):
            world = World(counts_from_answer)
            for number, event in enumerate(events):
                if number == withdrawn_before:
                    # As the poll's answer is on its way, at the worst.
                    world.withdrawn_at = world.now
                    if event.endswith("polls"):
                        world.play(event)
                        world.store_version = 2
                        continue
                    world.store_version = 2
                world.play(event)
                if world.wrong():
                    return events
    return None


def test_no_order_of_events_serves_a_withdrawn_key_past_the_bound() -> None:
    assert broken(counts_from_answer=False) is None


def test_the_search_finds_a_freshness_that_counts_from_the_answer() -> None:
    assert broken(counts_from_answer=True) is not None
