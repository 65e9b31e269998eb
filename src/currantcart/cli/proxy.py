"""Commands for nodes that a platform deploys, and their configuration."""

from __future__ import annotations

import asyncio
import pathlib
import urllib.parse
from collections.abc import Iterator
from typing import ClassVar, TypeVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from currantcart import decoding, errors, files
from currantcart.cli import base, output
from currantcart.platform import config
from currantcart.proxy import quarantine_page
from currantcart.proxy import settings as proxy_settings
from currantcart.settings import model as settings_model

Value = TypeVar("Value")

METRICS_PREFIX = "currantcart_"
SHOWN_TYPES = frozenset({"counter", "gauge"})
PARTS: dict[str, tuple[str, ...]] = {
    "rate queue": ("rate_decisions", "rate_waiting"),
    "fair shares": ("fair_",),
    "placement": ("placed",),
    "hand-back": ("handed_back",),
    "relays": ("relay", "digest"),
    "quarantine": ("target_ends", "quarantine_", "requests_"),
}
"""Prefixes of the names of the metrics of each part."""
QUARANTINE_COLUMNS = [
    "fingerprint",
    "state",
    "targets",
    "ended s ago",
    "left s",
]
SHOW_COLUMNS = ["part", "metric", "labels", "value"]


class ProxyCommand(base.BaseCommand):
    """Runs a node that a platform deploys."""

    name = "proxy"
    description = "Runs the node beside a target of a platform's deployment."
    options: ClassVar[list[Option]] = [base.SETTINGS_OPTION]

    def handle(self) -> int:
        """Runs the node until it is stopped by a signal."""
        # Imported here because only this command needs the fast event loop.
        from currantcart.proxy import serve

        return serve.run(self.settings_path())


class ProxyCheckCommand(base.BaseCommand):
    """Checks the settings of a node that a platform deploys."""

    name = "proxy check"
    description = "Checks a settings file of a platform's deployment."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file.")]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Validates the settings file."""
        path = self.argument("file")
        settings = proxy_settings.load(pathlib.Path(path))
        output.result(
            self, f"{path}: valid", file=path, instance=settings.instance
        )
        return 0


def part_of(name: str) -> str:
    """Returns the part to which a metric belongs; empty if to none."""
    for part, prefixes in PARTS.items():
        if name.startswith(prefixes):
            return part
    return ""


def metric_rows(text: str) -> list[list[str]]:
    """Returns the counters and gauges of the parts as table rows.

    Args:
      text: Metrics in the Prometheus text format.

    Raises:
      ValueError: The text has another format.
    """
    # Takes long to import, and only this command needs it.
    from prometheus_client import parser

    def rows() -> Iterator[list[str]]:
        for family in parser.text_string_to_metric_families(text):
            name = family.name.removeprefix(METRICS_PREFIX)
            part = part_of(name)
            if not part or family.type not in SHOWN_TYPES:
                continue
            for sample in family.samples:
                labels = ",".join(
                    f"{key}={value}"
                    for key, value in sorted(sample.labels.items())
                )
                yield [part, name, labels, f"{sample.value:g}"]

    order = list(PARTS)
    return sorted(rows(), key=lambda row: (order.index(row[0]), row[1:3]))


def checked_address(address: str) -> str:
    """Returns an address that is given as an argument.

    Raises:
      base.UsageError: It is invalid.
    """
    try:
        settings_model.check_address(address)
    except ValueError as error:
        raise base.UsageError(
            f"address: found {address!r}, allowed: {error}"
        ) from error
    return address


class ProxyShowCommand(base.BaseCommand):
    """Shows the decisions that a running node has counted."""

    name = "proxy show"
    description = "Shows the decisions of a node of a platform's deployment."
    arguments: ClassVar[list[Argument]] = [
        argument("address", "Metrics address of the node.")
    ]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Reads the node's metrics and prints those of the parts.

        Raises:
          base.UsageError: The address is invalid.
          errors.CurrantcartError: The node did not respond with metrics.
        """
        address = checked_address(self.argument("address"))
        text = asyncio.run(
            base.fetch(address, "/metrics", lambda response: response.text())
        )
        try:
            rows = metric_rows(text)
        except ValueError as error:
            raise errors.CurrantcartError(
                errors.Code.PEER_UNREACHABLE,
                errors.Step.COMMAND,
                f"no metrics: {error}",
                peer=address,
            ) from error
        output.table(self, SHOW_COLUMNS, rows)
        return 0


class ProxyQuarantineCommand(base.BaseCommand):
    """Shows the requests under which targets have ended, or clears one."""

    name = "proxy quarantine"
    description = "Shows or clears requests under which targets have ended."
    arguments: ClassVar[list[Argument]] = [
        argument("address", "Metrics address of a node.")
    ]
    options: ClassVar[list[Option]] = [
        option(
            "clear",
            description="Fingerprint of the request to clear at all nodes.",
            flag=False,
        ),
        base.JSON_OPTION,
    ]

    def handle(self) -> int:
        """Asks the node and prints its answer."""
        address = checked_address(self.argument("address"))
        shown = self.option("clear")
        if shown is None:
            found = quarantine_request(
                address, "", "GET", list[quarantine_page.Row]
            )
            output.table(self, QUARANTINE_COLUMNS, list(map(cells, found)))
            return 0
        query = "?" + urllib.parse.urlencode({"fingerprint": shown})
        result = quarantine_request(
            address,
            query,
            quarantine_page.CLEAR_METHOD,
            quarantine_page.Cleared,
        )
        text = "cleared" if result.cleared else "no target has ended under it"
        output.result(self, f"{shown}: {text}", cleared=result.cleared)
        return 0 if result.cleared else 1


def quarantine_request(
    address: str, query: str, method: str, expected: type[Value]
) -> Value:
    """Requests the quarantine page of a node and decodes it.

    Args:
      address: Metrics address of the node.
      query: Query of the request, with its question mark; may be empty.
      method: HTTP method.
      expected: Type of the answer.

    Raises:
      errors.CurrantcartError: The node did not answer with the page.
    """
    body = asyncio.run(
        base.fetch(
            address,
            quarantine_page.PATH + query,
            lambda response: response.read(),
            method=method,
        )
    )
    try:
        return msgspec.json.decode(body, type=expected)
    except decoding.ERRORS as error:
        raise errors.CurrantcartError(
            errors.Code.PEER_UNREACHABLE,
            errors.Step.COMMAND,
            f"no quarantine page: {body[:80].decode(errors='replace')!r}",
            peer=address,
        ) from error


def cells(row: quarantine_page.Row) -> list[str]:
    """Returns the cells of one request in the table."""
    return [
        row.fingerprint,
        row.state,
        ",".join(row.targets),
        f"{row.ended_seconds_ago:g}",
        f"{row.left_seconds:g}",
    ]


class ConfigCheckCommand(base.BaseCommand):
    """Checks the configuration of a platform's operator."""

    name = "config check"
    description = "Checks a configuration of a platform's operator."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "Configuration, as JSON.")
    ]
    options: ClassVar[list[Option]] = [base.JSON_OPTION]

    def handle(self) -> int:
        """Parses the configuration and prints a summary."""
        path = pathlib.Path(self.argument("file"))
        catalog = config.parse(files.read(path))
        routes = sum(map(len, catalog.routes.values()))
        output.result(
            self,
            f"{path}: version {catalog.version}, {routes} routes, "
            f"{len(catalog.services)} services, "
            f"{len(catalog.by_name)} workspaces",
            file=str(path),
            version=catalog.version,
            routes=routes,
            services=len(catalog.services),
            workspaces=len(catalog.by_name),
        )
        return 0
