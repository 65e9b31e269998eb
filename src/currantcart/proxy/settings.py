"""Settings file of a node in a platform deployment, validated on load."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import msgspec

from currantcart import bounds, decoding, errors

MS = 1_000.0
COUNT_MAX = 2**31 - 1
SECONDS_MIN = 0.001
SECONDS_MAX = 1e9
AMOUNT_MAX = 1e9
FOUND_TEXT_MAX = 60
OPTIONAL_ADDRESSES = {"listen.metrics", "listen.advertised"}

Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=SECONDS_MAX)]
PositiveSeconds = Annotated[float, msgspec.Meta(ge=SECONDS_MIN, le=SECONDS_MAX)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=AMOUNT_MAX)]


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

    revoke_seconds: Seconds = 5.0
    drain_seconds: Seconds = 2.0
    grace_seconds: Seconds = 6.0
    retry_ratio: Amount = 0.2
    retry_slack: Amount = 48.0
    retry_window_seconds: PositiveSeconds = 10.0
    cold_overshoot: Amount = 1.5
    cold_slack: Amount = 8.0


class Exchange(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How nodes exchange what they know.

    Attributes:
      mesh_nodes_max: Number of nodes up to which each node exchanges its
        status with all others; a larger fleet uses relays. 0 means no limit.
      targets_per_service: Targets of each service to which a node of a larger
        fleet keeps streams.
    """

    mesh_nodes_max: Count = 0
    targets_per_service: Annotated[int, msgspec.Meta(ge=2, le=COUNT_MAX)] = 12


class RateQueue(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Requests that wait for a token of their workspace's rate.

    Attributes:
      enabled: Whether requests wait; if not, one without a token is refused.
      requests_max: Requests that may wait at this node.
      bytes_max: Bytes of their bodies.
    """

    enabled: bool = False
    requests_max: Annotated[int, msgspec.Meta(ge=1, le=COUNT_MAX)] = 512
    bytes_max: Count = 8 * 1024 * 1024


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
    suspect_seconds: PositiveSeconds = 120.0
    quarantine_seconds: PositiveSeconds = 600.0


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
    descriptors: Annotated[int, msgspec.Meta(ge=512, le=COUNT_MAX)] = 4_096
    memory_mb: Annotated[int, msgspec.Meta(ge=64, le=COUNT_MAX)] = 300
    first_start: bool = False
    exchange: Exchange = Exchange()
    rate_queue: RateQueue = RateQueue()
    fair_shares: FairShares = FairShares()
    placement: Placement = Placement()
    hand_back: HandBack = HandBack()
    quarantine: Quarantine = Quarantine()


def split_address(value: str) -> tuple[str, int]:
    """Splits `IP:PORT` into host and port.

    Names are not accepted: the node looks up none, since that needs a thread.

    Raises:
      errors.SettingsError: The host is no IP number, or the port not one from
        1 to 65535.
    """
    if not bounds.is_address(value):
        raise errors.SettingsError(
            f"found {value[:FOUND_TEXT_MAX]!r}, allowed: IP:PORT",
            code=errors.Code.SETTINGS_INVALID,
        )
    host, _, port = value.rpartition(":")
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
        values = parse_comments(text, source=source)
    try:
        settings = msgspec.convert(values, ProxySettings)
    except decoding.ERRORS as error:
        raise errors.SettingsError(f"{source}: {error}", code=code) from error
    listen = settings.listen
    addresses = {
        "target": settings.target,
        "store": settings.store,
        "listen.callers": listen.callers,
        "listen.peers": listen.peers,
        "listen.readiness": listen.readiness,
        "listen.reports": listen.reports,
        "listen.metrics": listen.metrics,
        "listen.advertised": listen.advertised,
    }
    for name, address in addresses.items():
        if name in OPTIONAL_ADDRESSES and not address:
            continue
        try:
            split_address(address)
        except errors.SettingsError as error:
            raise errors.SettingsError(
                f"{source}: {name}: {error.detail}", code=code
            ) from error
    return settings


def parse_comments(text: bytes, *, source: str) -> dict[str, Any]:
    """Parses JSON with comments.

    Raises:
      errors.SettingsError: The text is invalid.
    """
    # The parser is slow to import and rarely needed: files that a platform
    # renders seldom contain comments.
    from currantcart.settings import jsonc

    code = errors.Code.SETTINGS_INVALID
    try:
        decoded = text.decode()
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{source}: {error}", code=code) from error
    return jsonc.parse_text(decoded, source=source, code=code)
