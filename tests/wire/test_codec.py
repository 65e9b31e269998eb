"""Frames survive a round trip, and invalid ones give a coded error."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.wire import codec, messages

CODES = (errors.Code.FRAME_INVALID, errors.Code.FRAME_TOO_LARGE)
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
    reader = codec.FrameReader()
    assert list(reader.feed(codec.encode(message))) == [message]


@given(st.lists(st.integers(1, 12), min_size=1, max_size=8), st.integers(1, 9))
def test_frames_survive_any_split(kinds: list[int], size: int) -> None:
    """TCP delivers bytes in pieces of any size."""
    sent = [sample(kind) for kind in kinds]
    data = b"".join(map(codec.encode, sent))
    reader = codec.FrameReader()
    got: list[messages.Message] = []
    for start in range(0, len(data), size):
        got += reader.feed(data[start : start + size])
    assert got == sent
    assert reader.rest == b""


def test_too_large_frame_is_refused_before_it_arrives() -> None:
    """A peer announces a frame of 4 GiB, which must not be buffered."""
    reader = codec.FrameReader()
    with pytest.raises(errors.StreamError) as caught:
        list(reader.feed(b"\xff\xff\xff\xff"))
    assert caught.value.code is errors.Code.FRAME_TOO_LARGE


@given(VALUES)
def test_any_value_decodes_or_gives_a_coded_error(value: object) -> None:
    try:
        codec.decode(value)
    except errors.StreamError as error:
        assert error.code is errors.Code.FRAME_INVALID


@given(st.sampled_from(sorted(messages.CLASSES)), st.lists(VALUES, max_size=20))
def test_any_fields_decode_or_give_a_coded_error(
    kind: int, fields: list[object]
) -> None:
    try:
        codec.decode([kind, *fields])
    except errors.StreamError as error:
        assert error.code is errors.Code.FRAME_INVALID


@given(st.binary(max_size=200))
def test_any_bytes_end_in_bounded_time(data: bytes) -> None:
    try:
        list(codec.FrameReader().feed(data))
        codec.decode(codec.unpack(data))
    except errors.StreamError as error:
        assert error.code in CODES
