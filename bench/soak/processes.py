"""Ending processes that somebody else may be ending too."""

from __future__ import annotations

import asyncio
import signal
import subprocess
from collections.abc import Callable

POLL_SECONDS = 0.05


async def replace(
    present: Callable[[], subprocess.Popen[bytes] | None],
    start: Callable[[], None],
    number: signal.Signals,
) -> None:
    """Ends a process and starts it again.

    Series of faults overlap: the process may be ending already for another
    one. It gets this signal as well, and is started again once; started
    twice, the second would find its ports taken.

    Args:
      present: Returns the process that stands now.
      start: Starts it.
      number: Signal that ends it.
    """
    process = present()
    if process is not None and process.poll() is None:
        process.send_signal(number)
    while process is not None and process.poll() is None:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    if present() is process:
        start()
