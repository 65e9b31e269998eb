"""Claims on operations, by compare-and-swap in the store.

A call runs only after its claim is known to be stored, and there can be only
one claim. A claim whose call may have run is never released.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Coroutine
from typing import Any, TypeAlias

from currantcart import errors
from currantcart.operation import model
from currantcart.store import port

ATTEMPTS_MAX = 3
IN_FLIGHT_MAX = 64
Work: TypeAlias = Coroutine[Any, Any, None]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim that is known to be stored.

    Attributes:
      operation: The claimed operation.
      index: Index of the stored record.
    """

    operation: model.Operation
    index: int


def unavailable(detail: str) -> errors.Refusal:
    """Returns the refusal of an operation that could not be registered."""
    return errors.Refusal(
        errors.Code.STORE_UNAVAILABLE,
        errors.Step.OPERATION,
        f"the operation could not be registered: {detail}",
        not_run=True,
        retry_after_ms=model.RETRY_AFTER_MS,
    )


class Register:
    """Operations of the complete fleet, as seen from one node.

    Attributes:
      in_flight: Claims in progress; beyond `IN_FLIGHT_MAX` calls are refused,
        since the store accepts a limited number of writes per second.
      writes: Writes to the store, to measure the cost of an operation.
    """

    def __init__(self, store: port.Store) -> None:
        self.store = store
        self.in_flight = 0
        self.writes = 0

    async def claim(
        self, operation: model.Operation
    ) -> Claim | model.FirstAnswer:
        """Claims an operation for one run.

        Returns:
          The claim, or the first answer when the operation ran before.

        Raises:
          errors.Refusal: It must not run, or could not be registered.
        """
        if self.in_flight >= IN_FLIGHT_MAX:
            raise unavailable("too many operations wait for the store")
        self.in_flight += 1
        try:
            return await self.try_claim(operation)
        except port.StoreUnavailable as error:
            raise unavailable(error.detail) from error
        finally:
            self.in_flight -= 1

    async def try_claim(
        self, operation: model.Operation
    ) -> Claim | model.FirstAnswer:
        """Swaps and reads until the state of the operation is certain."""
        record = model.encode(model.claimed(operation))
        index = 0
        for _ in range(ATTEMPTS_MAX):
            try:
                self.writes += 1
                await self.store.compare_and_swap(
                    operation.key, record, index=index
                )
            except port.StoreOutcomeUnknown:
                # The write may have taken effect or may still do so. The next
                # read decides: a claim with this id belongs to this call.
                pass
            entry = await self.store.get(operation.key)
            stored = model.decode(entry.value) if entry.index else None
            verdict = model.decide(stored, operation)
            if verdict.answer is not None:
                return verdict.answer
            if verdict.step is model.Step.RUN:
                return Claim(operation, entry.index)
            index = entry.index
        raise unavailable("the claim could not be confirmed in the store")

    async def complete(self, claim: Claim, answer: model.FirstAnswer) -> None:
        """Stores the answer of an operation that ran."""
        await self.finish(claim, model.done(claim.operation, answer))

    async def release(self, claim: Claim) -> None:
        """Releases an operation that certainly did not run."""
        await self.finish(claim, model.freed(claim.operation))

    async def finish(self, claim: Claim, record: model.Record) -> None:
        """Replaces a claim; if that fails, it stays and retries are refused."""
        for _ in range(ATTEMPTS_MAX):
            try:
                self.writes += 1
                await self.store.compare_and_swap(
                    claim.operation.key,
                    model.encode(record),
                    index=claim.index,
                )
            except port.StoreOutcomeUnknown:
                continue
            except port.StoreUnavailable:
                return
            return
