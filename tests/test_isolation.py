"""Steps that fail alone."""

from __future__ import annotations

import asyncio
from typing import Any

from currantcart import isolation


async def test_error_of_a_step_is_reported_and_not_raised() -> None:
    """Guards against a step whose error ends the steps after it."""
    loop = asyncio.get_running_loop()
    reported: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, details: reported.append(details))

    def fail(text: str) -> None:
        raise ValueError(text)

    assert not isolation.run(loop, fail, "bad")
    assert isolation.run(loop, int, "7")
    (details,) = reported
    assert str(details["exception"]) == "bad"
    assert details["message"].endswith("fail")
