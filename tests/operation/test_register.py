"""Tests claims on operations with generated store faults and races."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.operation import model, register
from currantcart.store import port
from tests.fakes import loop as fake_loop
from tests.fakes.store import MemoryStore

ANSWER = model.FirstAnswer(200, "application/json", b"{}")


def operation(claim_id: str, *, body: bytes = b"", workspace: str = "mill"
              ) -> model.Operation:  # fmt: skip
    return model.build(
        service="payments", idempotency_key="fee-1", workspace=workspace,
        method="POST", path="/fees", body=body, claim_id=claim_id,
    )  # fmt: skip


class FaultyStore(MemoryStore):
    """A store whose writes fail according to a list, one after another."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__()
        self.faults = faults

    async def compare_and_swap(
        self, key: str, value: bytes, *, index: int
    ) -> bool:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "late":
            # The answer is lost, and the write takes effect later.
            asyncio.get_running_loop().call_later(
                0.02, self.swap, key, value, index
            )
            raise port.StoreOutcomeUnknown("late", peer="store")
        if fault == "down":
            raise port.StoreUnavailable("down", peer="store")
        if fault == "lost before":
            raise port.StoreOutcomeUnknown("lost", peer="store")
        swapped = self.swap(key, value, index)
        if fault == "lost after":
            raise port.StoreOutcomeUnknown("lost", peer="store")
        await asyncio.sleep(0.001)
        return swapped

    def swap(self, key: str, value: bytes, index: int) -> bool:
        if self.values.get(key, port.MISSING).index != index:
            return False
        self.put(key, value)
        return True


FAULTS = st.lists(
    st.sampled_from(["", "down", "lost before", "lost after", "late"]),
    max_size=12,
)
CALLERS = st.lists(
    st.tuples(st.floats(0, 0.1), st.sampled_from(["answer", "not run", "die"])),
    min_size=1,
    max_size=8,
)


async def run_callers(
    store: MemoryStore, callers: list[tuple[float, str]]
) -> list[str]:
    """Has callers retry one operation; returns which of them ran it."""
    ran: list[str] = []

    async def call(number: int, delay: float, ending: str) -> None:
        await asyncio.sleep(delay)
        node_register = register.Register(store)
        try:
            result = await node_register.claim(operation(f"c{number}"))
        except errors.Refusal:
            return
        if not isinstance(result, register.Claim):
            assert ran
            return
        if ending == "not run":
            await node_register.release(result)
            return
        ran.append(f"c{number}")
        await asyncio.sleep(0.01)
        if ending == "answer":
            await node_register.complete(result, ANSWER)

    await asyncio.gather(*(call(n, *c) for n, c in enumerate(callers)))
    return ran


def search(callers: list[tuple[float, str]], faults: list[str]) -> list[str]:
    with asyncio.Runner(loop_factory=fake_loop.MemoryLoop) as runner:
        return runner.run(run_callers(FaultyStore(faults), callers))


@given(CALLERS, FAULTS)
def test_operation_runs_at_most_once(
    callers: list[tuple[float, str]], faults: list[str]
) -> None:
    """Nodes race or die after the run, and the store loses answers."""
    assert len(search(callers, faults)) <= 1


def test_search_detects_a_claim_that_is_not_read_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def trusting(
        self: register.Register, wanted: model.Operation
    ) -> register.Claim:
        record = model.encode(model.claimed(wanted))
        await self.store.compare_and_swap(wanted.key, record, index=0)
        return register.Claim(wanted, 1)

    monkeypatch.setattr(register.Register, "try_claim", trusting)
    assert len(search([(0.0, "answer"), (0.05, "answer")], [])) > 1


async def test_retry_gets_the_first_answer() -> None:
    node_register = register.Register(MemoryStore())
    result = await node_register.claim(operation("a"))
    assert isinstance(result, register.Claim)
    await node_register.complete(result, ANSWER)
    assert await node_register.claim(operation("b")) == ANSWER
    assert node_register.writes == 3


async def code_of(
    node_register: register.Register, wanted: model.Operation
) -> tuple[errors.Code, bool]:
    with pytest.raises(errors.Refusal) as caught:
        await node_register.claim(wanted)
    return caught.value.code, caught.value.not_run


async def test_retry_while_the_first_call_runs_is_refused_as_unknown() -> None:
    node_register = register.Register(MemoryStore())
    await node_register.claim(operation("a"))
    expected = (errors.Code.OUTCOME_UNKNOWN, False)
    assert await code_of(node_register, operation("b")) == expected


async def test_retry_after_an_answer_too_large_to_store_is_refused() -> None:
    node_register = register.Register(MemoryStore())
    result = await node_register.claim(operation("a"))
    assert isinstance(result, register.Claim)
    large = model.FirstAnswer(200, "", b"x" * (model.ANSWER_BYTES_MAX + 1))
    await node_register.complete(result, large)
    expected = (errors.Code.ALREADY_RUN, False)
    assert await code_of(node_register, operation("b")) == expected


@pytest.mark.parametrize("other", [{"body": b"x"}, {"workspace": "shop"}])
async def test_same_key_with_another_request_is_refused(
    other: dict[str, bytes | str],
) -> None:
    node_register = register.Register(MemoryStore())
    result = await node_register.claim(operation("a"))
    assert isinstance(result, register.Claim)
    await node_register.complete(result, ANSWER)
    wanted = operation("b", **other)  # type: ignore[arg-type]
    expected = (errors.Code.IDEMPOTENCY_KEY_REUSED, False)
    assert await code_of(node_register, wanted) == expected


async def test_nothing_runs_while_the_store_is_down() -> None:
    store = MemoryStore()
    store.down = True
    expected = (errors.Code.STORE_UNAVAILABLE, True)
    node_register = register.Register(store)
    assert await code_of(node_register, operation("a")) == expected


async def test_claims_beyond_the_limit_are_refused_as_not_run() -> None:
    node_register = register.Register(MemoryStore())
    node_register.in_flight = register.IN_FLIGHT_MAX
    expected = (errors.Code.STORE_UNAVAILABLE, True)
    assert await code_of(node_register, operation("a")) == expected


async def test_nothing_runs_if_the_record_cannot_be_decoded() -> None:
    store = MemoryStore()
    wanted = operation("a")
    store.put(wanted.key, b"\xff")
    expected = (errors.Code.OUTCOME_UNKNOWN, False)
    assert await code_of(register.Register(store), wanted) == expected
