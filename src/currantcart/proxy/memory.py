"""Resident memory of the process, against the limit at which it is ended."""

from __future__ import annotations

import os
from collections.abc import Callable

from currantcart import held_bytes
from currantcart.proxy import context as proxy_context

STATM = "/proc/self/statm"
STATM_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HIGH_SHARES = (0.8, 0.9)
"""Shares of the limit that are logged when they are reached."""
EASED_SHARE = 0.7
"""Share below which memory is no longer high."""


def resident_bytes() -> int:
    """Returns the resident memory of this process; 0 if it is not known."""
    try:
        file = os.open(STATM, os.O_RDONLY)
        try:
            fields = os.read(file, STATM_BYTES).split()
        finally:
            os.close(file)
        return int(fields[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class MemoryWatch:
    """Logs that the process comes near its memory limit.

    A process that exceeds the limit is killed and can't log anything then.

    Attributes:
      read: Returns the resident memory in bytes.
      resident: Resident memory at the last check, in bytes.
      reached: How many of `HIGH_SHARES` were reached and logged.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        read: Callable[[], int] = resident_bytes,
    ) -> None:
        self.context = context
        self.read = read
        self.resident = 0
        self.reached = 0

    def check(self, **details: int) -> None:
        """Reads the resident memory, and logs it if it became high.

        The line is written at once: the process may end before the next flush.

        Args:
          **details: Sizes that may explain it, for the line.
        """
        self.resident = self.read()
        limit = self.context.settings.memory_mb * held_bytes.MIB
        share = self.resident / limit
        reached = sum(share >= high for high in HIGH_SHARES)
        if reached > self.reached:
            self.reached = reached
            self.log("memory_high", share, details)
            self.context.log.flush()
        elif self.reached and share < EASED_SHARE:
            self.reached = 0
            self.log("memory_eased", share, details)

    def log(self, event: str, share: float, details: dict[str, int]) -> None:
        """Logs the memory that is used."""
        self.context.log.event(
            event,
            resident_bytes=self.resident,
            share=round(share, 2),
            held_bytes=self.context.held.held,
            **details,
        )
