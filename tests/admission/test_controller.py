"""Tests of admission control, over generated histories and by example."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from currantcart.admission import controller, queue
from currantcart.graph import model as graph_model

CALLS = st.tuples(
    st.just("call"),
    st.sampled_from(["mill", "shop", "inn"]),
    st.integers(0, 3),
    st.floats(5, 500),
)
STEPS = st.lists(
    st.one_of(
        CALLS,
        st.tuples(st.just("finish"), st.floats(1, 50)),
        st.tuples(st.just("pass"), st.floats(0, 100)),
    ),
    max_size=120,
)


def waiting(
    number: int, workspace: str, priority: int, deadline_ms: float
) -> queue.WaitingCall:
    return queue.WaitingCall(str(number), workspace, priority, deadline_ms, 0.0)


class Model:
    """Reference model of the calls that a controller runs and queues."""

    def __init__(self, slots: int) -> None:
        self.admission = controller.AdmissionController(slots=slots, now=0.0)
        self.now = 0.0
        self.running: list[str] = []
        self.open_calls: set[str] = set()

    def drop(self, dropped: Iterable[controller.Dropped]) -> None:
        for each in dropped:
            self.open_calls.remove(each.waiting.call_id)

    def advance(self, elapsed_ms: float) -> None:
        self.now += elapsed_ms
        self.drop(self.admission.expire(self.now))

    def finish(self, latency_ms: float) -> None:
        if self.running:
            self.open_calls.remove(self.running.pop(0))
            released = self.admission.finish(self.now, latency_ms=latency_ms)
            self.running += [call.call_id for call in released.started]
            self.drop(released.dropped)

    def call(
        self, number: int, workspace: str, priority: int, time_left: float
    ) -> None:
        call = waiting(number, workspace, priority, self.now + time_left)
        offer = self.admission.offer(call, self.now)
        if offer.verdict is not controller.Verdict.REFUSE:
            self.open_calls.add(call.call_id)
        if offer.verdict is controller.Verdict.RUN:
            self.running.append(call.call_id)
        assert all(d.waiting.priority <= priority for d in offer.dropped)
        self.drop(offer.dropped)
        if offer.reason is controller.DropReason.QUEUE_FULL:
            assert all(w.priority >= priority for w in self.admission.queue)


@given(STEPS, st.integers(1, 4))
def test_generated_histories_keep_the_invariants(
    steps: list[tuple[Any, ...]], slots: int
) -> None:
    """Each call ends once; bounds and order of importance are kept."""
    model = Model(slots)
    admission = model.admission
    for number, (step, *values) in enumerate(steps):
        if step == "pass":
            model.advance(*values)
        elif step == "finish":
            model.finish(*values)
        else:
            model.call(number, *values)
        assert admission.running == len(model.running) <= slots
        assert admission.queue.size <= admission.capacity
        assert {w.call_id for w in admission.queue} == (
            model.open_calls - set(model.running)
        )


def test_flood_of_one_workspace_leaves_the_others_their_share() -> None:
    """Guards against starvation: one workspace sends ten times the other's."""
    admission = controller.AdmissionController(slots=1, now=0.0)
    admission.offer(waiting(0, "mill", 0, 1e9), 0.0)
    served: collections.Counter[str] = collections.Counter()
    number = 0
    for now in range(200):
        for workspace in ["mill"] * 10 + ["shop"]:
            number += 1
            admission.offer(waiting(number, workspace, 0, 1e9), now)
        released = admission.finish(now, latency_ms=1.0)
        served.update(call.workspace for call in released.started)
    assert abs(served["mill"] - served["shop"]) <= 2


def test_call_that_cannot_finish_in_time_is_refused_before_it_runs() -> None:
    admission = controller.AdmissionController(slots=1, now=0.0)
    admission.offer(waiting(0, "mill", 0, 1e9), 0.0)
    admission.finish(0.0, latency_ms=100.0)
    admission.offer(waiting(1, "mill", 0, 1e9), 0.0)
    offer = admission.offer(waiting(2, "mill", 0, 150.0), 0.0)
    assert offer.reason is controller.DropReason.DEADLINE_UNREACHABLE


def test_shed_level_expires() -> None:
    admission = controller.AdmissionController(slots=1, now=0.0)
    admission.record_shed(9, 0.0)
    admission.record_shed(3, 400.0)
    assert admission.shed_level(499.0) == 9
    assert admission.shed_level(500.0) == 3
    assert admission.shed_level(900.0) == graph_model.NO_SHEDDING
