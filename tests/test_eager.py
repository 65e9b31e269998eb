"""Eager start of coroutines, and the time-out of their work."""

from __future__ import annotations

import asyncio

import pytest

from currantcart import eager


async def test_first_part_runs_before_start_returns() -> None:
    steps: list[str] = []

    async def work() -> None:
        steps.append("first")
        await asyncio.sleep(1)
        steps.append("second")
        await asyncio.sleep(1)
        steps.append("third")

    task = eager.start(asyncio.get_running_loop(), work())
    assert steps == ["first"]
    assert task is not None
    await task
    assert steps == ["first", "second", "third"]


async def test_coroutine_that_never_waits_needs_no_task() -> None:
    async def work() -> None:
        return

    assert eager.start(asyncio.get_running_loop(), work()) is None


async def test_cancellation_reaches_the_coroutine() -> None:
    seen: list[str] = []

    async def work() -> None:
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            seen.append("cancelled")
            await asyncio.sleep(1)
            seen.append("cleaned up")
            raise

    task = eager.start(asyncio.get_running_loop(), work())
    assert task is not None
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert seen == ["cancelled", "cleaned up"]


async def test_expiry_raises_timeout_error() -> None:
    loop = asyncio.get_running_loop()
    ended: list[float] = []
    tasks: list[asyncio.Task[None]] = []

    async def work() -> None:
        try:
            with eager.Expiry(
                loop, seconds=2, cancel=lambda: tasks[0].cancel()
            ):
                await asyncio.sleep(10)
        except TimeoutError:
            ended.append(loop.time())

    began = loop.time()
    task = eager.start(loop, work())
    assert task is not None
    tasks.append(task)
    await task
    assert ended == [pytest.approx(began + 2)]


async def test_error_of_the_first_part_reaches_the_caller() -> None:
    async def work() -> None:
        raise ValueError("at once")

    with pytest.raises(ValueError, match="at once"):
        eager.start(asyncio.get_running_loop(), work())
