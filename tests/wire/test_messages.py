"""Frames: what is sent comes back, and nothing else is taken."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.wire import messages

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=20),
    max_leaves=30,
)


def sample(kind: int) -> messages.Message:
    """Returns a message of a kind with values of the right types."""
    cls = messages.CLASSES[kind]
    made = [
        0.5 if allowed is messages.NUMBER else allowed()
        for allowed in cls.TYPES
    ]
    message: messages.Message = cls(*made)
    return message


@pytest.mark.parametrize("kind", sorted(messages.CLASSES))
def test_every_message_survives_the_wire(kind: int) -> None:
    message = sample(kind)
    unpacker = messages.new_unpacker()
    unpacker.feed(messages.encode(message))
    assert messages.decode(next(iter(unpacker))) == message


@given(VALUES)
def test_any_value_decodes_or_gives_a_coded_error(value: object) -> None:
    try:
        messages.decode(value)
    except errors.StreamError as error:
        assert error.code is errors.Code.FRAME_INVALID


@given(st.sampled_from(sorted(messages.CLASSES)), st.lists(VALUES, max_size=20))
def test_any_fields_decode_or_give_a_coded_error(
    kind: int, fields: list[object]
) -> None:
    try:
        messages.decode([kind, *fields])
    except errors.StreamError as error:
        assert error.code is errors.Code.FRAME_INVALID


@given(st.binary(max_size=200))
def test_any_bytes_end_in_bounded_time(data: bytes) -> None:
    unpacker = messages.new_unpacker()
    unpacker.feed(data)
    try:
        for frame in unpacker:
            messages.decode(frame)
    except (errors.StreamError, ValueError, msgpack.UnpackException):
        pass
