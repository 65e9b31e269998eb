"""Build of the folder of libraries with which a node is deployed."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tomllib

import pytest

from deploy import build

ROOT = pathlib.Path(__file__).parents[1]
STAMP = build.stamp(b"a==1\n", abi="cpython-311-x86_64", machine="x86_64")
PIP = """
import pathlib, sys
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
(folder / "library").mkdir(parents=True)
sys.exit({status})
"""


class Installer:
    """Installs one file.

    Attributes:
      calls: How often something was installed.
      breaks_off: Whether the installation ends after a part of it.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.breaks_off = False

    def __call__(
        self, requirements: pathlib.Path, folder: pathlib.Path
    ) -> None:
        self.calls += 1
        assert not folder.exists()
        folder.mkdir()
        (folder / "first.py").touch()
        if self.breaks_off:
            raise build.BuildError("broken off")
        (folder / "second.py").touch()


def files(root: pathlib.Path) -> set[str]:
    """Returns what a repository has under target/, but for the lock."""
    target = root / "target"
    found = {str(path.relative_to(target)) for path in target.rglob("*")}
    return found - {"deps.lock"}


WHOLE = {"deps", "deps/.stamp", "deps/first.py", "deps/second.py"}


def test_a_folder_that_fits_is_kept(tmp_path: pathlib.Path) -> None:
    installer = Installer()
    assert build.build(tmp_path, wanted=STAMP, install=installer)
    assert not build.build(tmp_path, wanted=STAMP, install=installer)
    assert installer.calls == 1
    assert files(tmp_path) == WHOLE


@pytest.mark.parametrize(
    "other",
    [
        build.stamp(b"a==2\n", abi="cpython-311-x86_64", machine="x86_64"),
        build.stamp(b"a==1\n", abi="cpython-312-x86_64", machine="x86_64"),
        build.stamp(b"a==1\n", abi="cpython-311-x86_64", machine="aarch64"),
        None,
        "",
    ],
)
def test_a_folder_that_was_filled_elsewhere_is_replaced(
    tmp_path: pathlib.Path, other: str | None
) -> None:
    """Guards against compiled libraries that do not load on this machine."""
    folder = tmp_path / "target" / "deps"
    folder.mkdir(parents=True)
    (folder / "foreign.so").touch()
    if other is not None:
        (folder / ".stamp").write_text(other)
    assert build.build(tmp_path, wanted=STAMP, install=Installer())
    assert files(tmp_path) == WHOLE


def test_an_installation_that_broke_off_is_not_taken(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a folder with a part of the libraries."""
    installer = Installer()
    installer.breaks_off = True
    for _ in range(2):
        with pytest.raises(build.BuildError):
            build.build(tmp_path, wanted=STAMP, install=installer)
        assert not (tmp_path / "target" / "deps").exists()
    installer.breaks_off = False
    assert build.build(tmp_path, wanted=STAMP, install=installer)
    assert files(tmp_path) == WHOLE


def test_a_failed_installation_keeps_the_folder_before(
    tmp_path: pathlib.Path,
) -> None:
    installer = Installer()
    build.build(tmp_path, wanted=STAMP, install=installer)
    installer.breaks_off = True
    with pytest.raises(build.BuildError):
        build.build(tmp_path, wanted="other", install=installer)
    assert build.is_current(tmp_path / "target" / "deps", STAMP)


def test_a_link_is_replaced_and_what_it_leads_to_is_kept(
    tmp_path: pathlib.Path,
) -> None:
    elsewhere = tmp_path / "elsewhere"
    elsewhere.mkdir()
    (tmp_path / "target").mkdir()
    (tmp_path / "target" / "deps").symlink_to(elsewhere)
    assert build.build(tmp_path, wanted=STAMP, install=Installer())
    assert files(tmp_path) == WHOLE
    assert elsewhere.is_dir()


def run_build(
    root: pathlib.Path, *, pip_status: int
) -> subprocess.CompletedProcess[str]:
    """Runs the build of the deploy file in a checkout with a stand-in pip."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (root / "deploy").mkdir(exist_ok=True)
    for name in ("build.py", "requirements.txt"):
        shutil.copy(ROOT / "deploy" / name, root / "deploy")
    (root / "bin").mkdir(exist_ok=True)
    (root / "bin" / "pip.py").write_text(PIP.format(status=pip_status))
    python = root / "bin" / "python3"
    if not python.exists():
        python.symlink_to(sys.executable)
    return subprocess.run(
        ["/bin/sh", "-c", deploy["build"]],
        cwd=root,
        env={
            "PATH": f"{root / 'bin'}{os.pathsep}{os.environ['PATH']}",
            "PYTHONPATH": str(root / "bin"),
        },
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_build_of_the_deploy_file_installs_once(
    tmp_path: pathlib.Path,
) -> None:
    ended = run_build(tmp_path, pip_status=0)
    assert (ended.returncode, ended.stderr) == (0, "")
    text = (tmp_path / "target" / "deps" / ".stamp").read_text()
    assert f"abi={sysconfig.get_config_var('SOABI')}\n" in text
    ended = run_build(tmp_path, pip_status=1)
    assert (ended.returncode, ended.stderr) == (0, "")


def test_a_failed_build_ends_with_a_status_and_one_line(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a part of the libraries that the next build accepts."""
    for _ in range(2):
        ended = run_build(tmp_path, pip_status=2)
        assert ended.returncode == 1
        assert ended.stderr.count("\n") == 1
        assert "deploy/requirements.txt ended with 2" in ended.stderr
        assert not (tmp_path / "target" / "deps").exists()
