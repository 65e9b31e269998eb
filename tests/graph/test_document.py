"""Tests of the services text: validation, messages and conversion."""

from __future__ import annotations

import itertools
import json
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantcart import errors
from currantcart.graph import document, model

BENCH_TEXT = pathlib.Path(__file__).parents[2] / "bench" / "services.jsonc"


def chain(length: int) -> str:
    """Returns a text whose services form one chain of dependencies."""
    names = [f"s{number}" for number in range(length)]
    services: dict[str, dict[str, list[str]]] = {
        name: {"depends_on": [callee]}
        for name, callee in itertools.pairwise(names)
    }
    services[names[-1]] = {}
    return json.dumps({"services": services})


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{"services": {"a": {"depends_on": ["b"]}}}', "found unknown 'b'"),
        (
            '{"services": {"a": {"depends_on": ["b"]},'
            ' "b": {"depends_on": ["a"]}}}',
            "found the cycle",
        ),
        ('{"services": {"a": {}, "a": {}}}', "the name 'a' is used twice"),
        (
            '{"services": {"a": {"depends_on": ["b", "b"]}, "b": {}}}',
            "found a name twice",
        ),
        (
            '{"services": {"a": {"patience_ms": 5, "typical_ms": 9}}}',
            "patience of 5 ms cannot be met",
        ),
        (
            '{"services": {"a": {"importance": "critical",'
            ' "depends_on": ["b"]}, "b": {"max_importance": "normal"}}}',
            "importance critical cannot be met, b allows at most normal",
        ),
        ('{"services": {"A b": {}}}', "services.A b"),
        ('{"services": {"a": {"color": 1}}}', "services.a.color: found an"),
        (
            '{"services": {"a": {"patience": [{"start": "25:00",'
            ' "end": "01:00", "patience_ms": 1}]}}}',
            'found "25:00"',
        ),
        ('{"services": {"a": {}}', "line 1"),
        ("[1]", "found list, allowed: an object"),
        (chain(15), "found a chain of 15 levels, allowed: 14"),
        (chain(5_000), "levels, allowed: 14"),
    ],
)  # fmt: skip
def test_error_names_the_field(text: str, message: str) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        document.parse(text, source="file")
    assert message in caught.value.detail
    assert caught.value.code is errors.Code.SERVICES_INVALID


def test_chain_of_fourteen_levels_is_accepted() -> None:
    assert len(document.parse(chain(14), source="file").services) == 14


@given(st.text(max_size=80))
def test_any_invalid_text_gives_a_coded_error(text: str) -> None:
    try:
        document.parse(text, source="file")
    except errors.SettingsError as error:
        assert error.code is errors.Code.SERVICES_INVALID


def test_patience_depends_on_the_local_time_of_day() -> None:
    """Guards against spans in UTC; 19:00 in Dar es Salaam is 16:00 UTC."""
    text = document.parse(BENCH_TEXT.read_text(), source="file")
    graph = document.build_graph(text)
    permits = graph.services["permits"]

    def at(utc_hour: float) -> float:
        return permits.patience_at(
            utc_hour * 3_600_000, utc_offset_minutes=graph.utc_offset_minutes
        )

    assert [at(2), at(12), at(16)] == [8_000, 4_000, 2_000]


def test_span_may_include_midnight() -> None:
    span = model.PatienceSpan(22 * 60, 2 * 60, 1.0)
    assert [span.covers(h * 60) for h in (21, 23, 1, 2)] == [
        False, True, True, False,
    ]  # fmt: skip


def test_first_matching_route_decides() -> None:
    text = document.parse(BENCH_TEXT.read_text(), source="file")
    payments = document.build_graph(text).services["payments"]
    fees = payments.route("POST", "/fees/1")
    assert fees.importance is model.Importance.CRITICAL
    assert payments.route("GET", "/fees").importance is model.Importance.NORMAL
