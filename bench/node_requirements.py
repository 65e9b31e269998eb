"""Extracts the packages that a node needs from `requirements.lock`.

The lock file also pins development tools. They are left out because every
package that is installed or imported adds to the cost of starting a node.
"""

from __future__ import annotations

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[1]
LOCK = ROOT / "requirements.lock"
TARGET = ROOT / "deploy" / "requirements.txt"
WANTED = (
    "httptools",
    "json5",
    "msgspec",
    "prometheus-client",
    "structlog",
    "uvloop",
)
HEADER = (
    "# Cut out of requirements.lock by `python -m bench.node_requirements`.\n"
)
BLOCK = re.compile(r"(?m)^(?=[A-Za-z0-9_.-]+==)")


def cut(lock: str) -> str:
    """Returns the entries of a lock file for the packages in `WANTED`."""
    kept = [HEADER]
    for block in BLOCK.split(lock):
        if block.partition("==")[0] in WANTED:
            kept += [
                f"{line}\n"
                for line in block.splitlines()
                if not line.strip().startswith("#")
            ]
    return "".join(kept)


if __name__ == "__main__":
    TARGET.write_text(cut(LOCK.read_text()))
