package httpserver

import (
	"context"
	"net/http"
	"testing"

	"github.com/sequoialane/sequoialane/internal/draintest"
)

// Guards against a shutdown that drops a request which arrives while it takes place.
func TestShutdownAnswersRequestsThatArrive(t *testing.T) {
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	draintest.CheckSplitRequests(t, s.Address(), func() { go func() { _ = s.Shutdown(context.Background()) }() })
}
