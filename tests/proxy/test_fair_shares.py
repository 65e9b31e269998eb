"""Fair shares among workspaces, in whole nodes."""

from __future__ import annotations

import msgspec
import pytest

from currantcart.admission import slots
from currantcart.platform import names
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.streams import frames
from currantcart.telemetry import exposition
from currantcart.workspace import usage
from tests.fakes import mesh as fake_mesh

OVERLOADED = {"grades": 0.5}
RANK = 18
"""Rank of the requests of the workspace in the default configuration."""
SURGE = {RANK: usage.Demand({"mill": 900.0, "shop": 50.0, "yard": 50.0})}


@pytest.fixture
def fair_mesh(
    mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> fake_mesh.Mesh:
    """Returns a mesh whose nodes have the setting turned on."""
    plain = mesh.settings

    def settings(
        name: str, number: int, service: str, domain: str
    ) -> proxy_settings.ProxySettings:
        return msgspec.structs.replace(
            plain(name, number, service, domain),
            fair_shares=proxy_settings.FairShares(enabled=True),
        )

    monkeypatch.setattr(mesh, "settings", settings)
    return mesh


async def running_call(
    mesh: fake_mesh.Mesh, place: fake_mesh.Place, request_id: str, path: str
) -> call_module.Call:
    """Returns a request that a target does not answer."""
    place.target.script = fake_mesh.silent
    caller = await mesh.connect(place)
    key = None if path.startswith("/inner") else fake_mesh.KEY
    caller.send(fake_mesh.request(path, request_id=request_id, key=key))
    await mesh.settle(0.1)
    return next(
        call
        for call in place.node.outbound.calls
        if call.request.request_id == request_id
    )


def overload(
    place: fake_mesh.Place,
    monkeypatch: pytest.MonkeyPatch,
    demand: dict[int, usage.Demand],
) -> None:
    """Makes a node believe that the service is overloaded."""
    ingress = place.node.outbound.ingress
    monkeypatch.setattr(ingress, "pressure_on", lambda _: dict(OVERLOADED))
    monkeypatch.setattr(ingress.divider, "reported", lambda _: demand)


async def test_calls_belong_to_the_workspace_of_their_root(
    fair_mesh: fake_mesh.Mesh,
) -> None:
    """Guards against usage of a deep service that belongs to nobody."""
    fair_mesh.store.operate(
        names.CONFIG_KEY, fake_mesh.document(2, rate=50.0, burst=9.0)
    )
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    root = await running_call(fair_mesh, place, "9c4", "/read/1")
    assert (root.lineage.workspace, root.lineage.weight) == ("mill", 50.0)
    call = await running_call(fair_mesh, place, "9c4.1", "/inner/1")
    assert call.lineage == root.lineage
    demand = place.node.guard.usage.usage.demand(fair_mesh.clock.now())
    assert set(demand) == {root.request.priority}
    assert set(demand[RANK].by_workspace) == {"mill"}


async def test_a_request_names_no_workspace_if_the_setting_is_off(
    mesh: fake_mesh.Mesh,
) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    root = await running_call(mesh, place, "9c4", "/read/1")
    assert root.lineage.workspace == ""
    assert place.node.guard.usage.usage.ranks == {}
    assert not place.node.guard.queue.fair


async def test_a_status_has_usage_only_under_overload(
    fair_mesh: fake_mesh.Mesh,
) -> None:
    """Guards against statuses that grow without need."""
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    for number in range(5):
        await running_call(fair_mesh, place, f"r{number}", "/read/1")
    guard = place.node.guard
    assert guard.state().usage == {}
    guard.overload.gauge.level = 0.5
    guard.usage.updated_at = -1_000.0
    assert set(guard.state().usage) == {f"{RANK}:mill", f"{RANK}:"}


async def test_usage_of_an_overloaded_target_reaches_its_peers(
    fair_mesh: fake_mesh.Mesh,
) -> None:
    near = await fair_mesh.add("a")
    far = await fair_mesh.add("b")
    await fair_mesh.settle()
    far.target.script = fake_mesh.silent
    for number in range(5):
        await running_call(fair_mesh, near, f"r{number}", "/read/1")
    near.node.guard.overload.gauge.level = 0.9
    await fair_mesh.settle(0.45)
    assert set(far.node.outbound.usage_on("grades")) == {RANK}


async def test_a_restarted_node_has_no_usage(
    fair_mesh: fake_mesh.Mesh,
) -> None:
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    await running_call(fair_mesh, place, "r1", "/read/1")
    fair_mesh.kill(place)
    await fair_mesh.restart(place)
    assert place.node.guard.usage.usage.ranks == {}


def test_a_status_without_usage_is_accepted() -> None:
    """Guards the exchange with nodes of the previous release."""
    state = msgspec.msgpack.decode(
        msgspec.msgpack.encode(["t", True, 10, 3, 0.0, {"grades": 0.4}]),
        type=frames.TargetState,
    )
    assert state.usage == {}


async def test_a_request_above_the_share_is_shed_logged_and_counted(
    fair_mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    overload(place, monkeypatch, SURGE)
    replies = [
        await fair_mesh.ask(place, fake_mesh.request(request_id=f"r{number}"))
        for number in range(40)
    ]
    shed = sum(reply.status == 503 for reply in replies)
    assert 15 <= shed <= 30
    place.node.context.log.flush()
    lines = [line for line in fair_mesh.lines if "shed_above_share" in line]
    assert len(lines) == shed
    assert "workspace=mill" in lines[0]
    text = exposition.render(place.node.context.counts).decode()
    assert f'currantcart_fair_shed_total{{service="grades"}} {shed}' in text
    assert 'currantcart_fair_share_excess{service="grades"} 2.25' in text


async def test_a_workspace_below_its_share_is_not_shed(
    fair_mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losses of those who did not cause the overload."""
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    demand = {RANK: usage.Demand({"shop": 900.0, "mill": 50.0, "yard": 50.0})}
    overload(place, monkeypatch, demand)
    for number in range(40):
        reply = await fair_mesh.ask(
            place, fake_mesh.request(request_id=f"r{number}")
        )
        assert reply.status == 200


async def test_a_call_of_a_target_is_not_shed(
    fair_mesh: fake_mesh.Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against wasting the work done for a root that runs."""
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    await running_call(fair_mesh, place, "9c4", "/read/1")
    overload(place, monkeypatch, SURGE)
    for number in range(20):
        call = await running_call(fair_mesh, place, f"9c4.{number}", "/inner/1")
        assert call.request.priority == slots.call_priority(RANK)
        place.node.outbound.cancel(call)


async def test_the_setting_can_be_changed_at_run_time(
    fair_mesh: fake_mesh.Mesh,
) -> None:
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    node = place.node
    node.use_settings(
        msgspec.structs.replace(
            node.context.settings, fair_shares=proxy_settings.FairShares()
        )
    )
    assert not node.guard.queue.fair
    root = await running_call(fair_mesh, place, "9c4", "/read/1")
    assert root.lineage.workspace == ""


@pytest.mark.parametrize(("placed_before", "counted"), [(0, 0.25), (1, 0.0)])
async def test_a_refused_request_counts_once_as_overload(
    fair_mesh: fake_mesh.Mesh, placed_before: int, counted: float
) -> None:
    """Guards against a level that rises with each target that is tried."""
    place = await fair_mesh.add("a")
    await fair_mesh.settle()
    root = await running_call(fair_mesh, place, "9c4", "/read/1")
    assert root.job is not None
    guard = place.node.guard
    guard.overload.gauge.refused = 0.0
    root.job.opening.placed_before = placed_before
    guard.refuse_for_load(root.job, "queue_full")
    assert guard.overload.gauge.refused == counted
