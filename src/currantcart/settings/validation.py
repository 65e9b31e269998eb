"""Validation of parsed values against models.

An error message names the path of the field, what was found and what is
allowed, since operators correct such files under pressure.
"""

from __future__ import annotations

import json
from typing import Any, TypeVar

import pydantic

from currantcart import errors

Model = TypeVar("Model", bound=pydantic.BaseModel)
FOUND_TEXT_MAX = 60


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
