"""Parsing of JSON with comments.

An error message names the line, since operators correct such files under
pressure. A node is deployed without the libraries of the models that validate
the parsed values, so those are in a module of their own.
"""

from __future__ import annotations

import math
import pathlib
from collections.abc import Iterable
from typing import Any

import json5

from currantcart import errors


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


def finite_number(text: str) -> float:
    """Returns the value of a number.

    Raises:
      ValueError: The value is infinite or not a number.
    """
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"found {text}, allowed: a finite number")
    return value


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
        parsed = json5.loads(
            text,
            object_pairs_hook=reject_duplicate_names,
            parse_float=finite_number,
            parse_constant=finite_number,
        )
    except (ValueError, RecursionError) as error:
        message = str(error).replace("<string>:", "line ")
        raise errors.SettingsError(f"{source}: {message}", code=code) from error
    if not isinstance(parsed, dict):
        raise errors.SettingsError(
            f"{source}: found {type(parsed).__name__}, allowed: an object",
            code=code,
        )
    return parsed


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
