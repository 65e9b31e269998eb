"""What a node decides and tells of repeats."""

from __future__ import annotations

from bench.standins import http_target
from currantcart.telemetry import timeline
from tests.fakes import mesh as fake_mesh


async def ask_rejecting_targets(
    mesh: fake_mesh.Mesh, *, requests: int
) -> fake_mesh.Place:
    """Sends requests to a service whose targets reject all of them."""
    front = await mesh.add("a", service="other")
    for name in "bc":
        place = await mesh.add(name)
        place.target.script = http_target.not_executed
    await mesh.settle()
    for number in range(requests):
        await mesh.ask(front, fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.1)
    return front


def decisions(mesh: fake_mesh.Mesh, event: str) -> list[timeline.Line]:
    lines = filter(None, map(timeline.parse, mesh.lines))
    return [line for line in lines if line.event == event]


async def test_a_repeat_is_told_with_what_the_budget_held(
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


async def test_the_metrics_tell_each_service_s_budget(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await ask_rejecting_targets(mesh, requests=60)
    taken = len(decisions(mesh, "tried_again"))
    text = front.node.context.counts.render().decode()
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
