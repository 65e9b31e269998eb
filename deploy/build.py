"""Installs the libraries of a node in target/deps.

Compiled libraries fit only one interpreter and one kind of machine. The folder
has a stamp that names them and the requirements, so that a folder that was
filled elsewhere is replaced, and one that fits is kept without a download. The
libraries are installed beside the folder, which is renamed when it is whole.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS = pathlib.Path("deploy", "requirements.txt")
PYTHON_MIN = (3, 11)
STAMP_NAME = ".stamp"

Install = Callable[[pathlib.Path, pathlib.Path], None]


class BuildError(Exception):
    """The libraries could not be installed."""


def stamp(requirements: bytes, *, abi: str, machine: str) -> str:
    """Returns the text that identifies what a folder of libraries fits.

    Args:
      requirements: Content of the requirements file.
      abi: Implementation, version and binary interface of the interpreter, such
        as `cpython-311-x86_64-linux-gnu`.
      machine: Kind of machine, such as `x86_64`.
    """
    digest = hashlib.sha256(requirements).hexdigest()
    return f"requirements={digest}\nabi={abi}\nmachine={machine}\n"


def is_current(folder: pathlib.Path, wanted: str) -> bool:
    """Returns whether a folder was installed in full for a stamp."""
    try:
        return (folder / STAMP_NAME).read_text() == wanted
    except (OSError, UnicodeDecodeError):
        return False


def pip_install(requirements: pathlib.Path, folder: pathlib.Path) -> None:
    """Installs the packages of a requirements file in a folder.

    Raises:
      BuildError: The installer failed; it has written the reason.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--require-hashes", "--target", str(folder)]
    ended = subprocess.run([*command, "-r", str(requirements)], check=False)
    if ended.returncode:
        raise BuildError(
            f"pip install of {requirements} ended with {ended.returncode}"
        )


def remove(path: pathlib.Path) -> None:
    """Removes a folder, a file or a link if it exists."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def build(root: pathlib.Path, *, wanted: str, install: Install) -> bool:
    """Makes target/deps hold the libraries that a stamp names.

    Args:
      root: Root of the repository.
      wanted: Stamp of this interpreter, machine and requirements.
      install: Installs a requirements file in an empty folder.

    Returns:
      Whether the libraries were installed; False if they were there.

    Raises:
      BuildError: The libraries could not be installed.
      OSError: The folder could not be written.
    """
    target = root / "target"
    target.mkdir(exist_ok=True)
    folder = target / "deps"
    unfinished = target / "deps.unfinished"
    replaced = target / "deps.replaced"
    with (target / "deps.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if is_current(folder, wanted):
            return False
        remove(unfinished)
        remove(replaced)
        install(root / REQUIREMENTS, unfinished)
        (unfinished / STAMP_NAME).write_text(wanted)
        if os.path.lexists(folder):
            folder.rename(replaced)
        unfinished.rename(folder)
        remove(replaced)
    return True


def main() -> int:
    """Installs the libraries of this repository and returns a status."""
    if sys.version_info < PYTHON_MIN:
        needed = ".".join(map(str, PYTHON_MIN))
        sys.stderr.write(
            f"build failed: Python is {platform.python_version()},"
            f" needed: {needed} or later\n"
        )
        return 1
    try:
        wanted = stamp(
            (ROOT / REQUIREMENTS).read_bytes(),
            abi=str(sysconfig.get_config_var("SOABI")),
            machine=platform.machine(),
        )
        build(ROOT, wanted=wanted, install=pip_install)
    except (BuildError, OSError) as error:
        sys.stderr.write(f"build failed: {error}\n")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
