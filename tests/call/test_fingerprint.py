"""Fingerprints of requests."""

from __future__ import annotations

import pytest

from currantcart.call import fingerprint

FIELDS = {
    "workspace": "mill",
    "route": "read",
    "method": "POST",
    "path": "/read/1?page=2",
    "body": b"text",
}


def of(**changed: object) -> int:
    return fingerprint.of(**{**FIELDS, **changed})  # type: ignore[arg-type]


def test_equal_requests_have_the_same_fingerprint() -> None:
    assert of() == of() != fingerprint.NONE


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("workspace", "dyer"),
        ("route", "pay"),
        ("method", "PUT"),
        ("path", "/read/1?page=3"),
        ("body", b"texu"),
    ],
)
def test_one_different_byte_gives_another_fingerprint(
    field: str, value: object
) -> None:
    assert of(**{field: value}) != of()


def test_fields_do_not_run_together() -> None:
    assert of(path="/read/1", body=b"a") != of(path="/read/1a", body=b"")
    assert of(workspace="ab", route="c") != of(workspace="a", route="bc")


def test_a_path_of_any_bytes_has_a_fingerprint() -> None:
    assert of(path="/\xff\udc80")


def test_a_fingerprint_is_shown_with_16_digits() -> None:
    assert fingerprint.show(255) == "00000000000000ff"
