"""Tests of max-min shares and of the order of a queue by usage."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from currantcart.admission import fair_share, pressure, slots
from currantcart.workspace import usage


def divide(
    demand: usage.Demand,
    shed: float,
    weights: dict[str, float] | None = None,
) -> fair_share.Shares:
    return fair_share.divide(
        demand,
        weight_of=lambda name: (weights or {}).get(name, 1.0),
        shed=shed,
    )


def test_the_excess_is_shed_from_the_workspace_above_its_share() -> None:
    demand = usage.Demand({"large": 60.0, "b": 20.0, "c": 20.0})
    shares = divide(demand, 0.3)
    assert shares.cap == pytest.approx(30.0)
    assert shares.shed_share("large") == pytest.approx(0.5)
    assert shares.shed_share("b") == shares.shed_share("unknown") == 0.0


def test_shares_are_in_proportion_to_weights() -> None:
    demand = usage.Demand({"a": 60.0, "b": 60.0})
    shares = divide(demand, 0.25, {"a": 2.0, "b": 1.0})
    assert shares.share_of("a") == 60.0
    assert shares.share_of("b") == pytest.approx(30.0)


def test_the_untracked_are_spared_while_the_tracked_are_larger() -> None:
    demand = usage.Demand({"a": 40.0, "b": 30.0, "c": 10.0}, rest=20.0)
    shares = divide(demand, 0.3)
    assert shares.common == 0.0
    assert shares.cap == pytest.approx(20.0)


def test_what_cannot_be_shed_from_the_largest_is_shed_from_all() -> None:
    """Guards against starving the tracked ones if all demand the same."""
    demand = usage.Demand({f"w{n}": 1.2 for n in range(6)}, rest=72.8)
    shares = divide(demand, 0.25)
    assert shares.shed_share("w0") == pytest.approx(0.25, abs=0.02)
    assert shares.shed_share("unknown") == pytest.approx(0.25, abs=0.02)


def test_nothing_known_means_the_same_share_for_all() -> None:
    shares = divide(usage.Demand({}), 0.4)
    assert shares.shed_share("a") == 0.0
    shares = divide(usage.Demand({}, rest=10.0), 0.4)
    assert shares.shed_share("a") == pytest.approx(0.4)


def test_no_workspace_is_shed_entirely() -> None:
    shares = divide(usage.Demand({"a": 1e6, "b": 1.0}), 0.999)
    assert shares.shed_share("a") == fair_share.SHED_SHARE_MAX


@hypothesis.given(
    demands=strategies.lists(
        strategies.floats(0.01, 1e4), min_size=1, max_size=16
    ),
    rest=strategies.floats(0.0, 1e4),
    shed=strategies.floats(0.0, 0.85),
)
def test_what_is_shed_in_total_is_what_has_to_be(
    demands: list[float], rest: float, shed: float
) -> None:
    """Guards the gauge's balance: it assumes that its level is shed."""
    demand = usage.Demand({f"w{n}": x for n, x in enumerate(demands)}, rest)
    shares = divide(demand, shed)
    total = shares.common * rest
    for name, used in demand.by_workspace.items():
        above = max(0.0, used - shares.share_of(name))
        total += above + (used - above) * shares.common
    assert total == pytest.approx(shed * demand.total, rel=1e-6, abs=1e-6)


def shedder(
    reported: dict[int, usage.Demand] | None = None,
) -> pressure.Shedder:
    return pressure.Shedder(
        random.Random(2),
        divider=fair_share.Divider(
            tracked=16,
            reported=lambda _: reported or {},
            weight_of=lambda _: 1.0,
        ),
    )


