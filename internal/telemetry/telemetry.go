// Package telemetry sets up logging, metrics and tracing of a process.
package telemetry

import (
	"context"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sequoialane/sequoialane/internal/settings"
)

const tracerName = "github.com/sequoialane/sequoialane"

// Span exporters: the values of trace_exporter.
const (
	ExporterOff    = "off"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Settings configures logging and tracing.
type Settings struct {
	LogLevel      string  `json:"log_level"`      // debug, info, warn or error; default info
	TraceExporter string  `json:"trace_exporter"` // off, stdout or otlp; default off
	TraceEndpoint string  `json:"trace_endpoint"` // IP address and port of the OTLP collector, for otlp only
	TraceRatio    float64 `json:"trace_ratio"`    // share of new traces that are sampled, 0 to 1; default 0.01
}

// DefaultSettings returns the default settings: log level info and no span exporter.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", TraceExporter: ExporterOff, TraceRatio: 0.01}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		report("log_level", s.LogLevel, "want debug, info, warn or error")
	}
	switch s.TraceExporter {
	case ExporterOff, ExporterStdout:
	case ExporterOTLP:
		settings.RequireAddress(report, "trace_endpoint", s.TraceEndpoint)
	default:
		report("trace_exporter", s.TraceExporter, "want off, stdout or otlp")
	}
	if s.TraceRatio < 0 || s.TraceRatio > 1 {
		report("trace_ratio", s.TraceRatio, "want a number from 0 to 1")
	}
}

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(s Settings, process string) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableCaller = true
	config.DisableStacktrace = true
	logger, err := config.Build()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return logger.With(zap.String("process", process)), nil
}

// SetupTracing installs the global tracer provider and W3C trace context
// propagation. The returned function flushes and closes the exporter.
func SetupTracing(ctx context.Context, s Settings, service string) (shutdown func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, s Settings) (sdktrace.SpanExporter, error) {
	switch s.TraceExporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.TraceEndpoint), otlptracehttp.WithInsecure())
	default:
		return nil, nil
	}
}

// StartSpan starts a span as a child of the span in ctx.
func StartSpan(ctx context.Context, name string) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// Extract returns ctx with the trace context of the headers h.
func Extract(ctx context.Context, h http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context of ctx into the headers h.
func Inject(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// MetricsHandler serves all metrics of the process in the Prometheus text
// format.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
}
