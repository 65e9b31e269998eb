"""Framing of messages on a stream between two nodes.

A frame is a four-byte length and one message. Frames that are written in one
iteration of the event loop are sent in one system call.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from currantcart import errors
from currantcart.proxy.streams import compression, frames

FRAME_BYTES_MAX = 4 * 1024 * 1024
PACKED_BYTES_MAX = 32 * 1024
"""Most bytes of frames that are compressed together.

More than that in one loop iteration means long bodies, which take long to
compress and gain little.
"""
COMPRESSOR_BYTES_MIN = 256
"""Bytes of frames that are worth the first compressor of a stream.

A compressor holds 32 KB, the peer's decompressor 11 KB. A stream that carries
small statuses only gains a few bytes by them.
"""
LENGTH = struct.Struct(">I")


def encode_frame(frame: frames.Frame) -> bytes:
    """Encodes one frame with its length."""
    writer = FrameWriter()
    writer.add(frame)
    return writer.take()


class FrameWriter:
    """Buffers the frames of one iteration of the event loop.

    Attributes:
      buffer: Encoded frames that were not sent yet.
      compresses: Whether frames may be compressed: the peer can read that, and
        is in another failure domain.
      compressor: Compresses them; None before the first use.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.compresses = False
        self.compressor: compression.Compressor | None = None

    def add(self, frame: frames.Frame) -> None:
        """Encodes a frame into the buffer; leaves it as it was on failure."""
        start = len(self.buffer)
        self.buffer += b"\0\0\0\0"
        try:
            frames.ENCODER.encode_into(frame, self.buffer, -1)
        except Exception:
            del self.buffer[start:]
            raise
        LENGTH.pack_into(self.buffer, start, len(self.buffer) - start - 4)

    def add_encoded(self, encoded: bytes) -> None:
        """Adds a frame that `encode_frame` has encoded to the buffer."""
        self.buffer += encoded

    def take(self) -> bytes:
        """Returns the buffered frames and clears the buffer."""
        buffered = bytes(self.buffer)
        self.buffer.clear()
        return buffered

    def take_packed(self) -> bytes:
        """Returns the buffered frames, compressed if that was negotiated."""
        buffered = self.take()
        if not self.compresses or len(buffered) > PACKED_BYTES_MAX:
            return buffered
        if self.compressor is None:
            if len(buffered) < COMPRESSOR_BYTES_MIN:
                return buffered
            self.compressor = compression.Compressor()
        return encode_frame(frames.Packed(self.compressor.pack(buffered)))


class FrameReader:
    """Splits a stream of bytes into frames.

    Attributes:
      rest: Bytes of an incomplete frame.
      decompressor: Decompresses `Packed` frames; None before the first one.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.decompressor: compression.Decompressor | None = None

    def feed(self, data: bytes) -> Iterator[frames.Frame]:
        """Yields the frames that are complete, decompressed where needed.

        Raises:
          errors.StreamError: The bytes are not valid frames.
        """
        for frame in self.split(data):
            if isinstance(frame, frames.Packed):
                yield from self.unpack(frame)
            else:
                yield frame

    def split(self, data: bytes) -> Iterator[frames.Frame]:
        """Yields the complete frames as sent, and buffers the remainder."""
        if self.rest:
            data = self.rest + data
        start, size = 0, len(data)
        while size - start >= LENGTH.size:
            length = LENGTH.unpack_from(data, start)[0]
            if length > FRAME_BYTES_MAX:
                raise errors.StreamError(
                    errors.Code.FRAME_TOO_LARGE,
                    f"frame of {length} bytes exceeds the limit",
                )
            end = start + LENGTH.size + length
            if end > size:
                break
            frame = frames.decode_frame(
                memoryview(data)[start + LENGTH.size : end]
            )
            start = end
            yield frame
        self.rest = data[start:] if start else data

    def unpack(self, packed: frames.Packed) -> Iterator[frames.Frame]:
        """Yields the frames of a compressed part, which must be complete.

        Raises:
          errors.StreamError: The part is corrupt or too large, is nested, or
            ends within a frame.
        """
        if self.decompressor is None:
            self.decompressor = compression.Decompressor()
        inner = FrameReader()
        data = self.decompressor.unpack(packed.data, bytes_max=PACKED_BYTES_MAX)
        for frame in inner.split(data):
            if isinstance(frame, frames.Packed):
                raise frames.invalid("compressed frame nested in another")
            yield frame
        if inner.rest:
            raise frames.invalid("compressed part ends within a frame")
