"""Tests of the settings file: JSON with comments and validation."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from currantcart import errors
from currantcart.settings import model

GOOD: dict[str, Any] = {
    "instance": "permits-1",
    "failure_domain": "dar-a",
    "listen": {
        "callers": "127.0.0.1:8080",
        "peers": "127.0.0.1:7080",
        "admin": "127.0.0.1:9080",
    },
    "target": {
        "service": "permits", "address": "127.0.0.1:5000", "slots": 50,
    },
    "store": "127.0.0.1:8500",
    "fleet_secret": "sixteen characters",
}  # fmt: skip


def write(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "node.jsonc"
    path.write_text(text)
    return path


def test_comments_are_accepted(tmp_path: pathlib.Path) -> None:
    path = write(tmp_path, f"// the first node\n{json.dumps(GOOD)}")
    settings = model.load(path)
    assert settings.instance == "permits-1"
    assert settings.secret() == b"sixteen characters"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"instnace": "x"}, "instnace: found an unknown field"),
        ({"instance": "UP"}, 'instance: found "UP"'),
        ({"store": "localhost:1"}, "allowed: an IP number and a port"),
        ({"store": "127.0.0.1:99999"}, "allowed: a port from 1 to 65535"),
        ({"fleet_secret": None}, "one of fleet_secret_file and fleet_secret"),
        ({"trace": {"ratio": 3}}, "trace.ratio: found 3"),
        ({"target": {"service": "a"}}, "target.address: found nothing"),
    ],
)
def test_error_names_the_field(
    tmp_path: pathlib.Path, change: dict[str, Any], message: str
) -> None:
    path = write(tmp_path, json.dumps({**GOOD, **change}))
    with pytest.raises(errors.SettingsError) as caught:
        model.load(path)
    assert message in caught.value.detail


def test_short_secret_is_rejected() -> None:
    settings = model.Settings.model_validate({**GOOD, "fleet_secret": "short"})
    with pytest.raises(errors.SettingsError, match="found 5 characters"):
        settings.secret()


def test_error_for_a_missing_file_is_one_line(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        model.load(tmp_path / "none")
    assert "\n" not in str(caught.value)
