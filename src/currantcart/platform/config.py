"""Parsing of the operator's configuration document into the catalog."""

from __future__ import annotations

from typing import Any

import msgspec

from currantcart import bounds, decoding, errors
from currantcart.catalog import model

MS = 1_000.0
NEVER_MS = 3_600_000.0


class Table(msgspec.Struct):
    """A table whose rows hold values in the order of the columns.

    Attributes:
      columns: Names of the columns.
      rows: Rows of values; null, or nothing at the end, if omitted.
    """

    columns: list[str]
    rows: list[list[Any]]

    def records(self) -> list[dict[str, Any]]:
        """Returns each row as values by column name, without omitted ones."""
        return [
            {
                column: value
                for column, value in zip(self.columns, row, strict=False)
                if value is not None
            }
            for row in self.rows
        ]


class SplitPart(msgspec.Struct):
    """A service in a traffic split."""

    service: str
    weight: bounds.Amount


class RouteRecord(msgspec.Struct, rename="kebab"):
    """A route in the document."""

    name: str
    host: str
    prefix: str
    kind: str = "non_idempotent"
    service: str | None = None
    traffic_split: list[SplitPart] | None = None
    timeout_s: bounds.Seconds = NEVER_MS / MS
    target_latency_s: bounds.Seconds = 1.0
    max_attempts: bounds.Count = 1
    priority: bounds.Integer = model.PRIORITY_DEFAULT
    auth_exempt: bool = False


class ServiceRecord(msgspec.Struct, rename="kebab"):
    """A service in the document."""

    name: str
    max_connections: bounds.Count = 100
    cold_start_s: bounds.Seconds = 0.0
    cold_per_s: bounds.Amount = 0.0
    health_path: bounds.Printable = ""


class TenantRecord(msgspec.Struct, rename="kebab"):
    """A tenant in the document; the catalog's workspace."""

    name: bounds.Printable
    api_keys: list[str] = []
    priority: bounds.Integer | None = None
    rate_per_s: bounds.Amount = 0.0
    burst_size: bounds.Amount = 0.0


class LimitsRecord(msgspec.Struct, rename="kebab", frozen=True):
    """Limits on clients' requests."""

    max_header_bytes: bounds.Count = 16_384
    max_body_bytes: bounds.Count = 64 * 1024 * 1024
    header_timeout_s: bounds.Seconds = 3.0
    idle_timeout_s: bounds.Seconds = 15.0


class Document(msgspec.Struct, rename="kebab"):
    """The complete document."""

    version: bounds.Ordinal
    routes: Table
    services: Table
    tenants: Table | None = None
    limits: LimitsRecord = LimitsRecord()
    base_version: int | None = None


UNUSED = frozenset({"protocol", "tls"})
"""Known columns of services that nodes do not use."""


def unread_fields(text: bytes, document: Document) -> tuple[str, ...]:
    """Returns the names of fields and columns that are not supported.

    Args:
      text: Document as JSON.
      document: The same document, decoded.
    """
    tables: list[tuple[list[str], type[msgspec.Struct]]] = [
        (
            list(msgspec.json.decode(text, type=dict[str, msgspec.Raw])),
            Document,
        ),
        (document.routes.columns, RouteRecord),
        (document.services.columns, ServiceRecord),
    ]
    if document.tenants is not None:
        tables.append((document.tenants.columns, TenantRecord))
    return tuple(
        name
        for names, record in tables
        for name in names
        if name not in UNUSED and name not in record.__struct_encode_fields__
    )


def parse(text: bytes) -> model.Catalog:
    """Parses a document.

    Raises:
      errors.CurrantcartError: The document is not valid.
    """
    try:
        document = msgspec.json.decode(text, type=Document)
        routes = msgspec.convert(
            document.routes.records(), list[RouteRecord], strict=False
        )
        services = msgspec.convert(
            document.services.records(), list[ServiceRecord], strict=False
        )
        tenants = msgspec.convert(
            document.tenants.records() if document.tenants else [],
            list[TenantRecord],
            strict=False,
        )
        unsupported_fields = unread_fields(text, document)
    except decoding.ERRORS as error:
        raise errors.CurrantcartError(
            errors.Code.SERVICES_INVALID, errors.Step.CONFIG, str(error)
        ) from error
    limits = document.limits
    return model.Catalog(
        version=document.version,
        routes=tuple(map(route_of, routes)),
        services=tuple(
            model.Service(
                record.name,
                record.max_connections,
                cold_ms=record.cold_start_s * MS,
                cold_rate=record.cold_per_s,
                health_path=record.health_path,
            )
            for record in services
        ),
        workspaces=tuple(
            model.Workspace(
                name=record.name,
                keys=tuple(record.api_keys),
                priority=record.priority,
                rate_per_second=record.rate_per_s,
                burst=record.burst_size,
            )
            for record in tenants
        ),
        keyed=document.tenants is not None,
        limits=model.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_ms=limits.header_timeout_s * MS,
            idle_ms=limits.idle_timeout_s * MS,
        ),
        unsupported_fields=unsupported_fields,
    )


def route_of(record: RouteRecord) -> model.Route:
    """Converts a record to the catalog's route."""
    if record.traffic_split:
        parts = tuple(
            model.Part(part.service, part.weight)
            for part in record.traffic_split
        )
    else:
        parts = (model.Part(record.service or "", 1.0),)
    return model.Route(
        name=record.name,
        host=record.host.lower(),
        prefix=record.prefix,
        parts=parts,
        idempotent=record.kind == "idempotent",
        timeout_ms=record.timeout_s * MS,
        objective_ms=record.target_latency_s * MS,
        priority=record.priority,
        attempts_max=record.max_attempts,
        keyless=record.auth_exempt,
    )
