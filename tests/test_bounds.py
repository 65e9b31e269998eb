"""Tests of the bounds of values that others write."""

from __future__ import annotations

import pytest

from currantcart import bounds


@pytest.mark.parametrize(
    "text", ["10.0.0.1:1", "127.0.0.1:65535", "::1:8080", "10.128.0.9:8080"]
)
def test_an_ip_address_with_a_port_is_an_address(text: str) -> None:
    assert bounds.is_address(text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1:+1",
        "10.0.0.1:8_0",
        "10.0.0.1: 80",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1:\u00b2",
        "10.0.0.1:" + "9" * 5_000,
        "10.0.0.256:80",
        "10.0.1:80",
        "10.0.0.1 :80",
        "name.example:80",
        "a" * 70 + ".example:80",
        "fe80::1%name:80",
        "http://10.0.0.1:80",
    ],
)
def test_any_other_text_is_no_address(text: str) -> None:
    """Guards against look-ups and errors when a peer is dialled."""
    assert not bounds.is_address(text)
