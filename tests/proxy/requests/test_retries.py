"""Retry decisions of a node, and their log lines and metrics."""

from __future__ import annotations

import asyncio
import collections

import msgspec
import pytest

from bench.standins import http_target
from currantcart.telemetry import exposition, timeline
from tests.fakes import mesh as fake_mesh


async def ask_rejecting_targets(
    mesh: fake_mesh.Mesh, *, requests: int
) -> fake_mesh.Place:
    """Sends requests to a service whose targets reject all of them."""
    front = await mesh.add("a", service="other")
    for name in "bc":
        place = await mesh.add(name)
        place.target.script = http_target.not_executed
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    for number in range(requests):
        await mesh.ask(front, fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.1)
    return front


def decisions(mesh: fake_mesh.Mesh, event: str) -> list[timeline.Line]:
    lines = filter(None, map(timeline.parse, mesh.lines))
    return [line for line in lines if line.event == event]


async def test_retry_decisions_are_logged_with_the_state_of_the_budget(
    mesh: fake_mesh.Mesh,
) -> None:
    await ask_rejecting_targets(mesh, requests=60)
    taken, refused = (
        decisions(mesh, "tried_again"),
        decisions(mesh, "repeat_refused"),
    )
    assert len(taken) + len(refused) == 60
    assert refused[-1].values["service"] == "grades"
    assert refused[-1].values["cause"] == "target_503"
    assert float(refused[-1].values["left"]) < 1
    assert int(refused[-1].values["repeats"]) == len(taken)
    assert int(refused[-1].values["requests"]) == 60
    assert refused[-1].values["nodes"] == "3"


async def test_the_metrics_report_the_budget_of_each_service(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await ask_rejecting_targets(mesh, requests=60)
    taken = len(decisions(mesh, "tried_again"))
    text = exposition.render(front.node.context.counts).decode()
    labels = '{service="grades"}'
    causes = '{cause="target_503",service="grades"}'
    assert f"currantcart_budgeted_requests_total{labels} 60.0" in text
    assert f"currantcart_repeats_total{causes} {taken}.0" in text
    assert f"currantcart_repeats_refused_total{causes} {60 - taken}.0" in text
    assert f"currantcart_retry_budget_requests{labels} 60.0" in text
    assert f"currantcart_retry_budget_repeats{labels} {taken}.0" in text
    assert f"currantcart_retry_budget_left{labels} 0." in text
    assert f"currantcart_retry_budget_share{labels} 0.33" in text
    assert "currantcart_retry_budget_nodes 3.0" in text
    assert "currantcart_retry_budget_nodes_age_seconds" in text


def arrivals(mesh: fake_mesh.Mesh, prefix: str) -> collections.Counter[str]:
    """Returns how often each request arrived at any target, by id."""
    return collections.Counter(
        seen.request_id
        for place in mesh.places.values()
        for seen in place.target.seen
        if seen.request_id.startswith(prefix)
    )


async def test_calls_made_by_retries_stay_within_the_retry_budget(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against calls that exceed the retry budget of their service.

    Calls made by a retried request were counted as first requests.
    """
    far = await mesh.repeated_run("9c4")
    for place in mesh.places.values():
        place.target.script = http_target.sealed
    replies = await asyncio.gather(
        *(
            mesh.ask(
                far,
                fake_mesh.request(
                    "/inner/1", request_id=f"9c4.{number}", key=None
                ),
            )
            for number in range(200)
        )
    )
    bounds = far.settings.bounds
    assert len(arrivals(mesh, "9c4.")) <= bounds.retry_slack
    assert {reply.status for reply in replies} <= {200, 503}
    assert all(
        "retry-after" in reply.headers
        for reply in replies
        if reply.status == 503
    )


async def test_changed_bounds_do_not_renew_a_retry_budget(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a reload of settings that resets the retry budgets."""
    front = await mesh.add("a", service="other")
    for name in "bc":
        place = await mesh.add(name)
        place.target.script = http_target.not_executed
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    for number in range(200):
        request_id = f"r{number}"
        await mesh.ask(front, fake_mesh.request(request_id=request_id))
        if number % 10 == 9:
            before = front.node.context.settings
            bounds = msgspec.structs.replace(
                before.bounds, drain_seconds=before.bounds.drain_seconds + 0.1
            )
            front.node.use_settings(
                msgspec.structs.replace(before, bounds=bounds)
            )
    sent = sum(count - 1 for count in arrivals(mesh, "r").values())
    bounds = front.settings.bounds
    assert sent <= bounds.retry_ratio * 200 + bounds.retry_slack


async def test_a_node_that_has_just_started_has_no_share_of_the_fixed_number(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a share that is used twice in one window.

    The previous process of the node may have used it already.
    """
    front = await ask_rejecting_targets(mesh, requests=0)
    for number in range(4):
        await mesh.restart(front)
        await mesh.settle()
        request_id = f"s{number}"
        await mesh.ask(front, fake_mesh.request(request_id=request_id))
    assert set(arrivals(mesh, "s").values()) == {1}


async def test_a_node_without_a_list_of_nodes_from_the_store_has_no_share(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await ask_rejecting_targets(mesh, requests=0)
    retries = front.node.outbound.retries
    assert retries.share() == pytest.approx(1 / 3)
    mesh.store.refusing = True
    await mesh.restart(front)
    await mesh.settle(fake_mesh.SHARING_SECONDS)
    assert front.node.outbound.retries.share() == 0.0


async def test_changed_bounds_apply_to_requests_counted_before(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await ask_rejecting_targets(mesh, requests=30)
    before = front.node.context.settings
    bounds = msgspec.structs.replace(
        before.bounds, retry_ratio=0.0, retry_slack=0.0
    )
    front.node.use_settings(msgspec.structs.replace(before, bounds=bounds))
    (usage,) = front.node.outbound.retries.usages().values()
    assert usage.requests == 30
    assert usage.left == 0.0


async def test_another_window_length_resets_the_budget_without_a_fixed_share(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await ask_rejecting_targets(mesh, requests=30)
    before = front.node.context.settings
    bounds = msgspec.structs.replace(before.bounds, retry_window_seconds=5.0)
    front.node.use_settings(msgspec.structs.replace(before, bounds=bounds))
    assert front.node.outbound.retries.share() == 0.0


async def test_an_idle_node_that_loses_its_peers_keeps_its_share(
    mesh: fake_mesh.Mesh,
) -> None:
    """Guards against a fleet size that is recorded only on a retry."""
    front = await ask_rejecting_targets(mesh, requests=0)
    front.node.peers.by_instance.clear()
    assert front.node.outbound.retries.share() <= 1 / 3
