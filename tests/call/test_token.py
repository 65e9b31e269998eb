"""Tests that only valid call contexts of this instance are accepted."""

from __future__ import annotations

import base64

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.call import token

KEY = token.derive_key(b"secret")
CLAIMS = token.Claims("node-1", 7, "call", 1_000.0)


def verify(text: str, *, now: float = 0.0, instance: str = "node-1",
           incarnation: int = 7) -> token.Claims:  # fmt: skip
    return token.verify(
        KEY, text, instance=instance, incarnation=incarnation, now=now
    )


def test_token_of_this_instance_is_accepted() -> None:
    assert verify(token.sign(KEY, CLAIMS)) == CLAIMS


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        ({"now": 1_000.0}, "expired"),
        ({"instance": "node-2"}, "issued by another instance"),
        ({"incarnation": 8}, "issued by another instance"),
    ],
)
def test_expired_token_or_one_of_another_instance_is_refused(
    options: dict[str, float | str | int], reason: str
) -> None:
    with pytest.raises(errors.Refusal, match=reason):
        verify(token.sign(KEY, CLAIMS), **options)  # type: ignore[arg-type]


@given(st.integers(0, 300))
def test_token_with_a_changed_bit_is_refused(position: int) -> None:
    raw = bytearray(base64.urlsafe_b64decode(token.sign(KEY, CLAIMS)))
    raw[position % len(raw)] ^= 1 << (position % 8)
    with pytest.raises(errors.Refusal):
        verify(base64.urlsafe_b64encode(raw).decode())


@given(st.text(max_size=600))
def test_arbitrary_text_is_refused_with_a_code(text: str) -> None:
    with pytest.raises(errors.Refusal) as caught:
        verify(text)
    assert caught.value.code is errors.Code.CONTEXT_INVALID
    assert caught.value.not_run
