"""Builds the program as one executable file and measures its start.

`shiv` packs the wheel and the locked packages into one executable archive. On
its first start the archive is unpacked into `SHIV_ROOT`, a folder in memory on
instances without disks; the program then runs in the same process.
"""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from bench import fleet, measure

DIST = pathlib.Path("dist")
PROGRAM = DIST / "currantcart"


def run(*command: str, **options: str) -> str:
    """Runs a command with additional environment variables.

    Returns:
      Its standard output.
    """
    done = subprocess.run(
        command,
        check=True,
        capture_output=True,
        text=True,
        env={**os.environ, **options},
    )
    return done.stdout


def build() -> None:
    """Builds the program from the sources and the locked packages."""
    DIST.mkdir(exist_ok=True)
    tool = pathlib.Path(sys.executable).parent
    run(
        sys.executable, "-m", "pip", "wheel", "--quiet", "--no-deps",
        "--no-build-isolation", "--wheel-dir", str(DIST), ".",
    )  # fmt: skip
    wheel = max(DIST.glob("currantcart-*.whl"), key=os.path.getmtime)
    with tempfile.TemporaryDirectory() as packages:
        run(
            sys.executable, "-m", "pip", "install", "--quiet", "--target",
            packages, "--constraint", str(constraints(packages)), str(wheel),
        )  # fmt: skip
        run(
            str(tool / "shiv"), "--site-packages", packages, "--compressed",
            "--reproducible", "--python", "/usr/bin/env python3.11",
            "--console-script", "currantcart", "--output-file", str(PROGRAM),
        )  # fmt: skip


def constraints(folder: str) -> pathlib.Path:
    """Writes the locked versions without hashes as a constraints file."""
    path = pathlib.Path(f"{folder}.constraints")
    lines = pathlib.Path("requirements.lock").read_text().splitlines()
    pins = [line.split(" ")[0] for line in lines if "==" in line[:80]]
    path.write_text("\n".join(pin for pin in pins if pin[0].isalnum()))
    return path


def children_of(pid: int) -> list[str]:
    """Returns the ids of the child processes of a process."""
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return path.read_text().split()


def threads_of(pid: int) -> int:
    """Returns the number of threads of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


def start_seconds(root: str) -> float:
    """Returns the duration of a start with `--version`, in seconds."""
    began = time.monotonic()
    run(str(PROGRAM.resolve()), "--version", SHIV_ROOT=root)
    return time.monotonic() - began


def run_node(root: str) -> dict[str, int]:
    """Runs a node from the program and counts its processes and threads."""
    ports = [f"{fleet.HOST}:{port}" for port in fleet.free_ports(5)]
    settings = {
        "instance": "one",
        "failure_domain": "a",
        "listen": dict(
            zip(("callers", "peers", "admin"), ports[:3], strict=True)
        ),
        "target": {"service": "s", "address": ports[3], "slots": 1},
        "fleet_secret": fleet.SECRET,
        "store": ports[4],
    }
    path = pathlib.Path(root, "node.json")
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [str(PROGRAM.resolve()), "node", "--settings", str(path)],
        env={**os.environ, "SHIV_ROOT": root},
        stderr=subprocess.DEVNULL,
    )
    try:
        time.sleep(3)
        return {
            "children": len(children_of(process.pid)),
            "threads": threads_of(process.pid),
            "running": int(process.poll() is None),
        }
    finally:
        process.kill()
        process.wait()


def main() -> int:
    """Builds, runs and measures the program."""
    build()
    with tempfile.TemporaryDirectory() as root:
        first = start_seconds(root)
        again = min(start_seconds(root) for _ in range(3))
        observed = run_node(root)
    print(
        measure.result(
            "binary",
            {
                "size_mb": PROGRAM.stat().st_size / 1e6,
                "first_start_s": first,
                "start_s": again,
                "node_children": observed["children"],
                "node_threads": observed["threads"],
                "node_running": observed["running"],
            },
        )
    )
    return 0 if observed["running"] and not observed["children"] else 1


if __name__ == "__main__":
    sys.exit(main())
