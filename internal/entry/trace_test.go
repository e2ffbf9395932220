package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

const (
	waitLimit = 5 * time.Second
	pollStep  = 5 * time.Millisecond
)

// Guards against the span of a forwarding step being missing or belonging to
// another trace.
func TestOneRequestIsOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	before, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() {
		otel.SetTracerProvider(before)
		otel.SetTextMapPropagator(propagator)
	})
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	g := c.ranked("north")[2].call(t, "GET", "/s/consents/x", "", map[string]string{"traceparent": parent})
	require.Nil(t, g.err)
	require.Eventually(t, func() bool { return len(exporter.GetSpans()) >= 4 }, waitLimit, pollStep)
	names := map[string]tracetest.SpanStub{}
	known := map[string]bool{"b7ad6b7169203331": true}
	for _, span := range exporter.GetSpans() {
		names[span.Name] = span
		known[span.SpanContext.SpanID().String()] = true
	}
	for _, name := range []string{"entry.request", "entry.forward", "entry.peer", "dispatch"} {
		require.Contains(t, names, name)
	}
	for _, span := range exporter.GetSpans() {
		assert.Equal(t, "0af7651916cd43dd8448eb211c80319c", span.SpanContext.TraceID().String(), span.Name)
		assert.True(t, known[span.Parent.SpanID().String()], "parent of %s", span.Name)
	}
	assert.Equal(t, names["entry.forward"].SpanContext.SpanID(), names["entry.peer"].Parent.SpanID())
	assert.Equal(t, names["entry.request"].SpanContext.SpanID(), names["entry.forward"].Parent.SpanID())
}
