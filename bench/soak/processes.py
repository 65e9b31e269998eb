"""Restarts of processes that overlapping faults may end at the same time."""

from __future__ import annotations

import asyncio
import signal
import subprocess
from collections.abc import Callable

POLL_SECONDS = 0.05


async def replace(
    current: Callable[[], subprocess.Popen[bytes] | None],
    start: Callable[[], None],
    number: signal.Signals,
) -> None:
    """Ends a process with a signal and starts its successor once.

    Fault series overlap, so another one may be ending the same process. Both
    send their signals, but only one starts the successor: a second successor
    would find the ports in use.

    Args:
      current: Returns the current process, or None.
      start: Starts the successor and makes it the current process.
      number: Signal to send.
    """
    process = current()
    send(process, number)
    while process is not None and process.poll() is None:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    if current() is process:
        start()


def send(
    process: subprocess.Popen[bytes] | None, number: signal.Signals
) -> None:
    """Sends a signal to a process if it still runs."""
    if process is not None and process.poll() is None:
        process.send_signal(number)
