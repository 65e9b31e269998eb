"""Settings file of a node in a platform deployment, validated on load."""

from __future__ import annotations

import pathlib
from typing import Annotated

import msgspec

from currantcart import decoding, errors

MS = 1_000.0


class Listen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses on which the node listens, as IP:PORT.

    Attributes:
      callers: HTTP requests of callers on this instance and of the local
        target.
      peers: Streams of other nodes.
      readiness: HTTP readiness probe of the platform.
      reports: HTTP reports of the target about itself.
      metrics: HTTP metrics; not served if empty.
      advertised: Address that peers dial; `peers` if empty.
    """

    callers: str
    peers: str
    readiness: str
    reports: str
    metrics: str = ""
    advertised: str = ""


class Bounds(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Time limits and ratios that the deployment requires.

    Attributes:
      revoke_seconds: Time within which a revoked key must stop working.
      drain_seconds: Time within which a draining target must stop receiving
        requests.
      grace_seconds: Time between the termination signal and the kill of the
        process.
      retry_ratio: Retries that a service may receive for each of its requests.
      retry_slack: Retries allowed beyond the ratio, over all nodes.
      retry_window_seconds: Length of the window in which retries are counted.
      cold_overshoot: Multiple of a service's cold rate that a cold target may
        get in one second.
      cold_slack: Requests that it may get beyond that.
    """

    revoke_seconds: float = 5.0
    drain_seconds: float = 2.0
    grace_seconds: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 48.0
    retry_window_seconds: float = 10.0
    cold_overshoot: float = 1.5
    cold_slack: float = 8.0


class Exchange(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How nodes exchange what they know.

    Attributes:
      mesh_nodes_max: Number of nodes up to which each node exchanges its
        status with all others; a larger fleet uses relays. 0 means no limit.
      targets_per_service: Targets of each service to which a node of a larger
        fleet keeps streams.
    """

    mesh_nodes_max: Annotated[int, msgspec.Meta(ge=0)] = 0
    targets_per_service: Annotated[int, msgspec.Meta(ge=2)] = 12


class RateQueue(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Requests that wait for a token of their workspace's rate.

    Attributes:
      enabled: Whether requests wait; if not, one without a token is refused.
      requests_max: Requests that may wait at this node.
      bytes_max: Bytes of their bodies.
    """

    enabled: bool = False
    requests_max: Annotated[int, msgspec.Meta(ge=1)] = 512
    bytes_max: Annotated[int, msgspec.Meta(ge=0)] = 8 * 1024 * 1024


class FairShares(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Fair shares of a service among workspaces.

    Attributes:
      enabled: Whether an overloaded service is shared fairly.
      workspaces_tracked: Workspaces of each service whose usage is known one
        by one; the others are counted together.
    """

    enabled: bool = False
    workspaces_tracked: Annotated[int, msgspec.Meta(ge=1, le=256)] = 16


class Placement(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Selection of targets.

    Attributes:
      by_completion: Whether a request goes to the target that is expected to
        complete it first, rather than to the least loaded one.
    """

    by_completion: bool = False


class HandBack(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Queued requests that are handed back to be placed elsewhere.

    Attributes:
      moves_max: How often one request may be handed back; 0 means never.
    """

    moves_max: Annotated[int, msgspec.Meta(ge=0, le=4)] = 0


class Quarantine(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Requests under which targets have ended.

    Attributes:
      ends_max: Targets that may end under a request before it is sent to no
        other one; 0 means no limit.
      requests_max: Requests under which targets have ended that are kept.
      suspect_seconds: Time after an end for which a request remains suspect.
      quarantine_seconds: Time after the last end until a request that was
        quarantined is sent to one target again.
    """

    ends_max: Annotated[int, msgspec.Meta(ge=0, le=8)] = 3
    requests_max: Annotated[int, msgspec.Meta(ge=16, le=4096)] = 256
    suspect_seconds: Annotated[float, msgspec.Meta(gt=0)] = 120.0
    quarantine_seconds: Annotated[float, msgspec.Meta(gt=0)] = 600.0


class ProxySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one node.

    Attributes:
      instance: Name of this instance, unique in the fleet.
      failure_domain: Failure domain of this instance.
      region: Region of the failure domain.
      service: Service that the local target serves.
      target: Address of the local target.
      listen: Addresses on which the node listens.
      store: Address of the platform's store.
      bounds: Time limits and ratios of the deployment.
      descriptors: File descriptors that the process may open.
      memory_mb: Memory that the process may use, in MiB; it limits the bodies
        that are held.
      first_start: Whether the whole fleet starts for the first time, so that
        no earlier process of the node has used the target.
      exchange: How nodes exchange what they know.
      rate_queue: Requests that wait for a token of their workspace's rate.
      fair_shares: Fair shares of a service among workspaces.
      placement: Selection of targets.
      hand_back: Queued requests that are handed back.
      quarantine: Requests under which targets have ended.
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
    memory_mb: Annotated[int, msgspec.Meta(ge=64)] = 300
    first_start: bool = False
    exchange: Exchange = Exchange()
    rate_queue: RateQueue = RateQueue()
    fair_shares: FairShares = FairShares()
    placement: Placement = Placement()
    hand_back: HandBack = HandBack()
    quarantine: Quarantine = Quarantine()


def split_address(value: str) -> tuple[str, int]:
    """Splits `IP:PORT` into host and port.

    Raises:
      errors.SettingsError: The value has no host or no numeric port.
    """
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise errors.SettingsError(
            f"found {value!r}, allowed: IP:PORT",
            code=errors.Code.SETTINGS_INVALID,
        )
    return host, int(port)


def load(path: pathlib.Path) -> ProxySettings:
    """Reads and validates a settings file.

    Raises:
      errors.SettingsError: The file cannot be read or is invalid.
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
    """Parses and validates the text of a settings file.

    Args:
      text: Content of the file, JSON with optional comments.
      source: Name of the file, for error messages.

    Raises:
      errors.SettingsError: The text is invalid.
    """
    code = errors.Code.SETTINGS_INVALID
    try:
        values = msgspec.json.decode(text)
    except decoding.ERRORS:
        # The JSONC parser is slow to import and rarely needed: files that a
        # platform renders seldom contain comments.
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
