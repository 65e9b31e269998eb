"""Reading files that a command was given."""

from __future__ import annotations

import pathlib

from currantcart import errors


def read(path: pathlib.Path) -> bytes:
    """Reads a file.

    Raises:
      errors.CurrantcartError: It can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.CurrantcartError(
            errors.Code.NOT_FOUND,
            errors.Step.COMMAND,
            f"{path}: {error.strerror}",
        ) from error
