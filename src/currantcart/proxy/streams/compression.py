"""Compression of a stream between two failure domains.

Each direction of a stream is one compressed sequence, so that header lines and
statuses that were sent before are sent as references.
"""

from __future__ import annotations

import zlib

from currantcart import errors

LEVEL = 1
WINDOW_BITS = -12
MEMORY_LEVEL = 5
"""Bounds the memory of a stream; larger windows gain little."""


class Compressor:
    """Compresses what one side sends."""

    def __init__(self) -> None:
        self.state = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def pack(self, data: bytes) -> bytes:
        """Returns the bytes from which the other side gets these at once."""
        return self.state.compress(data) + self.state.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Restores what the other side has packed."""

    def __init__(self) -> None:
        self.state = zlib.decompressobj(WINDOW_BITS)

    def unpack(self, data: bytes, *, bytes_max: int) -> bytes:
        """Returns the bytes that were packed.

        Args:
          data: What came.
          bytes_max: Most bytes that it may hold; a few hostile bytes could
            otherwise fill the node's memory.

        Raises:
          errors.StreamError: It can't be read, or holds too much.
        """
        try:
            found = self.state.decompress(data, bytes_max)
        except zlib.error as error:
            raise errors.StreamError(
                errors.Code.FRAME_INVALID, str(error)
            ) from error
        if self.state.unconsumed_tail:
            raise errors.StreamError(
                errors.Code.FRAME_TOO_LARGE, f"more than {bytes_max} bytes"
            )
        return found
