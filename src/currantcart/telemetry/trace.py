"""OpenTelemetry spans for each hop, exported from the event loop.

The exporters of the SDK post from a thread. Here finished spans are buffered
in a bounded list and exported by a task of the event loop, so that a node
stays single-threaded.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import aiohttp

from currantcart.settings import model as settings_model
from currantcart.telemetry import log

if TYPE_CHECKING:
    from opentelemetry.sdk import trace as sdk_trace

PENDING_MAX = 4_096
FLUSH_SECONDS = 1.0
POST_SECONDS_MAX = 5.0
SAMPLED_SUFFIX = "-01"


def is_sampled(traceparent: str) -> bool:
    """Returns whether a W3C trace context has the sampled flag set."""
    return traceparent.endswith(SAMPLED_SUFFIX)


class Tracing:
    """Creates and exports spans; does nothing if the exporter is `none`."""

    def __init__(
        self,
        settings: settings_model.Trace,
        *,
        instance: str,
        rng: random.Random,
        logger: log.Logger,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.logger = logger
        self.pending: list[sdk_trace.ReadableSpan] = []
        self.dropped = 0
        self.tracer = None
        if settings.exporter is not settings_model.TraceExporter.NONE:
            self.tracer = self.build_tracer(instance)

    def build_tracer(self, instance: str) -> sdk_trace.Tracer:
        """Returns a tracer of the SDK.

        The SDK is imported here, so that nodes without tracing don't load it.
        """
        from opentelemetry.sdk import resources
        from opentelemetry.sdk import trace as sdk

        tracing = self

        class Collect(sdk.SpanProcessor):
            """Passes finished spans to the export task of the event loop."""

            def on_end(self, span: sdk.ReadableSpan) -> None:
                tracing.keep(span)

        provider = sdk.TracerProvider(
            resource=resources.Resource.create(
                {
                    "service.name": "currantcart",
                    "service.instance.id": instance,
                }
            ),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(Collect())
        tracer = provider.get_tracer("currantcart")
        assert isinstance(tracer, sdk.Tracer)
        return tracer

    def keep(self, span: sdk_trace.ReadableSpan) -> None:
        """Buffers a finished span; drops it if the buffer is full."""
        if len(self.pending) < PENDING_MAX:
            self.pending.append(span)
        else:
            self.dropped += 1

    def begin(self, name: str, traceparent: str) -> Hop | None:
        """Starts the span of one hop if its trace is sampled.

        Args:
          name: Name of the span.
          traceparent: W3C trace context of the call; empty if it has none. The
            sampling ratio of the settings then decides.

        Returns:
          The hop, or None if it is not sampled.
        """
        if self.tracer is None:
            return None
        if traceparent:
            if not is_sampled(traceparent):
                return None
        elif self.rng.random() >= self.settings.ratio:
            return None
        return Hop(self.tracer, name, traceparent)

    async def run(self) -> None:
        """Exports finished spans periodically until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                spans, self.pending = self.pending, []
                if spans:
                    await self.export(spans, session)

    async def export(
        self,
        spans: list[sdk_trace.ReadableSpan],
        session: aiohttp.ClientSession,
    ) -> None:
        """Exports spans to the log or to the OTLP endpoint of the settings."""
        if self.settings.exporter is settings_model.TraceExporter.LOG:
            for span in spans:
                self.log_span(span)
            return
        from opentelemetry.exporter.otlp.proto.common import trace_encoder

        body = trace_encoder.encode_spans(spans).SerializeToString()
        try:
            async with session.post(
                self.settings.endpoint,
                data=body,
                headers={"Content-Type": "application/x-protobuf"},
                timeout=aiohttp.ClientTimeout(total=POST_SECONDS_MAX),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.logger.warning("spans lost", error=repr(error))

    def log_span(self, span: sdk_trace.ReadableSpan) -> None:
        """Logs a span as one line."""
        context = span.get_span_context()
        assert context is not None
        duration_ns = (span.end_time or 0) - (span.start_time or 0)
        attributes = {
            key.replace(".", "_"): value
            for key, value in (span.attributes or {}).items()
        }
        self.logger.info(
            "span",
            name=span.name,
            trace_id=f"{context.trace_id:032x}",
            span_id=f"{context.span_id:016x}",
            parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
            duration_ms=duration_ns / 1e6,
            **attributes,
        )


class Hop:
    """The span of one hop.

    Attributes:
      traceparent: W3C trace context for the next hop.
    """

    def __init__(
        self, tracer: sdk_trace.Tracer, name: str, traceparent: str
    ) -> None:
        from opentelemetry.trace.propagation import tracecontext

        propagator = tracecontext.TraceContextTextMapPropagator()
        parent = propagator.extract({"traceparent": traceparent})
        self.span = tracer.start_span(name, context=parent)
        context = self.span.get_span_context()
        self.traceparent = (
            f"00-{context.trace_id:032x}-{context.span_id:016x}-01"
        )

    def end(self, **attributes: str | int | float) -> None:
        """Sets attributes on the span and ends it."""
        for name, value in attributes.items():
            self.span.set_attribute(name, value)
        self.span.end()
