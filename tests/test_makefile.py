"""Set-up of the virtual environment by the Makefile."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig

import pytest

ROOT = pathlib.Path(__file__).parents[1]
ABI = sysconfig.get_config_var("SOABI")


@pytest.mark.parametrize(
    ("stamp", "is_set_up"),
    [
        (f".stamp-{ABI}", False),
        (".stamp-cpython-311-foreign-linux-gnu", True),
        (".stamp", True),
        (None, True),
    ],
)
def test_an_environment_of_another_machine_is_set_up_anew(
    tmp_path: pathlib.Path, *, stamp: str | None, is_set_up: bool
) -> None:
    """Guards against programs and libraries that do not run here."""
    for name in ("Makefile", "requirements.lock", "pyproject.toml"):
        shutil.copy(ROOT / name, tmp_path)
    (tmp_path / ".venv").mkdir()
    if stamp is not None:
        (tmp_path / ".venv" / stamp).touch()
    ended = subprocess.run(
        ["make", "--dry-run", "types", f"PYTHON={sys.executable}"],
        cwd=tmp_path,
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        check=True,
    )
    lines = ended.stdout.splitlines()
    assert lines[-1] == ".venv/bin/mypy"
    assert (f"{sys.executable} -m venv .venv" in lines) == is_set_up
    assert ended.stdout.count("|| rm -rf .venv") == is_set_up
