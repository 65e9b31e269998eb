"""Logs, metrics, spans and the history of decisions."""

from __future__ import annotations

import asyncio

import pytest
import structlog
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
from syrupy.assertion import SnapshotAssertion

from currantcart.telemetry import log, record
from tests.fakes.world import World


def test_log_is_one_line_of_pairs(
    capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    log.configure(level="info")
    try:
        logger = log.get(instance="permits-1")
        logger.debug("not shown")
        logger.warning("stream ended", code="peer_lost", detail="two words")
    finally:
        structlog.reset_defaults()
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert line.split(" ", maxsplit=1)[1] == snapshot


def test_history_is_bounded_and_finds_a_complete_chain() -> None:
    recorder = record.Recorder(wall=lambda: 0.0, most=3)
    for root, call in (("a", "a"), ("a", "b"), ("c", "c"), ("a", "d")):
        recorder.note(
            record.Event.ACCEPTED, root_id=root, call_id=call, service="s"
        )
    assert [d.call_id for d in recorder.find("b")] == ["b", "d"]
    assert [d.call_id for d in recorder.find("a")] == ["b", "d"]
    assert recorder.find("none") == []


async def test_span_of_each_hop_is_child_of_previous_hop(world: World) -> None:
    """The path of a call through two services is one trace."""
    trace = {"exporter": "log", "ratio": 1}
    await world.start("grades-1", "grades", trace=trace)
    await world.start("permits-1", "permits", calls=("/grades/a",), trace=trace)
    await world.settle()
    tracings = [p.node.context.tracing for p in world.places.values()]
    with structlog.testing.capture_logs() as lines:
        for tracing in tracings:
            tracing.logger = structlog.get_logger()
        await world.call("grades-1", "/permits/status")
        await asyncio.sleep(2)
    spans = [line for line in lines if line["event"] == "span"]
    assert sorted((s["name"], s["service"]) for s in spans) == [
        ("call", "grades"), ("call", "permits"),
        ("target", "grades"), ("target", "permits"),
    ]  # fmt: skip
    assert len({span["trace_id"] for span in spans}) == 1
    own = {span["span_id"] for span in spans}
    assert sum(span["parent_id"] in own for span in spans) == 3


async def test_spans_are_exported_as_otlp(world: World) -> None:
    """Trace collectors receive OTLP as protobuf over HTTP."""
    trace = {"exporter": "otlp", "ratio": 1, "endpoint": "http://10.9.9.9/v1"}
    place = await world.start("grades-1", "grades", trace=trace)
    await world.settle()
    tracing = place.node.context.tracing
    posted: list[tuple[str, bytes]] = []

    class Session:
        """Records the requests instead of sending them."""

        def post(self, url: str, *, data: bytes, **rest: object) -> Session:
            del rest
            posted.append((url, data))
            return self

        async def __aenter__(self) -> Session:
            return self

        async def __aexit__(self, *error: object) -> None:
            return

        async def read(self) -> bytes:
            return b""

    await world.call("grades-1", "/grades/a")
    spans = list(tracing.pending)
    assert len(spans) == 2
    await tracing.export(spans, Session())  # type: ignore[arg-type]
    url, data = posted[0]
    request = trace_service_pb2.ExportTraceServiceRequest.FromString(data)
    names = [
        span.name
        for resource in request.resource_spans
        for scope in resource.scope_spans
        for span in scope.spans
    ]
    assert (url, sorted(names)) == (trace["endpoint"], ["call", "target"])


async def test_unsampled_trace_context_is_propagated(world: World) -> None:
    place = await world.start("grades-1", "grades")
    await world.settle()
    seen: list[str] = []
    run_call = place.target.run_call

    async def spy(exchange: object, body: bytes) -> None:
        seen.append(exchange.message.headers["traceparent"])  # type: ignore[attr-defined]
        await run_call(exchange, body)  # type: ignore[arg-type]

    place.target.run_call = spy  # type: ignore[method-assign]
    given = f"00-{'a' * 32}-{'b' * 16}-00"
    await world.call("grades-1", "/grades/a", traceparent=given)
    assert seen == [given]


async def test_metrics_count_calls_and_refusals(world: World) -> None:
    place = await world.start("grades-1", "grades")
    await world.settle()
    await world.call("grades-1", "/grades/a")
    await world.call("grades-1", "/none/a")
    text = place.node.context.metrics.render().decode()
    counted = 'currantcart_calls_total{outcome="2xx",service="grades"} 1.0'
    refused = (
        'currantcart_refusals_total{code="unknown_service",service=""} 1.0'
    )
    assert counted in text
    assert refused in text
    assert "currantcart_config_revision 1.0" in text
