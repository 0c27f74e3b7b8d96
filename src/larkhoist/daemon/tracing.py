"""Create spans and propagate the W3C trace context."""

import logging
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ALWAYS_ON
from opentelemetry.trace import Span, Tracer
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from larkhoist.daemon.logs import log_event

__all__ = ["create_tracer", "get_parent", "get_trace_id", "get_trace_parent"]

_logger = logging.getLogger(__name__)
_propagator = TraceContextTextMapPropagator()


class _LogExporter(SpanExporter):
    """An exporter that writes each span as one log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            context = span.get_span_context()
            log_event(
                _logger,
                "span",
                name=span.name,
                trace=f"{context.trace_id:032x}",
                span=f"{context.span_id:016x}",
                parent=f"{span.parent.span_id:016x}" if span.parent else "none",
                us=(span.end_time - span.start_time) // 1000,
                **{str(k): v for k, v in (span.attributes or {}).items()},
            )
        return SpanExportResult.SUCCESS


def create_tracer(log_spans: bool) -> Tracer:
    """Return a tracer; its spans are logged if ``log_spans`` is true."""
    # Spans that are not logged are not recorded; their ids are still propagated.
    provider = TracerProvider(sampler=ALWAYS_ON if log_spans else ALWAYS_OFF)
    if log_spans:
        provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
    return provider.get_tracer("larkhoist")


def get_parent(trace_parent: str) -> Context:
    """Return the context of a ``traceparent`` header; an empty one starts a trace."""
    return _propagator.extract({"traceparent": trace_parent})


def get_trace_parent(span: Span) -> str:
    """Return a ``traceparent`` header that names ``span`` as the parent."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier.get("traceparent", "")


def get_trace_id(span: Span) -> str:
    """Return the trace id as 32 hexadecimal digits."""
    return f"{span.get_span_context().trace_id:032x}"
