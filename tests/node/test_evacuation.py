"""Evacuation of a failure domain by the operator."""

from __future__ import annotations

import asyncio

import pytest

from currantcart import clock as clock_module
from currantcart import errors
from currantcart.config import changes, document, edits
from currantcart.routing import router as routing
from tests.fakes.world import World, default_document

DOMAIN = "domain-1"
"""Failure domain of the first of five nodes, and of the fourth."""


def evacuated(revision: int, *domains: str) -> document.Document:
    """Returns the default configuration with evacuated failure domains."""
    return default_document().model_copy(
        update={"revision": revision, "evacuated": list(domains)}
    )


@pytest.fixture
async def fleet(world: World) -> World:
    for number in range(1, 6):
        await world.start(f"grades-{number}", "grades")
    await world.settle()
    return world


def run_in_domain(fleet: World) -> int:
    return sum(
        len(place.target.history)
        for place in fleet.places.values()
        if place.settings.failure_domain == DOMAIN
    )


async def call_all(fleet: World, *, times: int = 10) -> set[str]:
    """Calls through all nodes and returns the codes of the responses."""
    replies = [
        await fleet.call(name, "/grades/a")
        for name in fleet.places
        for _ in range(times)
    ]
    return {reply.code for reply in replies}


async def test_an_evacuated_domain_gets_no_calls_until_it_is_restored(
    fleet: World,
) -> None:
    fleet.configure(evacuated(2, DOMAIN))
    await asyncio.sleep(2)
    before = run_in_domain(fleet)
    assert await call_all(fleet) == {""}
    assert run_in_domain(fleet) == before
    fleet.configure(evacuated(3))
    await asyncio.sleep(2)
    assert await call_all(fleet) == {""}
    assert run_in_domain(fleet) > before


async def test_a_node_without_the_news_is_refused_and_goes_elsewhere(
    fleet: World,
) -> None:
    """A caller's node places on a domain that is evacuated meanwhile."""
    fleet.configure(evacuated(2, DOMAIN))
    await asyncio.sleep(2)
    outdated = fleet.places["grades-1"].node
    outdated.context.router.update(outdated.members.members(), 0.0)
    before = run_in_domain(fleet)
    replies = [await fleet.call("grades-2", "/grades/a") for _ in range(20)]
    replies += [await fleet.call("grades-1", "/grades/a") for _ in range(20)]
    assert {reply.code for reply in replies} == {""}
    assert run_in_domain(fleet) == before


async def test_a_service_without_other_targets_is_refused_at_once(
    fleet: World,
) -> None:
    fleet.configure(evacuated(2, "domain-0", "domain-1", "domain-2"))
    await asyncio.sleep(2)
    reply = await fleet.call("grades-1", "/grades/a")
    assert (reply.status, reply.code) == (503, "no_target")
    assert reply.seconds < 0.1
    assert float(reply.headers["Retry-After"]) > 0.0


async def test_a_call_that_waits_leaves_the_evacuated_domain(
    world: World,
) -> None:
    """A call that runs is finished; one that waits is refused as not run."""
    place = await world.start("grades-1", "grades")
    await world.settle()
    place.node.guard.admission.limit.value = 1
    place.target.behaviour.work_ms = 2_500
    calls = [
        asyncio.create_task(world.call("grades-1", "/grades/a"))
        for _ in range(2)
    ]
    await asyncio.sleep(0.1)
    world.configure(evacuated(2, DOMAIN))
    replies = await asyncio.gather(*calls)
    assert sorted(reply.code for reply in replies) == ["", "no_target"]
    assert len(world.history("grades")) == 1


async def test_restored_targets_warm_up_again(fleet: World) -> None:
    node = fleet.places["grades-2"].node
    router = node.context.router
    members = node.members.members()
    router.update(members, 1_000.0)
    router.update(members, 2_000.0, evacuated={DOMAIN})
    router.update(members, 9_000.0)
    assert isinstance(router, routing.Router)
    seen = {
        candidate.member.failure_domain: candidate.seen_ms
        for candidate in router.candidates.values()
    }
    assert seen[DOMAIN] == 9_000.0
    assert seen["domain-0"] < 9_000.0


def test_changes_of_the_document() -> None:
    current = document.Document(revision=4)
    first = changes.evacuate_domain("b")(current)
    assert first.summary == "failure domain b: evacuated"
    current = current.model_copy(update=first.parts)
    second = changes.evacuate_domain("a")(current)
    assert second.parts == {"evacuated": ["a", "b"]}
    with pytest.raises(errors.CurrantcartError, match="evacuated already"):
        changes.evacuate_domain("b")(current)
    with pytest.raises(errors.CurrantcartError, match="not evacuated"):
        changes.restore_domain("c")(current)
    assert changes.restore_domain("b")(current).parts == {"evacuated": []}


async def test_an_evacuation_cannot_be_undone_only_restored(
    world: World,
) -> None:
    editor = edits.Editor(
        store=world.store,
        clock=clock_module.Clock(now=lambda: 0.0, wall=lambda: 0.0),
        author="op",
    )
    accepted = await editor.apply(changes.evacuate_domain(DOMAIN))
    with pytest.raises(errors.CurrantcartError, match="evacuations"):
        await editor.apply(changes.undo(accepted.revision))
    await editor.apply(changes.restore_domain(DOMAIN))
    current, _ = await editor.read()
    assert current.evacuated == []
    assert current.history[-2].author == "op"