def shed_counts(
    shed: pressure.Shedder, arrivals: dict[str, int], *, rank: int = 3
) -> dict[str, float]:
    """Returns the shed part by workspace, of interleaved arrivals."""
    rng = random.Random(4)
    names = [name for name, count in arrivals.items() for _ in range(count)]
    rng.shuffle(names)
    counts = dict.fromkeys(arrivals, 0)
    for step, name in enumerate(names):
        counts[name] += bool(
            shed.shed_for(
                route="r",
                service="s",
                rank=rank,
                levels={"s": 0.3},
                now=step * 2.0,
                workspace=name,
            )
        )
    return {name: counts[name] / arrivals[name] for name in arrivals}


def test_without_reports_a_node_uses_what_it_receives() -> None:
    """Guards against shedding by rank if statuses lack the usage."""
    shed = shed_counts(shedder(), {"large": 3_000, "a": 500, "b": 500})
    assert shed["large"] > 0.3
    assert max(shed["a"], shed["b"]) < 0.05


def test_reports_count_more_than_what_one_node_receives() -> None:
    """Guards against shedding the largest of a node far from the surge."""
    reported = {3: usage.Demand({"far": 600.0, "a": 100.0}, rest=300.0)}
    shed = shed_counts(shedder(reported), {"a": 2_000, "b": 1_000})
    assert shed["a"] == shed["b"] == 0.0


def test_importance_stays_first() -> None:
    """Guards against shedding an urgent request of a large workspace."""
    shed = shedder()
    urgent = 0
    rng = random.Random(3)
    for step in range(6_000):
        is_urgent = rng.random() < 0.4
        shed_for = shed.shed_for(
            route="r",
            service="s",
            rank=1 if is_urgent else 5,
            levels={"s": 0.3},
            now=step * 2.0,
            workspace="large" if is_urgent else f"w{step % 20}",
        )
        # The demand by rank is not known at the first requests.
        urgent += step > 500 and is_urgent and bool(shed_for)
    assert urgent == 0


def test_the_state_of_a_divider_is_bounded() -> None:
    divider = shedder().divider
    assert divider is not None
    for number in range(1_000):
        divider.record(f"s{number}", 1, "a", 0.0)
    assert len(divider.own) == fair_share.SERVICES_MAX


def queue(*, fair: bool = True) -> slots.SlotQueue[str]:
    slot_queue: slots.SlotQueue[str] = slots.SlotQueue(fair=fair)
    slot_queue.configure(1)
    return slot_queue


def offer(
    slot_queue: slots.SlotQueue[str],
    workspace: str,
    *,
    item: str = "",
    priority: int = 5,
    weight: float = 1.0,
    now: float = 0.0,
) -> tuple[slots.Verdict, slots.Ticket[str]]:
    return slot_queue.offer(
        item or workspace,
        priority=priority,
        now=now,
        objective_ms=100_000.0,
        expires_at=now + 400_000.0,
        workspace=workspace,
        weight=weight,
    )


def served(slot_queue: slots.SlotQueue[str], running: slots.Ticket[str]) -> str:
    """Serves all that wait; returns the items in order."""
    order = []
    ticket: slots.Ticket[str] | None = running
    while ticket is not None:
        slot_queue.release(ticket, 1.0)
        ticket = slot_queue.start_next(1.0)
        if ticket is not None:
            order.append(ticket.item)
    return "".join(order)


def test_the_workspace_that_used_least_is_next() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "a")
    for name in "aaaabbc":
        offer(slot_queue, name)
    assert served(slot_queue, running) == "bcabaaa"


def test_arrival_decides_if_the_setting_is_off() -> None:
    slot_queue = queue(fair=False)
    _, running = offer(slot_queue, "a")
    for name in "aaaabbc":
        offer(slot_queue, name)
    assert served(slot_queue, running) == "aaaabbc"


def test_arrival_decides_without_workspaces() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "", item="0")
    for item in "123456":
        offer(slot_queue, "", item=item)
    assert served(slot_queue, running) == "123456"


