"""Generates the settings reference page from the settings models.

`python -m bench.reference` writes the page; a test compares it with the models.
"""

from __future__ import annotations

import inspect
import pathlib
import re

import msgspec
import pydantic
from pydantic_core import PydanticUndefined

from currantcart.proxy import settings as proxy_settings
from currantcart.settings import model

PAGE = pathlib.Path(__file__).parents[1] / "docs/reference/settings.md"
SECTIONS: tuple[tuple[str, type[pydantic.BaseModel]], ...] = (
    ("", model.Settings),
    ("listen", model.Listen),
    ("target", model.Target),
    ("tls", model.Tls),
    ("trace", model.Trace),
)
PROXY_SECTIONS: tuple[tuple[str, type[msgspec.Struct]], ...] = (
    ("", proxy_settings.ProxySettings),
    ("listen", proxy_settings.Listen),
    ("bounds", proxy_settings.Bounds),
    ("exchange", proxy_settings.Exchange),
    ("rate_queue", proxy_settings.RateQueue),
    ("fair_shares", proxy_settings.FairShares),
    ("placement", proxy_settings.Placement),
    ("hand_back", proxy_settings.HandBack),
    ("quarantine", proxy_settings.Quarantine),
)
PROXY_HEAD = """
# Settings of a node that a platform starts

For `currantcart proxy`; `currantcart proxy check FILE` checks it. The platform
renders it from `deploy/settings.json` at each start and change.
"""
HEAD = """# Settings of a node

JSON with comments; `currantcart settings check FILE` checks it. An unknown or
bad field is named with what was found and what is allowed. This page is made
from the models by `python -m bench.reference`.
"""


def descriptions(section: type[object]) -> dict[str, str]:
    """Returns the text of each attribute in the doc string of a model."""
    text = inspect.getdoc(section) or ""
    _, _, attributes = text.partition("Attributes:\n")
    found: dict[str, str] = {}
    for part in re.split(r"\n(?=  \w+: )", "\n" + attributes):
        name, separator, described = part.strip().partition(": ")
        if separator:
            found[name] = " ".join(described.split())
    return found


def default_of(default: object) -> str:
    """Returns the text of a default value on the page."""
    if default is PydanticUndefined or default is msgspec.NODEFAULT:
        return "required"
    if isinstance(default, pydantic.BaseModel | msgspec.Struct):
        return "see below"
    return f"`{default}`"


def rows(
    name: str, texts: dict[str, str], defaults: dict[str, object]
) -> list[str]:
    """Returns the lines of one section: its title and its table of fields."""
    title = f"## `{name}`" if name else "## Top level"
    lines = [
        "",
        title,
        "",
        "| field | default | meaning |",
        "| --- | --- | --- |",
    ]
    for field_name, default in defaults.items():
        meaning = texts.get(field_name, "")
        lines.append(f"| `{field_name}` | {default_of(default)} | {meaning} |")
    return lines


def page() -> str:
    """Returns the complete page."""
    lines = [HEAD.rstrip("\n")]
    for name, section in SECTIONS:
        defaults = {
            field_name: field.default
            for field_name, field in section.model_fields.items()
        }
        lines += rows(name, descriptions(section), defaults)
    lines.append(PROXY_HEAD.rstrip("\n"))
    for name, struct in PROXY_SECTIONS:
        defaults = {
            field.name: field.default
            for field in msgspec.structs.fields(struct)
        }
        lines += rows(name, descriptions(struct), defaults)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
