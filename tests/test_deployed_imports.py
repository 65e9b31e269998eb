"""Libraries that a deployed node may import."""

from __future__ import annotations

import ast
import functools
import importlib.metadata
import os
import pathlib
import re
import subprocess
import sys
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]
SRC = ROOT / "src"
START = ROOT / "deploy" / "node.py"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGE = "currantcart"
REQUIREMENT = re.compile(r"(?m)^([A-Za-z0-9_.-]+)==")
IMPORT_ALL = """
import importlib, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
"""


def normalized(name: str) -> str:
    """Returns the name of a distribution as package indexes compare it."""
    return re.sub(r"[-_.]+", "-", name).lower()


def deployed() -> set[str]:
    """Returns the distributions that are installed for a node."""
    names = REQUIREMENT.findall(REQUIREMENTS.read_text())
    return {normalized(name) for name in names}


def path_of(name: str) -> pathlib.Path | None:
    """Returns the file of a module of the project; None if it is none."""
    stem = SRC.joinpath(*name.split("."))
    for path in (stem.with_suffix(".py"), stem / "__init__.py"):
        if path.is_file():
            return path
    return None


def imported(path: pathlib.Path) -> Iterator[str]:
    """Yields the modules that a file names in imports, also in functions."""
    for item in ast.walk(ast.parse(path.read_text())):
        if isinstance(item, ast.Import):
            yield from (name.name for name in item.names)
        elif isinstance(item, ast.ImportFrom):
            assert item.module is not None, f"relative import in {path}"
            assert not item.level, f"relative import in {path}"
            yield item.module
            yield from (f"{item.module}.{name.name}" for name in item.names)


@functools.cache
def reachable() -> dict[str, set[str]]:
    """Returns the modules that a node may import, with their importers."""
    found: dict[str, set[str]] = {}
    pending = [(name, START.name) for name in imported(START)]
    while pending:
        name, importer = pending.pop()
        is_new = name not in found
        found.setdefault(name, set()).add(importer)
        path = path_of(name)
        if path is None or not is_new:
            continue
        pending += [(other, name) for other in imported(path)]
        if "." in name:
            pending.append((name.rpartition(".")[0], name))
    return found


def test_a_node_imports_only_what_is_deployed_with_it() -> None:
    """Guards against an import that fails only on a deployed node."""
    distributions = importlib.metadata.packages_distributions()
    missing = {
        name: importers
        for name, importers in reachable().items()
        if (top := name.partition(".")[0]) != PACKAGE
        and top not in sys.stdlib_module_names
        and not deployed() & set(map(normalized, distributions.get(top, ())))
    }
    assert missing == {}


def test_every_module_of_a_node_can_be_imported(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a deployed library that needs one that is not."""
    for name in deployed():
        distribution = importlib.metadata.distribution(name)
        files = distribution.files or []
        for top in {item.parts[0] for item in files} - {"..", "__pycache__"}:
            (tmp_path / top).symlink_to(str(distribution.locate_file(top)))
    modules = [name for name in reachable() if path_of(name)]
    assert f"{PACKAGE}.proxy.serve" in modules
    assert f"{PACKAGE}.settings.jsonc" in modules
    ended = subprocess.run(
        [sys.executable, "-S", "-c", IMPORT_ALL, *sorted(modules)],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{tmp_path}{os.pathsep}{SRC}",
            "PYTHONDONTWRITEBYTECODE": "1",
        },
        capture_output=True,
        text=True,
        check=False,
    )
    assert (ended.returncode, ended.stderr) == (0, "")
