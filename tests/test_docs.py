"""Documentation pages that must agree with the code."""

from __future__ import annotations

import pathlib
import re

import pytest

from bench import reference
from currantcart import errors, run
from currantcart.wire import messages

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"


def test_settings_page_is_generated_from_the_models() -> None:
    assert reference.PAGE.read_text() == reference.page()


def test_callers_page_names_every_code_with_its_status() -> None:
    text = (DOCS / "reference/callers.md").read_text()
    for code, status in errors.HTTP_STATUS.items():
        assert re.search(rf"`{code}`.*\| {status} \|", text), code


def test_commands_page_names_every_command() -> None:
    text = (DOCS / "reference/commands.md").read_text()
    for command in run.COMMANDS:
        last = str(command.name).split(" ")[-1]
        assert last in text, command.name


def test_wire_page_names_every_message() -> None:
    text = (DOCS / "reference/wire.md").read_text().lower()
    for cls in messages.CLASSES.values():
        assert cls.__name__.lower() in text


@pytest.mark.parametrize(
    "page", sorted(p.relative_to(ROOT) for p in DOCS.rglob("*.md")), ids=str
)
def test_links_point_to_existing_files(page: pathlib.Path) -> None:
    text = (ROOT / page).read_text()
    for target in re.findall(r"\]\(([^)#:]+)\)", text):
        assert (ROOT / page.parent / target).exists(), target