def test_requests_of_a_workspace_stay_in_order() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "a", item="0")
    tickets = [offer(slot_queue, "a", item=item)[1] for item in "12345"]
    tickets[1].wait_until = 0.0
    slot_queue.remove_overdue(0.5)
    offer(slot_queue, "a", item="6")
    assert served(slot_queue, running) == "13456"


def test_more_urgent_requests_go_first_whoever_sends_them() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "large")
    for _ in range(3):
        offer(slot_queue, "large", item="u", priority=2)
    offer(slot_queue, "small", item="s", priority=5)
    assert served(slot_queue, running) == "uuus"


def test_calls_of_targets_are_served_in_order_of_arrival() -> None:
    """Guards against refused calls, whose roots have already run."""
    slot_queue = queue()
    priority = slots.call_priority(5)
    _, running = offer(slot_queue, "a", priority=priority)
    for name in "aaab":
        offer(slot_queue, name, priority=priority)
    assert served(slot_queue, running) == "aaab"


def test_weights_divide_the_slots() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "x")
    for _ in range(40):
        offer(slot_queue, "a", weight=3.0)
        offer(slot_queue, "b", weight=1.0)
    order = served(slot_queue, running)[:40]
    assert order.count("a") == pytest.approx(30, abs=2)


def test_a_workspace_is_not_charged_for_requests_that_were_not_served() -> None:
    """Guards against starving a workspace whose requests became overdue."""
    slot_queue = queue()
    _, running = offer(slot_queue, "a")
    for _ in range(20):
        offer(slot_queue, "a")[1].wait_until = 10.0
    assert len(slot_queue.remove_overdue(20.0)) == 20
    offer(slot_queue, "a", item="A", now=20.0)
    for _ in range(5):
        offer(slot_queue, "b", now=20.0)
    assert served(slot_queue, running).index("A") <= 1


def test_idle_time_earns_nothing() -> None:
    slot_queue = queue()
    now = 0.0
    for _ in range(50):
        _, ticket = offer(slot_queue, "a", now=now)
        slot_queue.release(ticket, now)
    _, running = offer(slot_queue, "a")
    for name in "aabbbb":
        offer(slot_queue, name)
    assert served(slot_queue, running).count("a", 0, 4) >= 1


def test_a_large_workspace_is_refused_before_a_small_one() -> None:
    """Guards against a queue full of one workspace's requests."""
    slot_queue = queue()
    slot_queue.offer(
        "x", priority=5, now=0.0, objective_ms=1e3, expires_at=4e3,
        workspace="a", weight=1.0,
    )  # fmt: skip
    verdicts = []
    for name in "a" * 20 + "b":
        verdict, _ = slot_queue.offer(
            name, priority=5, now=0.0, objective_ms=1e3, expires_at=4e3,
            workspace=name, weight=1.0,
        )  # fmt: skip
        verdicts.append(verdict)
    assert verdicts[-2] is slots.Verdict.REFUSE
    assert verdicts[-1] is slots.Verdict.WAIT


def test_turning_the_setting_off_restores_the_order_of_arrival() -> None:
    slot_queue = queue()
    _, running = offer(slot_queue, "a")
    for name in "aab":
        offer(slot_queue, name)
    slot_queue.use_fair(fair=False)
    assert served(slot_queue, running) == "aab"


def test_the_tags_of_a_priority_are_bounded() -> None:
    """Guards against growth while workspaces come and go."""
    slot_queue = queue()
    for number in range(5_000):
        _, ticket = offer(slot_queue, f"w{number}", now=float(number))
        slot_queue.release(ticket, float(number))
    tags = slot_queue.tags[5]
    assert len(tags.finish) <= fair_share.TAGS_MAX
    assert len(tags.finish_served) <= fair_share.TAGS_MAX


def test_the_priorities_are_bounded() -> None:
    slot_queue = queue()
    for number in range(1, 500):
        _, ticket = offer(slot_queue, "a", priority=number)
        slot_queue.release(ticket, 0.0)
    assert len(slot_queue.tags) <= slots.PRIORITIES_MAX
