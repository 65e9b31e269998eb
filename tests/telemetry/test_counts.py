"""Counters, histograms and gauges as Prometheus scrapes them."""

from __future__ import annotations

from currantcart.telemetry import counts, exposition
from tests.fakes import mesh as fake_mesh


def test_counters_and_histograms_are_exposed() -> None:
    node_counts = counts.Counts()
    node_counts.add("requests", "s", "2xx")
    node_counts.observe("request_seconds", 7.0, "s")
    node_counts.observe("request_seconds", 70_000.0, "s")
    text = exposition.render(node_counts).decode()
    assert 'currantcart_requests_total{outcome="2xx",service="s"} 1.0' in text
    assert 'request_seconds_bucket{le="0.005",service="s"} 0.0' in text
    assert 'request_seconds_bucket{le="0.01",service="s"} 1.0' in text
    assert 'request_seconds_bucket{le="+Inf",service="s"} 2.0' in text


def test_label_sets_are_bounded() -> None:
    node_counts = counts.Counts()
    for number in range(2 * counts.LABEL_SETS_MAX):
        node_counts.add("rejections", f"code{number}")
    assert len(node_counts.counters["rejections"]) == counts.LABEL_SETS_MAX + 1


def test_label_sets_of_histograms_are_bounded() -> None:
    """Guards against memory that grows with names that come and go."""
    node_counts = counts.Counts()
    for number in range(5_000):
        node_counts.observe("request_seconds", 7.0, f"service{number}")
    found = node_counts.histograms["request_seconds"]
    assert len(found) == counts.LABEL_SETS_MAX + 1
    assert sum(found["other",]) - found["other",][-1] == 4_500


async def test_node_exposes_its_state(mesh: fake_mesh.Mesh) -> None:
    place = await mesh.add("a")
    await mesh.settle()
    await mesh.ask(place, fake_mesh.request())
    text = exposition.render(place.node.context.counts).decode()
    assert "currantcart_config_version 1.0" in text
    assert "currantcart_slots 18.0" in text
    assert 'currantcart_requests_total{outcome="2xx",service="grades"}' in text
