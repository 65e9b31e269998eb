"""Tests of parsing the operator's document into the catalog."""

from __future__ import annotations

import json
from typing import Any

import pytest

from currantcart import errors
from currantcart.platform import config
from tests.fakes import mesh as fake_mesh


def changed(**values: Any) -> bytes:
    document = json.loads(fake_mesh.document(7))
    document.update(values)
    return json.dumps(document).encode()


def test_rows_become_routes_services_and_workspaces() -> None:
    catalog = config.parse(fake_mesh.document(7, rate=2.5, burst=4.0))
    route = catalog.match("shop.example", "/pay/1")
    assert route is not None
    assert not route.idempotent
    assert route.timeout_ms == 5_000
    assert catalog.services["grades"].connections_max == 100
    workspace = catalog.workspaces[fake_mesh.KEY]
    assert (workspace.rate_per_second, workspace.burst) == (2.5, 4.0)
    assert catalog.limits.idle_ms == 15_000


def test_a_traffic_split_becomes_weighted_parts() -> None:
    split = [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 10},
    ]
    row = fake_mesh.route("s", "", split=split)
    catalog = config.parse(fake_mesh.document(7, [row]))
    route = catalog.match("shop.example", "/s/")
    assert route is not None
    assert [(part.service, part.weight) for part in route.parts] == [
        ("x", 90.0),
        ("y", 10.0),
    ]


def test_without_tenants_requests_need_no_key() -> None:
    assert not config.parse(changed(tenants=None)).keyed


def test_unknown_fields_are_ignored_and_listed() -> None:
    document = json.loads(fake_mesh.document(7))
    document["colour"] = "green"
    document["routes"]["columns"].append("shape")
    catalog = config.parse(json.dumps(document).encode())
    assert catalog.version == 7
    assert catalog.unsupported_fields == ("colour", "shape")
    assert config.parse(fake_mesh.document(7)).unsupported_fields == ()


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"\xff",
        b"[]",
        b"{}",
        changed(version="seven"),
        changed(routes=3),
        changed(routes={"columns": ["name"], "rows": [["x"]]}),
        changed(limits={"idle-timeout-s": "long"}),
    ],
)
def test_invalid_document_is_a_coded_error(text: bytes) -> None:
    with pytest.raises(errors.CurrantcartError) as raised:
        config.parse(text)
    assert raised.value.step is errors.Step.CONFIG


def test_a_deeply_nested_document_is_invalid() -> None:
    """Guards against a document that ends the reader of the configuration."""
    deep = b"[" * 50_000 + b"]" * 50_000
    with pytest.raises(errors.CurrantcartError):
        config.parse(b'{"x":' + deep + b"," + fake_mesh.document(7)[1:])


def with_cell(table: str, column: str, value: object) -> bytes:
    """Returns a document with another value in each row of a table."""
    document = json.loads(fake_mesh.document(7))
    content = document[table]
    if column not in content["columns"]:
        content["columns"].append(column)
        content["rows"] = [[*row, None] for row in content["rows"]]
    at = content["columns"].index(column)
    for row in content["rows"]:
        row[at] = value
    return json.dumps(document).encode()


LONG = 10**400
OUT_OF_RANGE = {
    "timeout": with_cell("routes", "timeout-s", 1e308),
    "timeout-negative": with_cell("routes", "timeout-s", -1),
    "timeout-text": with_cell("routes", "timeout-s", "nan"),
    "latency": with_cell("routes", "target-latency-s", LONG),
    "attempts": with_cell("routes", "max-attempts", -1),
    "attempts-long": with_cell("routes", "max-attempts", LONG),
    "priority": with_cell("routes", "priority", LONG),
    "weight": with_cell(
        "routes", "traffic-split", [{"service": "x", "weight": -1}]
    ),
    "connections": with_cell("services", "max-connections", -1),
    "cold": with_cell("services", "cold-start-s", 1e308),
    "cold-rate": with_cell("services", "cold-per-s", -1),
    "health": with_cell("services", "health-path", "/h\r\nX-Other: 1"),
    "tenant": with_cell("tenants", "name", "mill\r\nX-Other: 1"),
    "rate": with_cell("tenants", "rate-per-s", "inf"),
    "rate-negative": with_cell("tenants", "rate-per-s", -1),
    "burst": with_cell("tenants", "burst-size", 1e308),
    "version": changed(version=LONG),
    "version-negative": changed(version=-1),
    "body": changed(limits={"max-body-bytes": LONG}),
    "head": changed(limits={"max-header-bytes": -1}),
    "idle": changed(limits={"idle-timeout-s": 1e308}),
    "field": fake_mesh.document(7).replace(b'"version"', b'"\xff":1,"version"'),
}


@pytest.mark.parametrize(
    "document", OUT_OF_RANGE.values(), ids=list(OUT_OF_RANGE)
)
def test_a_document_with_a_value_out_of_range_is_invalid(
    document: bytes,
) -> None:
    """Guards against a configuration that no node can serve or pass on."""
    with pytest.raises(errors.CurrantcartError) as raised:
        config.parse(document)
    assert raised.value.code is errors.Code.SERVICES_INVALID


@pytest.mark.parametrize(
    "document",
    [
        changed(version=2**53 + 1),
        with_cell("routes", "priority", -1),
        with_cell("routes", "timeout-s", 0),
        with_cell("tenants", "name", "m\u00fchle 7"),
        with_cell("tenants", "rate-per-s", 0),
        with_cell("services", "cold-per-s", None),
    ],
    ids=["version", "priority", "timeout", "name", "no-rate", "omitted"],
)
def test_a_document_at_the_end_of_a_range_is_valid(document: bytes) -> None:
    assert config.parse(document).routes
