"""Steps that fail alone: an error in one must not stop those after it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ParamSpec

Parameters = ParamSpec("Parameters")


def run(
    loop: asyncio.AbstractEventLoop,
    step: Callable[Parameters, object],
    *args: Parameters.args,
    **kwargs: Parameters.kwargs,
) -> bool:
    """Runs a step, and has the loop report an error that it raises.

    Returns:
      Whether the step has ended without an error.
    """
    try:
        step(*args, **kwargs)
    except Exception as error:
        report(loop, error, getattr(step, "__qualname__", repr(step)))
        return False
    return True


def report(
    loop: asyncio.AbstractEventLoop, error: Exception, source: str
) -> None:
    """Has the loop report an error.

    Args:
      loop: The event loop.
      error: The error.
      source: What raised it.
    """
    loop.call_exception_handler({"message": source, "exception": error})
