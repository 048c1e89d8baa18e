package recorder

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

var propagator = propagation.TraceContext{}

// Inject returns a copy of the headers with the trace context of ctx added. It returns
// the headers themselves if ctx carries no trace.
func Inject(ctx context.Context, header http.Header) http.Header {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return header
	}
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
	return header
}

// Extract returns ctx with the trace context from the headers.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}
