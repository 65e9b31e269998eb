"""Reading of files that are named on the command line."""

from __future__ import annotations

import pathlib

from currantcart import errors


def read(path: pathlib.Path) -> bytes:
    """Returns the content of a file.

    Raises:
      errors.CurrantcartError: The file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.CurrantcartError(
            errors.Code.NOT_FOUND,
            errors.Step.COMMAND,
            f"{path}: {error.strerror}",
        ) from error
