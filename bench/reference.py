"""Writes the settings reference from the validated models.

`python -m bench.reference` writes the page; a test compares it.
"""

from __future__ import annotations

import inspect
import pathlib
import re

import pydantic
from pydantic_core import PydanticUndefined

from currantcart.settings import model

PAGE = pathlib.Path(__file__).parents[1] / "docs/reference/settings.md"
SECTIONS: tuple[tuple[str, type[pydantic.BaseModel]], ...] = (
    ("", model.Settings),
    ("listen", model.Listen),
    ("target", model.Target),
    ("tls", model.Tls),
    ("trace", model.Trace),
)
HEAD = """# Settings of a node

JSON with comments; `currantcart settings check FILE` checks it. An unknown or
bad field is named with what was found and what is allowed. This page is made
from the models by `python -m bench.reference`.
"""


def descriptions(section: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the text of each attribute in a model's doc comment."""
    text = inspect.getdoc(section) or ""
    _, _, attributes = text.partition("Attributes:\n")
    found: dict[str, str] = {}
    for part in re.split(r"\n(?=  \w+: )", "\n" + attributes):
        name, separator, described = part.strip().partition(": ")
        if separator:
            found[name] = " ".join(described.split())
    return found


def default_of(field: pydantic.fields.FieldInfo) -> str:
    """Returns how a default reads on the page."""
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, pydantic.BaseModel):
        return "see below"
    return f"`{field.default}`"


def rows(name: str, section: type[pydantic.BaseModel]) -> list[str]:
    """Returns the table of one section."""
    texts = descriptions(section)
    title = f"## `{name}`" if name else "## Top level"
    lines = [
        "",
        title,
        "",
        "| field | default | meaning |",
        "| --- | --- | --- |",
    ]
    for field_name, field in section.model_fields.items():
        meaning = texts.get(field_name, "")
        lines.append(f"| `{field_name}` | {default_of(field)} | {meaning} |")
    return lines


def page() -> str:
    """Returns the whole page."""
    lines = [HEAD.rstrip("\n")]
    for name, section in SECTIONS:
        lines += rows(name, section)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
