"""Background work: restarts, their delay and reports."""

from __future__ import annotations

import asyncio

from currantcart import background

RESTART_SECONDS = 0.5


def new_background(
    failures: list[background.Failure],
) -> background.Background:
    return background.Background(
        asyncio.get_running_loop(),
        restart_seconds=RESTART_SECONDS,
        on_failure=failures.append,
    )


async def fail() -> None:
    raise OverflowError("too large")


async def test_work_that_fails_each_time_is_restarted_less_often() -> None:
    """Guards against a log and a processor filled by restarts."""
    failures: list[background.Failure] = []
    running = new_background(failures)
    running.keep(fail)
    await asyncio.sleep(60.0)
    assert [item.in_a_row for item in failures[:4]] == [1, 2, 3, 4]
    assert [item.restart_seconds for item in failures[:5]] == [
        0.5, 1.0, 2.0, 4.0, 4.0,
    ]  # fmt: skip
    assert len(failures) <= 20
    assert {item.work for item in failures} == {"fail"}
    assert running.failing() == 1


async def test_work_that_ran_for_a_while_is_restarted_at_once_again() -> None:
    failures: list[background.Failure] = []
    running = new_background(failures)

    async def work() -> None:
        await asyncio.sleep(background.SETTLED_SECONDS + 1)
        raise ValueError

    running.keep(work, name="slow")
    await asyncio.sleep(60.0)
    assert {item.in_a_row for item in failures} == {1}
    assert {item.restart_seconds for item in failures} == {RESTART_SECONDS}


async def test_work_that_recovered_is_no_longer_failing() -> None:
    """Guards against an alarm that stays after its cause is gone."""
    failures: list[background.Failure] = []
    running = new_background(failures)

    async def work() -> None:
        if len(failures) < 3:
            raise ValueError
        await asyncio.Event().wait()

    running.keep(work)
    await asyncio.sleep(5.0)
    assert running.failing() == 1
    await asyncio.sleep(background.SETTLED_SECONDS)
    assert running.failing() == 0
    assert len(failures) == 3
