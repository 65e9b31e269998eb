"""At-most-once operations through nodes: retries, kills, lost answers."""

from __future__ import annotations

import asyncio

import pytest

from bench import checkers
from currantcart.config import document
from currantcart.operation import model
from tests.fakes.world import World, default_document
from tests.proof import histories


@pytest.fixture
async def fleet(world: World) -> World:
    base = default_document()
    services = base.services.model_dump()
    services["services"]["payments"]["routes"][0]["once"] = True
    world.configure(
        document.Document.model_validate(
            {**base.model_dump(), "services": services, "revision": 2}
        )
    )
    await world.start("payments-1", "payments", work_ms=50)
    await world.start("payments-2", "payments", work_ms=50)
    await world.start("grades-1", "grades")
    await world.settle()
    return world


async def pay(fleet: World, via: str = "grades-1", key: str = "fee-1") -> str:
    reply = await fleet.call(
        via, "/payments/fees", method="POST", Idempotency_Key=key
    )
    return reply.code or str(reply.status)


def runs_twice(fleet: World) -> list[str]:
    return checkers.operations_ran_once(histories.ran(fleet, "payments"))


async def test_retry_at_another_node_gets_the_first_answer(
    fleet: World,
) -> None:
    first = await fleet.call(
        "grades-1", "/payments/fees", method="POST", Idempotency_Key="fee-1"
    )
    await asyncio.sleep(0.1)
    again = await fleet.call(
        "payments-2", "/payments/fees", method="POST", Idempotency_Key="fee-1"
    )
    assert (again.status, again.body) == (200, first.body)
    assert again.headers["Idempotency-Replayed"] == "true"
    assert len(fleet.history("payments")) == 1


async def test_caller_that_retries_hard_everywhere_pays_once(
    fleet: World,
) -> None:
    """A client sends the same payment to all nodes at the same time."""
    answers = await asyncio.gather(
        *(pay(fleet, via) for via in fleet.places for _ in range(5))
    )
    assert answers.count("200") == 1
    assert set(answers) == {"200", "outcome_unknown"}
    assert runs_twice(fleet) == []


async def test_lost_answer_of_the_store_does_not_run_it_twice(
    fleet: World,
) -> None:
    fleet.store.lose_answers = 1
    assert await pay(fleet) == "200"
    assert runs_twice(fleet) == []


async def test_target_that_dies_with_the_fee_leaves_it_unknown(
    fleet: World,
) -> None:
    """The target is killed between receiving a payment and answering it."""
    call = asyncio.create_task(pay(fleet))
    await asyncio.sleep(0.03)
    for name in ("payments-1", "payments-2"):
        fleet.loop.drop_connections(name, f"target-{name}")
    assert await call == "target_failed"
    assert await pay(fleet) == "outcome_unknown"
    assert runs_twice(fleet) == []


async def test_fee_refused_as_not_run_may_be_sent_again(fleet: World) -> None:
    for name in ("payments-1", "payments-2"):
        fleet.loop.kill(f"target-{name}")
    assert await pay(fleet) in ("target_unreachable", "no_target")
    await asyncio.sleep(0.1)
    assert await pay(fleet) in ("target_unreachable", "no_target")
    stored = [
        model.decode(entry.value).state
        for key, entry in fleet.store.values.items()
        if key.startswith(model.STORE_PREFIX)
    ]
    assert stored == [model.State.FREE]


async def test_store_down_refuses_fees_and_serves_the_rest(
    fleet: World,
) -> None:
    fleet.store.down = True
    assert await pay(fleet) == "store_unavailable"
    assert (await fleet.call("grades-1", "/payments/list")).whole
    assert [e["operation"] for e in fleet.history("payments")] == [""]


async def test_fee_without_a_key_is_refused(fleet: World) -> None:
    reply = await fleet.call("grades-1", "/payments/fees", method="POST")
    assert (reply.status, reply.code) == (400, "idempotency_key_invalid")
