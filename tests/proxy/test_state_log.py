"""Log events of a node when its state changes."""

from __future__ import annotations

from bench.standins import http_target
from currantcart.telemetry import exposition
from tests.fakes import mesh as fake_mesh


def logged(mesh: fake_mesh.Mesh, event: str) -> list[str]:
    return [line for line in mesh.lines if f"event={event} " in line + " "]


async def test_loss_and_recovery_of_freshness_are_logged_once(
    mesh: fake_mesh.Mesh,
) -> None:
    await mesh.add("a")
    await mesh.settle()
    assert len(logged(mesh, "freshness_regained")) == 1
    mesh.store.refusing = True
    await mesh.settle(8.0)
    assert len(logged(mesh, "freshness_lost")) == 1
    assert "version=1" in logged(mesh, "freshness_lost")[0]
    mesh.store.refusing = False
    await mesh.settle(2.0)
    assert len(logged(mesh, "freshness_regained")) == 2


async def test_an_exhausted_rate_is_logged_until_it_recovers(
    mesh: fake_mesh.Mesh,
) -> None:
    mesh.store.operate("op/config", fake_mesh.document(2, rate=2.0, burst=4.0))
    place = await mesh.add("a")
    await mesh.settle()
    for number in range(12):
        await mesh.ask(place, fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.6)
    (line,) = logged(mesh, "rate_exhausted")
    assert "workspace=mill" in line
    assert "rate=2.0" in line
    metrics = exposition.render(place.node.context.counts).decode()
    assert "currantcart_rates_exhausted 1.0" in metrics
    assert "currantcart_budgets_exhausted 0.0" in metrics
    await mesh.settle(2.0)
    assert len(logged(mesh, "rate_regained")) == 1


async def test_an_exhausted_retry_budget_is_logged(
    mesh: fake_mesh.Mesh,
) -> None:
    front = await mesh.add("a", service="other")
    for name in "bc":
        place = await mesh.add(name)
        place.target.script = http_target.not_executed
    await mesh.settle()
    for number in range(60):
        await mesh.ask(front, fake_mesh.request(request_id=f"r{number}"))
    await mesh.settle(0.6)
    (line,) = logged(mesh, "budget_exhausted")
    assert "service=grades" in line
    assert "repeats=" in line
    await mesh.settle(2.0)
    assert len(logged(mesh, "budget_regained")) == 1


async def test_a_disconnected_caller_is_logged_with_the_target_in_use(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    place.target.work_seconds = 3.0
    caller = await mesh.connect(place)
    caller.send(fake_mesh.request(request_id="left"))
    await mesh.settle(0.3)
    caller.leave()
    await mesh.settle(0.2)
    (line,) = logged(mesh, "caller_left")
    assert "id=left" in line
    assert "had_it=a" in line


async def test_background_failure_names_the_work(mesh: fake_mesh.Mesh) -> None:
    """Guards against work that fails each time and goes unnoticed."""
    place = await mesh.add("a")
    await mesh.settle()

    async def refresh() -> None:
        raise OverflowError("can't serialize ints")

    place.node.background.keep(refresh, name="refresh")
    await mesh.settle(1.0)
    first, second = logged(mesh, "background_failed")
    assert "work=refresh in_a_row=1 restart_ms=500" in first
    assert "work=refresh in_a_row=2 restart_ms=1000" in second
    text = exposition.render(place.node.context.counts).decode()
    assert 'currantcart_background_failures_total{work="refresh"} 2.0' in text
    assert "currantcart_background_failing 1.0" in text
