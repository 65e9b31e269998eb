"""Settings of a node that a platform starts, checked as they are read."""

from __future__ import annotations

import pathlib
from typing import Annotated

import msgspec

from currantcart import errors

MS = 1_000.0


class Listen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses on which the node listens, as IP:PORT.

    Attributes:
      callers: HTTP of callers on this machine and of the own target.
      peers: Streams of other nodes.
      readiness: HTTP of the platform's readiness probe.
      reports: HTTP of the target's reports about itself.
      metrics: HTTP of the metrics; empty leaves them out.
      advertised: Where peers are told to dial, if that differs from `peers`.
    """

    callers: str
    peers: str
    readiness: str
    reports: str
    metrics: str = ""
    advertised: str = ""


class Bounds(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Times and ratios that the deployment asks to be kept.

    Attributes:
      revoke_seconds: Time within which a withdrawn key must stop working.
      drain_seconds: Time within which a draining target gets nothing more.
      grace_seconds: Time from the signal to stop until the process is ended.
      retry_ratio: Repeats a service may get for each of its requests.
      retry_slack: Repeats beyond that, over all nodes.
      retry_window_seconds: Length of the window in which they count.
    """

    revoke_seconds: float = 5.0
    drain_seconds: float = 2.0
    grace_seconds: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 48.0
    retry_window_seconds: float = 10.0


class ProxySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one node.

    Attributes:
      instance: Name of this instance, unique in the fleet.
      failure_domain: Where it runs.
      region: Region of the failure domain.
      service: Service of the target beside it.
      target: Address of that target.
      listen: Own addresses.
      store: Address of the platform's store.
      bounds: Times and ratios to keep.
      descriptors: Files and sockets that the process may open.
    """

    instance: str
    failure_domain: str
    region: str
    service: str
    target: str
    listen: Listen
    store: str
    bounds: Bounds = Bounds()
    descriptors: Annotated[int, msgspec.Meta(ge=512)] = 4_096


def split_address(value: str) -> tuple[str, int]:
    """Splits `IP:PORT`.

    Raises:
      errors.SettingsError: It is no address.
    """
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise errors.SettingsError(
            f"found {value!r}, allowed: IP:PORT",
            code=errors.Code.SETTINGS_INVALID,
        )
    return host, int(port)


def load(path: pathlib.Path) -> ProxySettings:
    """Reads and checks a settings file.

    Raises:
      errors.SettingsError: The file is missing or does not validate.
    """
    code = errors.Code.SETTINGS_INVALID
    try:
        text = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: {error.strerror}", code=code
        ) from error
    return parse(text, source=str(path))


def parse(text: bytes, *, source: str) -> ProxySettings:
    """Checks the text of a settings file.

    Raises:
      errors.SettingsError: It does not validate.
    """
    code = errors.Code.SETTINGS_INVALID
    try:
        values = msgspec.json.decode(text)
    except msgspec.DecodeError:
        # Comments are rare where a platform renders the file, and their
        # reader is slow to import.
        from currantcart.settings import jsonc

        values = jsonc.parse_text(text.decode(), source=source, code=code)
    try:
        settings = msgspec.convert(values, ProxySettings)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(f"{source}: {error}", code=code) from error
    for address in (
        settings.target,
        settings.store,
        settings.listen.callers,
        settings.listen.peers,
        settings.listen.readiness,
        settings.listen.reports,
    ):
        split_address(address)
    return settings
