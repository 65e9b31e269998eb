"""Bodies that a node holds, against the memory that its process may have.

One account for the bodies of callers and of peers and for the answers of
targets: bounds that do not know of each other allow more together than the
process has.

Bodies of requests are refused first, since those have not run. An answer is
worth the work of its target, so a part of the account is kept for answers and
small ones always find room. A target may send an answer without end; one answer
therefore gets a share only.
"""

from __future__ import annotations

MIB = 1024 * 1024
PROCESS_BYTES = 60 * MIB
"""Memory of a node that holds no bodies, with its streams' buffers."""
COPIES = 2
"""Copies of a body in memory: the body, and what a transport has not sent."""
ANSWERS_BYTES = 4 * MIB
"""Part of the account that bodies of requests leave to answers."""
ANSWER_SHARE = 0.25
"""Share of the account that one answer may use."""
SMALL_ANSWER_BYTES = 64 * 1024
"""Size up to which an answer is held in any case."""
LIMIT_MIN = 8 * MIB


class HeldBytes:
    """The account of one node.

    Attributes:
      limit: Bytes that may be held, one copy of each.
      held: Bytes that are held.
    """

    def __init__(self, memory_mb: int) -> None:
        self.limit = 0
        self.held = 0
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: int) -> None:
        """Sets the limit from the memory of the process, in MiB."""
        available = memory_mb * MIB - PROCESS_BYTES
        self.limit = max(LIMIT_MIN, available // COPIES)

    def reserve(self, size: int) -> bool:
        """Reserves bytes for the body of a request, if there is room."""
        if self.held + size > self.limit - ANSWERS_BYTES:
            return False
        self.held += size
        return True

    def reserve_answer(self, size: int, *, so_far: int) -> bool:
        """Reserves further bytes for an answer, if there is room.

        Args:
          size: Bytes that were received.
          so_far: Bytes that are reserved for the same answer.
        """
        total = so_far + size
        if total > SMALL_ANSWER_BYTES and (
            total > self.limit * ANSWER_SHARE or self.held + size > self.limit
        ):
            return False
        self.held += size
        return True

    def hold(self, size: int) -> None:
        """Counts bytes that are held whatever room there is."""
        self.held += size

    def release(self, size: int) -> None:
        """Releases bytes that are no longer held."""
        self.held -= size
