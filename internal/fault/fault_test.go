package fault

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/assert"
)

// Guards against an error kind whose status clients or proxies treat as a success
// or a redirect, or that has no valid effect.
func TestEveryKindHasAnErrorStatus(t *testing.T) {
	for kind, response := range responses {
		assert.GreaterOrEqual(t, response.Status, 400, string(kind))
		assert.Contains(t, []Effect{NotRun, Unknown, Ran}, response.Effect, string(kind))
	}
}

// Guards against losing the effect of an error between two processes.
func TestWriteAndDecodeKeepTheError(t *testing.T) {
	rec := httptest.NewRecorder()
	sent := New(Overloaded, "queue is full").WithEffect(Unknown).WithRetryAfter(1500 * time.Millisecond)
	Write(rec, "r1", sent)

	assert.Equal(t, http.StatusServiceUnavailable, rec.Code)
	assert.Equal(t, "2", rec.Header().Get("Retry-After"))
	assert.Equal(t, sent, Decode(rec.Body.Bytes()))
}

// Guards against losing the kind of a wrapped error.
func TestFrom(t *testing.T) {
	inner := New(NoUpstream, "none")
	cases := []struct {
		desc string
		err  error
		want Kind
	}{
		{"plain fault", inner, NoUpstream},
		{"wrapped by fmt", fmt.Errorf("while dialling: %w", inner), NoUpstream},
		{"wrapped by trace", trace.Wrap(inner), NoUpstream},
		{"error of another package", errors.New("boom"), Internal},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.Equal(t, tc.want, From(tc.err).Kind)
		})
	}
}

// Guards against an unreadable error body giving an error whose kind does not
// exist, which could pass for not run.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"overloaded","effect":"not-run"}`))
	f.Add([]byte(`{"kind":"nonsense"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		e := Decode(body)
		assert.True(t, e.Kind.Valid())
	})
}
