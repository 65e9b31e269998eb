"""The validated model of a node's settings file."""

from __future__ import annotations

import enum
import ipaddress
import pathlib
from typing import Annotated

import pydantic

from currantcart import errors
from currantcart.settings import jsonc, validation

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
SECRET_CHARS_MIN = 16


class StrictModel(pydantic.BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def check_address(value: str) -> str:
    """Returns an address of the form `IP:PORT` unchanged.

    Raises:
      ValueError: The value is not of that form; says what is allowed.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError:
        raise ValueError("an IP number and a port, as 127.0.0.1:8080") from None
    if not 0 < port_number < 65536:
        raise ValueError("a port from 1 to 65535")
    return value


Address = Annotated[str, pydantic.AfterValidator(check_address)]


def split_address(value: str) -> tuple[str, int]:
    """Splits a validated address into host and port."""
    host, _, port = value.rpartition(":")
    return host.strip("[]"), int(port)


class Listen(StrictModel):
    """Addresses on which the node listens.

    Attributes:
      callers: HTTP requests of callers and of the local target.
      peers: TCP streams and UDP gossip of other nodes.
      admin: HTTP interface for metrics and status.
    """

    callers: Address
    peers: Address
    admin: Address


class Target(StrictModel):
    """The local target.

    Attributes:
      service: Service that the target serves.
      address: Address on which the target listens.
      slots: Calls that the target is declared to run concurrently.
      connections: Maximum number of connections that the target accepts.
      ramp_ms: Time after a start over which the target's share of calls rises
        to its full value.
    """

    service: Name
    address: Address
    slots: int = pydantic.Field(ge=1, le=100_000)
    connections: int = pydantic.Field(default=256, ge=1, le=100_000)
    ramp_ms: float = pydantic.Field(default=5_000, ge=0, le=600_000)


class Tls(StrictModel):
    """Files for mutual TLS between nodes, in PEM.

    Attributes:
      certificate: Certificate of the node.
      key: Private key of the certificate.
      authority: Certificate of the authority that signs the nodes'
        certificates.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path


class TraceExporter(enum.StrEnum):
    """Destination of finished spans."""

    NONE = "none"
    LOG = "log"
    OTLP = "otlp"


class Trace(StrictModel):
    """Settings of tracing.

    Attributes:
      exporter: Destination of finished spans.
      endpoint: URL of the OTLP endpoint over HTTP, such as http://127.0.0.1:4318/v1/traces.
      ratio: Fraction of root calls that are sampled if the caller's
        `traceparent` does not decide.
    """

    exporter: TraceExporter = TraceExporter.NONE
    endpoint: str = "http://127.0.0.1:4318/v1/traces"
    ratio: float = pydantic.Field(default=0.01, ge=0, le=1)


class LogLevel(enum.StrEnum):
    """Minimum level of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Settings(StrictModel):
    """Settings of one node.

    Attributes:
      instance: Name of this instance, unique in the fleet.
      failure_domain: Failure domain of this instance.
      region: Region of the failure domain.
      listen: Addresses on which the node listens.
      target: The local target.
      fleet_secret_file: File with the secret that all nodes share.
      fleet_secret: The secret itself, for trials.
      store: Address of the platform's key-value store.
      seeds: Addresses of peers through which the node joins the fleet.
      fleet_instances: Maximum number of nodes that ever run at once; each
        workspace's rate and burst are divided by it.
      drain_ms: Maximum duration of a graceful shutdown, in milliseconds.
      overload_control: False turns the node into a plain proxy with naive
        retries; for baseline measurements only.
      tls: Mutual TLS between nodes; plain TCP if absent.
      trace: Settings of tracing.
      log_level: Minimum level of log lines.
    """

    instance: Name
    failure_domain: Name
    region: Name = "default"
    listen: Listen
    target: Target
    fleet_secret_file: pathlib.Path | None = None
    fleet_secret: pydantic.SecretStr | None = None
    store: Address
    seeds: list[Address] = []
    fleet_instances: int = pydantic.Field(default=1, ge=1, le=10_000)
    drain_ms: float = pydantic.Field(default=30_000, ge=0, le=3_600_000)
    overload_control: bool = True
    tls: Tls | None = None
    trace: Trace = Trace()
    log_level: LogLevel = LogLevel.INFO

    @pydantic.model_validator(mode="after")
    def check_secret(self) -> Settings:
        """Rejects settings without exactly one source of the fleet secret."""
        if (self.fleet_secret is None) == (self.fleet_secret_file is None):
            raise ValueError("one of fleet_secret_file and fleet_secret")
        return self

    def secret(self) -> bytes:
        """Returns the fleet secret.

        Raises:
          errors.SettingsError: The file cannot be read or is too short.
        """
        code = errors.Code.SETTINGS_INVALID
        if self.fleet_secret_file is not None:
            text = jsonc.read_file(self.fleet_secret_file, code=code).strip()
        else:
            assert self.fleet_secret is not None
            text = self.fleet_secret.get_secret_value()
        if len(text) < SECRET_CHARS_MIN:
            raise errors.SettingsError(
                f"fleet secret: found {len(text)} characters, "
                f"allowed: {SECRET_CHARS_MIN} or more",
                code=code,
            )
        return text.encode()


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
      errors.SettingsError: The file cannot be read or is not valid.
    """
    code = errors.Code.SETTINGS_INVALID
    values = jsonc.parse_text(
        jsonc.read_file(path, code=code), source=str(path), code=code
    )
    return validation.validate(Settings, values, source=str(path), code=code)
