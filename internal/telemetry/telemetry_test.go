package telemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against a process that starts a new trace instead of continuing the
// caller's.
func TestTraceContextIsPropagated(t *testing.T) {
	_, err := SetupTracing(context.Background(), DefaultSettings(), "test")
	require.NoError(t, err)
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))

	ctx, parent := StartSpan(context.Background(), "first")
	header := http.Header{}
	Inject(ctx, header)
	_, child := StartSpan(Extract(context.Background(), header), "second")
	child.End()
	parent.End()

	spans := recorder.Ended()
	require.Len(t, spans, 2)
	assert.Equal(t, spans[1].SpanContext().TraceID(), spans[0].SpanContext().TraceID())
	assert.Equal(t, spans[1].SpanContext().SpanID(), spans[0].Parent().SpanID())
}

func TestMetricsHandler(t *testing.T) {
	metrics.GetOrCreateCounter("sequoialane_telemetry_test_total").Inc()
	rec := httptest.NewRecorder()
	MetricsHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Contains(t, rec.Body.String(), "sequoialane_telemetry_test_total 1")
}

func TestSettingsCheck(t *testing.T) {
	cases := []struct {
		desc string
		edit func(*Settings)
		want string
	}{
		{"defaults", func(*Settings) {}, ""},
		{"level", func(s *Settings) { s.LogLevel = "loud" }, "log_level"},
		{"exporter", func(s *Settings) { s.TraceExporter = "file" }, "trace_exporter"},
		{"endpoint", func(s *Settings) { s.TraceExporter = ExporterOTLP }, "trace_endpoint"},
		{"ratio", func(s *Settings) { s.TraceRatio = 2 }, "trace_ratio"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := DefaultSettings()
			tc.edit(&s)
			got := ""
			s.Check(func(path string, _ any, _ string) { got = path })
			assert.Equal(t, tc.want, got)
		})
	}
}
