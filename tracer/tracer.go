// Package tracer sets up OpenTelemetry tracing with W3C propagation.
//
// # Usage
//
//	t, err := tracer.New(ctx, tracer.Config{Exporter: tracer.ExporterOTLP, Endpoint: "http://127.0.0.1:4318", SampleRatio: 0.01})
//	if err != nil {
//		return err
//	}
//	defer t.Shutdown(ctx)
//	ctx, span := t.Tracer().Start(ctx, "admission")
package tracer

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter selects the destination of spans.
type Exporter string

// Exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStderr Exporter = "stderr"
	ExporterOTLP   Exporter = "otlp"
)

// Config is the configuration of a Tracer.
type Config struct {
	Exporter Exporter
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// SampleRatio is the share of requests that are traced if the caller does not
	// decide whether to trace them.
	SampleRatio float64
	// Instance is the ID of this instance.
	Instance string
}

// Tracer creates and exports spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
}

const instrumentation = "github.com/pollencrank/pollencrank"

// New returns a Tracer. Without an exporter it records nothing.
func New(ctx context.Context, config Config) (*Tracer, error) {
	if config.Exporter == ExporterNone || config.Exporter == "" {
		return &Tracer{}, nil
	}
	exporter, err := newExporter(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("trace exporter %s: %w", config.Exporter, err)
	}
	serviceAttributes := resource.NewSchemaless(
		attribute.String("service.name", "pollencrankd"),
		attribute.String("service.instance.id", config.Instance),
	)
	return &Tracer{provider: sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(serviceAttributes),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(config.SampleRatio))),
	)}, nil
}

func newExporter(ctx context.Context, config Config) (sdktrace.SpanExporter, error) {
	if config.Exporter == ExporterStderr {
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.Endpoint))
}

// Tracer returns the tracer for the system's spans.
func (t *Tracer) Tracer() trace.Tracer {
	if t.provider == nil {
		return noop.NewTracerProvider().Tracer(instrumentation)
	}
	return t.provider.Tracer(instrumentation)
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
