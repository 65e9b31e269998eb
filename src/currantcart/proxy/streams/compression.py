"""Compression of a stream between two failure domains.

Each direction of a stream is one DEFLATE sequence, so that header lines and
statuses that were sent before are encoded as back-references.
"""

from __future__ import annotations

import zlib

from currantcart import errors

LEVEL = 1
WINDOW_BITS = -12
MEMORY_LEVEL = 5
"""With `WINDOW_BITS`, bounds the memory of a stream.

Larger windows gain little.
"""


class Compressor:
    """Compresses the outgoing direction of a stream."""

    def __init__(self) -> None:
        self.state = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def pack(self, data: bytes) -> bytes:
        """Compresses data and flushes, so that the peer can read all of it."""
        return self.state.compress(data) + self.state.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Decompresses the incoming direction of a stream."""

    def __init__(self) -> None:
        self.state = zlib.decompressobj(WINDOW_BITS)

    def unpack(self, data: bytes, *, bytes_max: int) -> bytes:
        """Decompresses the next part of the stream.

        Args:
          data: Compressed bytes as received.
          bytes_max: Limit of the decompressed size; a few hostile bytes could
            otherwise exhaust the node's memory.

        Raises:
          errors.StreamError: The data is corrupt, or exceeds `bytes_max`.
        """
        try:
            decompressed = self.state.decompress(data, bytes_max)
        except zlib.error as error:
            raise errors.StreamError(
                errors.Code.FRAME_INVALID, str(error)
            ) from error
        if self.state.unconsumed_tail:
            raise errors.StreamError(
                errors.Code.FRAME_TOO_LARGE,
                f"decompressed data exceeds {bytes_max} bytes",
            )
        return decompressed
