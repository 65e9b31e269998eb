"""Call contexts are taken from this instance, unchanged, and in time."""

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


def test_own_token_is_taken() -> None:
    assert verify(token.sign(KEY, CLAIMS)) == CLAIMS


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        ({"now": 1_000.0}, "expired"),
        ({"instance": "node-2"}, "issued by another instance"),
        ({"incarnation": 8}, "issued by another instance"),
    ],
)
def test_token_from_elsewhere_or_of_old_is_refused(
    options: dict[str, float | str | int], reason: str
) -> None:
    with pytest.raises(errors.Refusal, match=reason):
        verify(token.sign(KEY, CLAIMS), **options)  # type: ignore[arg-type]


@given(st.integers(0, 300))
def test_no_bit_may_change(position: int) -> None:
    raw = bytearray(base64.urlsafe_b64decode(token.sign(KEY, CLAIMS)))
    raw[position % len(raw)] ^= 1 << (position % 8)
    with pytest.raises(errors.Refusal):
        verify(base64.urlsafe_b64encode(raw).decode())


@given(st.text(max_size=600))
def test_any_text_gives_a_coded_refusal(text: str) -> None:
    with pytest.raises(errors.Refusal) as caught:
        verify(text)
    assert caught.value.code is errors.Code.CONTEXT_INVALID
    assert caught.value.not_run
