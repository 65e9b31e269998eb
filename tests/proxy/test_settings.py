"""Settings file of a node in a platform deployment."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from currantcart import errors
from currantcart.proxy import settings as proxy_settings

GOOD: dict[str, Any] = {
    "instance": "n1",
    "failure_domain": "a",
    "region": "r",
    "service": "grades",
    "target": "127.0.0.1:5000",
    "listen": {
        "callers": "127.0.0.1:8080",
        "peers": "127.0.0.1:7080",
        "readiness": "127.0.0.1:9080",
        "reports": "127.0.0.1:9081",
    },
    "store": "127.0.0.1:8500",
}
TEXT = json.dumps(GOOD).encode()


def parse(**change: Any) -> proxy_settings.ProxySettings:
    """Parses good settings with some fields changed."""
    text = json.dumps({**GOOD, **change}).encode()
    return proxy_settings.parse(text, source="test")


def test_comments_are_accepted() -> None:
    text = b"// of this node\n" + TEXT
    settings = proxy_settings.parse(text, source="test")
    assert settings == proxy_settings.parse(TEXT, source="test")


@pytest.mark.parametrize("length", range(0, len(TEXT), 7))
def test_a_part_of_a_file_is_invalid(length: int) -> None:
    """Guards against an end of the process by a file that is being written."""
    with pytest.raises(errors.SettingsError):
        proxy_settings.parse(TEXT[:length], source="test")


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b" \n",
        b"null",
        b"[]",
        b"7",
        b"\xff\xfe{}",
        b"// \xff\n" + TEXT,
        b"\x00" * 100,
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"[" * 500 + b"]" * 500,
        TEXT + b"}",
        TEXT[:-1] + b', "unknown": 1}',
        TEXT[:-1] + b', "region": "s",}',
        TEXT[:-1] + b', "memory_mb": ' + b"9" * 5_000 + b"}",
    ],
    ids=lambda text: repr(text[-40:]),
)
def test_text_that_is_no_settings_file_is_invalid(text: bytes) -> None:
    """Guards against errors of a parser that end the process."""
    with pytest.raises(errors.SettingsError) as caught:
        proxy_settings.parse(text, source="settings.json")
    assert "settings.json" in caught.value.detail
    assert "\n" not in caught.value.detail


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"service": 7}, "service"),
        ({"service": None}, "service"),
        ({"listen": "127.0.0.1:80"}, "listen"),
        ({"listen": {**GOOD["listen"], "metrics": "x"}}, "listen.metrics"),
        ({"listen": {**GOOD["listen"], "advertised": "x"}}, "advertised"),
        ({"listen": {**GOOD["listen"], "peers": ""}}, "listen.peers"),
        ({"target": "127.0.0.1"}, "target"),
        ({"target": "127.0.0.1:0"}, "target"),
        ({"target": "127.0.0.1:65536"}, "target"),
        ({"target": "127.0.0.1:" + "9" * 5_000}, "target"),
        ({"target": "127.0.0.1:-80"}, "target"),
        ({"target": "127.0.0.1:²"}, "target"),
        ({"target": "127.0.0.999:80"}, "target"),
        ({"store": "store.example:80"}, "store"),
        ({"store": ":80"}, "store"),
        ({"memory_mb": 10**30}, "memory_mb"),
        ({"memory_mb": -300}, "memory_mb"),
        ({"descriptors": 1e30}, "descriptors"),
        ({"descriptors": True}, "descriptors"),
        ({"exchange": {"mesh_nodes_max": 2**40}}, "mesh_nodes_max"),
        ({"bounds": {"drain_seconds": -1}}, "drain_seconds"),
        ({"bounds": {"drain_seconds": 1e308}}, "drain_seconds"),
        ({"bounds": {"drain_seconds": 10**400}}, "out of range"),
        ({"bounds": {"drain_seconds": float("inf")}}, "finite"),
        ({"bounds": {"drain_seconds": float("nan")}}, "finite"),
        ({"bounds": {"retry_window_seconds": 0}}, "retry_window_seconds"),
        ({"bounds": {"retry_window_seconds": 5e-324}}, "retry_window_seconds"),
    ],
)
def test_a_value_that_cannot_be_used_is_invalid(
    change: dict[str, Any], message: str
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        parse(**change)
    assert message in caught.value.detail
    assert len(caught.value.detail) < 300


def test_a_number_beyond_the_range_of_a_float_is_invalid() -> None:
    text = b'{"bounds": {"drain_seconds": 1e999}, ' + TEXT[1:]
    for comment in (b"", b"// of this node\n"):
        with pytest.raises(errors.SettingsError):
            proxy_settings.parse(comment + text, source="test")


@pytest.mark.parametrize("kind", ["missing", "directory", "empty"])
def test_a_file_that_cannot_be_read_is_invalid(
    tmp_path: pathlib.Path, kind: str
) -> None:
    path = tmp_path / "settings.json"
    if kind == "directory":
        path.mkdir()
    elif kind == "empty":
        path.touch()
    with pytest.raises(errors.SettingsError) as caught:
        proxy_settings.load(path)
    assert str(path) in caught.value.detail


@pytest.mark.parametrize(
    ("address", "split"),
    [
        ("10.0.0.1:1", ("10.0.0.1", 1)),
        ("10.0.0.1:65535", ("10.0.0.1", 65_535)),
        ("::1:80", ("::1", 80)),
    ],
)
def test_address_is_split(address: str, split: tuple[str, int]) -> None:
    assert proxy_settings.split_address(address) == split
