"""Encoding of messages as length-prefixed msgpack arrays.

A frame is a four-byte big-endian length followed by an array. The first element
of the array is the kind; the rest are the fields of the message class in order.
"""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from currantcart import errors
from currantcart.wire import messages

FRAME_BYTES_MAX = 2 * 1024 * 1024
ARRAY_ITEMS_MAX = 65_536
FIELD_NAMES = {
    kind: tuple(field.name for field in dataclasses.fields(cls))
    for kind, cls in messages.CLASSES.items()
}
PACKER = msgpack.Packer(use_bin_type=True)
LENGTH = struct.Struct(">I")


def encode(message: messages.Message) -> bytes:
    """Returns the frame of a message."""
    kind = message.KIND
    values = [getattr(message, name) for name in FIELD_NAMES[kind]]
    packed: bytes = PACKER.pack((kind, *values))
    return LENGTH.pack(len(packed)) + packed


class FrameReader:
    """Splits the bytes of one stream into messages of bounded size.

    The streaming `Unpacker` of msgpack keeps a large buffer for each stream,
    which with many streams exceeds the memory limit of a node. Frames with a
    length prefix need no buffer between frames.

    Attributes:
      rest: Bytes of an incomplete frame.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[messages.Message]:
        """Yields the messages that the received bytes complete.

        Raises:
          errors.StreamError: A frame is too large or not a valid message.
        """
        buffer = self.rest + data if self.rest else data
        self.rest = b""
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer, start)
            if size > FRAME_BYTES_MAX:
                raise errors.StreamError(
                    errors.Code.FRAME_TOO_LARGE,
                    f"frame of {size} bytes, allowed: {FRAME_BYTES_MAX}",
                )
            end = start + LENGTH.size + size
            if end > len(buffer):
                break
            yield decode(unpack(buffer[start + LENGTH.size : end]))
            start = end
        self.rest = buffer[start:]


def unpack(frame: bytes) -> object:
    """Unpacks the msgpack value of one frame.

    Raises:
      errors.StreamError: The frame is not exactly one msgpack value, or an
        array exceeds its limit.
    """
    try:
        value: object = msgpack.unpackb(
            frame,
            raw=False,
            max_array_len=ARRAY_ITEMS_MAX,
            max_map_len=0,
            max_ext_len=0,
        )
    except (
        msgpack.UnpackException,
        ValueError,
        RecursionError,
    ) as error:
        raise invalid(str(error) or type(error).__name__) from error
    return value


def is_headers(value: list[Any]) -> bool:
    """Returns whether a list consists of pairs of strings."""
    return all(
        type(pair) is list
        and len(pair) == 2
        and type(pair[0]) is str
        and type(pair[1]) is str
        for pair in value
    )


def decode(frame: object) -> messages.Message:
    """Builds a message from an unpacked frame.

    Raises:
      errors.StreamError: The frame is not a valid message.
    """
    if type(frame) is not list or not frame or type(frame[0]) is not int:
        raise invalid("not an array that starts with a kind")
    cls = messages.CLASSES.get(frame[0])
    if cls is None:
        raise invalid(f"unknown kind {frame[0]}")
    values = frame[1:]
    if len(values) != len(cls.TYPES):
        raise invalid(
            f"{cls.__name__} has the wrong number of fields: {len(values)}"
        )
    for value, allowed in zip(values, cls.TYPES, strict=True):
        if not isinstance(value, allowed):
            raise invalid(
                f"{cls.__name__} has a wrong type: {type(value).__name__}"
            )
    message: messages.Message = cls(*values)
    if not isinstance(message, messages.Open | messages.Answer):
        return message
    if not is_headers(message.headers):
        raise invalid(f"{cls.__name__} has malformed headers")
    return message


def invalid(detail: str) -> errors.StreamError:
    """Returns the error for a frame that cannot be decoded."""
    return errors.StreamError(
        errors.Code.FRAME_INVALID, f"cannot decode a frame: {detail}"
    )
