"""What a node needs before it starts: its settings and its addresses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
from collections.abc import Callable, Sequence

from currantcart import errors
from currantcart.proxy import settings as proxy_settings
from currantcart.telemetry import decisions

SETTINGS_POLL_SECONDS = 0.05
BIND_POLL_SECONDS = 0.1
LOG_MS_MIN = 1_000.0
LOG_MS_MAX = 60_000.0


class Wait:
    """A wait for one thing after another, logged at growing intervals.

    Attributes:
      event: Log event of a wait.
      since: When the wait began, in milliseconds; None before it.
      reason: What was last waited for.
      logged_at: When that was last logged.
      interval_ms: Time until the same reason is logged again.
    """

    def __init__(
        self,
        log: decisions.DecisionLog,
        now: Callable[[], float],
        *,
        event: str,
    ) -> None:
        self.log = log
        self.now = now
        self.event = event
        self.since: float | None = None
        self.reason = ""
        self.logged_at = 0.0
        self.interval_ms = 0.0

    @property
    def waited_ms(self) -> int:
        """Time since the wait began; 0 if there was none."""
        return 0 if self.since is None else round(self.now() - self.since)

    def note(self, reason: str, **values: str) -> None:
        """Notes a try that failed.

        The first one is logged at once, another reason after `LOG_MS_MIN`, and
        the same reason at intervals that double up to `LOG_MS_MAX`.
        """
        now = self.now()
        if self.since is None:
            self.since = now
        elif now - self.logged_at < (
            self.interval_ms if reason == self.reason else LOG_MS_MIN
        ):
            return
        is_same = reason == self.reason
        self.interval_ms = (
            min(2 * self.interval_ms, LOG_MS_MAX) if is_same else LOG_MS_MIN
        )
        self.reason = reason
        self.logged_at = now
        self.log.event(
            self.event, reason=reason, waited_ms=self.waited_ms, **values
        )


def bind(address: str) -> socket.socket:
    """Returns a socket that is bound to an address, and does not listen.

    Raises:
      OSError: The address is not available; `filename` holds it.
    """
    host, port = proxy_settings.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with contextlib.ExitStack() as stack:
        try:
            opened = stack.enter_context(socket.socket(family))
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.setblocking(False)
            opened.bind((host, port))
        except OSError as error:
            raise OSError(error.errno, error.strerror, address) from error
        stack.pop_all()
    return opened


def listen(addresses: Sequence[str]) -> dict[str, socket.socket]:
    """Returns sockets that listen on all addresses, by address.

    None listens before all are bound, so that nobody is accepted by a node
    that cannot start.

    Raises:
      OSError: An address is not available; `filename` holds it. No socket is
        left open.
    """
    with contextlib.ExitStack() as stack:
        bound = [
            (address, stack.enter_context(bind(address)))
            for address in addresses
        ]
        for address, opened in bound:
            try:
                opened.listen()
            except OSError as error:
                raise OSError(error.errno, error.strerror, address) from error
        stack.pop_all()
    return dict(bound)


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """What a node starts with.

    Attributes:
      settings: Settings of the node.
      stamp: Modification time and size of their file before it was read.
      sockets: Listening sockets of the node, by address.
    """

    settings: proxy_settings.ProxySettings
    stamp: tuple[float, int]
    sockets: dict[str, socket.socket]


async def prepare(
    path: pathlib.Path, *, wait: Wait, stopping: asyncio.Event
) -> Ready | None:
    """Reads the settings and binds the node's addresses.

    Both may be missing for a moment, while the file is written or the previous
    process ends. The settings are read again before each try.

    Args:
      path: Settings file.
      wait: Logs what is missing.
      stopping: Ends the wait.

    Returns:
      What the node starts with, or None if `stopping` was set before.
    """
    while not stopping.is_set():
        stamp = file_stamp(path)
        try:
            settings = proxy_settings.load(path)
            own = settings.listen
            sockets = listen(
                (own.peers, own.readiness, own.reports, own.callers)
            )
        except errors.SettingsError as error:
            wait.note(error.detail)
            seconds = SETTINGS_POLL_SECONDS
        except OSError as error:
            wait.note(str(error.strerror), address=str(error.filename))
            seconds = BIND_POLL_SECONDS
        else:
            return Ready(settings, stamp, sockets)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await stopping.wait()
    return None


def file_stamp(path: pathlib.Path) -> tuple[float, int]:
    """Returns a file's modification time and size; zeros if not accessible."""
    try:
        stat = path.stat()
    except OSError:
        return 0.0, 0
    return stat.st_mtime, stat.st_size
