"""Options, errors and the base class that all commands share."""

from __future__ import annotations

import asyncio
import getpass
import os
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from currantcart import clock, errors
from currantcart.config import edits
from currantcart.settings import model as settings_model
from currantcart.store import http as store_http

STORE_VARIABLE = "CURRANTCART_STORE"
ADMIN_VARIABLE = "CURRANTCART_ADMIN"
ADMIN_SECONDS_MAX = 5.0
Value = TypeVar("Value")

JSON_OPTION = option("json", None, "Write JSON.")
STORE_OPTION = option(
    "store", None, f"Store address (or {STORE_VARIABLE}).", flag=False
)
AUTHOR_OPTION = option("author", None, "Name in the history.", flag=False)
ADMIN_OPTION = option(
    "admin", None, f"A node's admin address (or {ADMIN_VARIABLE}).", flag=False
)
SETTINGS_OPTION = option("settings", "s", "Settings file.", flag=False)
STORE_OPTIONS: list[Option] = [JSON_OPTION, STORE_OPTION, AUTHOR_OPTION]
ADMIN_OPTIONS: list[Option] = [JSON_OPTION, ADMIN_OPTION]


class UsageError(errors.CurrantcartError):
    """Invalid usage of the command line."""

    def __init__(self, detail: str) -> None:
        super().__init__(errors.Code.BAD_REQUEST, errors.Step.COMMAND, detail)


class BaseCommand(command.Command):
    """Base class of all commands, with readers for shared options."""

    def address(self, name: str, variable: str) -> str:
        """Returns an address from an option or an environment variable.

        Raises:
          UsageError: The address is missing or invalid.
        """
        value = self.option(name) or os.environ.get(variable, "")
        try:
            return settings_model.check_address(value)
        except ValueError as error:
            raise UsageError(
                f"--{name}: found {value!r}, allowed: {error}"
            ) from error

    def settings_path(self) -> pathlib.Path:
        """Returns the path given by `--settings`.

        Raises:
          UsageError: The option is missing.
        """
        path = self.option("settings")
        if not path:
            raise UsageError("--settings FILE is required")
        return pathlib.Path(path)

    def edit(self, work: Callable[[edits.Editor], Awaitable[Value]]) -> Value:
        """Runs `work` with an editor on the configuration store."""

        async def run() -> Value:
            store = store_http.HttpStore(self.address("store", STORE_VARIABLE))
            author = self.option("author") or getpass.getuser()
            editor = edits.Editor(
                store=store, clock=clock.system_clock(), author=author
            )
            try:
                return await work(editor)
            finally:
                await store.close()

        return asyncio.run(run())

    def number(self, name: str) -> float | None:
        """Returns a numeric option, or None if it is not given.

        Raises:
          UsageError: The value is not a number.
        """
        text = self.option(name)
        if text is None:
            return None
        try:
            return float(text)
        except ValueError:
            raise UsageError(
                f"--{name}: found {text!r}, allowed: a number"
            ) from None


async def ask_node(address: str, path: str) -> Any:
    """Requests JSON from the admin port of a node.

    Raises:
      errors.CurrantcartError: The node did not respond.
    """
    return await fetch(address, path, lambda response: response.json())


async def fetch(
    address: str,
    path: str,
    read: Callable[[aiohttp.ClientResponse], Awaitable[Value]],
    *,
    method: str = "GET",
) -> Value:
    """Requests a page from a port of a node.

    Args:
      address: Address of the port.
      path: Path of the page.
      read: Reads the body of the response.
      method: HTTP method.

    Raises:
      errors.CurrantcartError: The node did not respond.
    """
    timeout = aiohttp.ClientTimeout(total=ADMIN_SECONDS_MAX)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"http://{address}{path}") as response,
        ):
            return await read(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise errors.CurrantcartError(
            errors.Code.PEER_UNREACHABLE,
            errors.Step.COMMAND,
            f"no answer: {error or type(error).__name__}",
            peer=address,
        ) from error
