"""Parsing of JSON with comments into validated models.

An error message names the line (syntax) or the path of the field, what was
found and what is allowed, since operators correct such files under pressure.
"""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterable
from typing import Any, TypeVar

import json5
import pydantic

from currantcart import errors

Model = TypeVar("Model", bound=pydantic.BaseModel)
FOUND_TEXT_MAX = 60


def reject_duplicate_names(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object.

    Raises:
      ValueError: A name occurs twice.
    """
    built: dict[str, Any] = {}
    for name, value in pairs:
        if name in built:
            raise ValueError(f"the name {name!r} is used twice")
        built[name] = value
    return built


def parse_text(text: str, *, source: str, code: errors.Code) -> dict[str, Any]:
    """Parses a JSON object with comments.

    Args:
      text: JSON with comments.
      source: File name in error messages.
      code: Code of the error to raise.

    Returns:
      The top-level object.

    Raises:
      errors.SettingsError: The text is not a JSON object.
    """
    try:
        parsed = json5.loads(text, object_pairs_hook=reject_duplicate_names)
    except (ValueError, RecursionError) as error:
        message = str(error).replace("<string>:", "line ")
        raise errors.SettingsError(f"{source}: {message}", code=code) from error
    if not isinstance(parsed, dict):
        raise errors.SettingsError(
            f"{source}: found {type(parsed).__name__}, allowed: an object",
            code=code,
        )
    return parsed


def describe(error: pydantic.ValidationError) -> str:
    """Returns the first validation error as `path: found X, allowed: Y`."""
    first = error.errors(include_url=False)[0]
    path = ".".join(str(part) for part in first["loc"]) or "top level"
    if first["type"] == "missing":
        return f"{path}: found nothing, allowed: a value (it is required)"
    if first["type"] == "extra_forbidden":
        return f"{path}: found an unknown field, allowed: the documented ones"
    found = json.dumps(first["input"], default=str)[:FOUND_TEXT_MAX]
    allowed = first["msg"].removeprefix("Value error, ")
    return f"{path}: found {found}, allowed: {allowed}"


def validate(
    model: type[Model],
    values: dict[str, Any],
    *,
    source: str,
    code: errors.Code,
) -> Model:
    """Validates parsed values against a model.

    Args:
      model: The model.
      values: Parsed values.
      source: File name in error messages.
      code: Code of the error to raise.

    Raises:
      errors.SettingsError: A field is unknown, missing or invalid.
    """
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        more = error.error_count() - 1
        suffix = f" (and {more} more)" if more else ""
        raise errors.SettingsError(
            f"{source}: {describe(error)}{suffix}", code=code
        ) from error


def read_file(path: pathlib.Path, *, code: errors.Code) -> str:
    """Reads a text file.

    Raises:
      errors.SettingsError: The file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path}: cannot be read: {error}", code=code
        ) from error
