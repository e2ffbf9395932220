package telemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against spans that are recorded but never exported to the OTLP collector.
func TestSpansReachTheOTLPCollector(t *testing.T) {
	paths := make(chan string, 10)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
		w.Header().Set("Content-Type", "application/x-protobuf")
	}))
	defer collector.Close()
	s := DefaultSettings()
	s.TraceExporter = ExporterOTLP
	s.TraceEndpoint = strings.TrimPrefix(collector.URL, "http://")
	s.TraceRatio = 1

	shutdown, err := SetupTracing(context.Background(), s, "test")
	require.NoError(t, err)
	_, span := StartSpan(context.Background(), "request")
	span.End()
	require.NoError(t, shutdown(context.Background()))
	assert.Equal(t, "/v1/traces", <-paths)
}
