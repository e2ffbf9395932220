package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a target that counts as faulty because it aborted a response that a
// slow caller had left unread, and against a faulty one that does not.
func TestAbortOfUnreadResponse(t *testing.T) {
	for _, tc := range []struct {
		desc string
		wait time.Duration // before the read that fails
		want owner.OutcomeKind
	}{
		{"read in time", 10 * time.Millisecond, owner.Truncated},
		{"unread", 3 * time.Second, owner.Canceled},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
			var got owner.OutcomeKind
			a := &attempt{}
			a.state.Store(written)
			e := &exchange{client: New(clock), attempt: a, body: &requestBody{}, opt: Options{Finished: func(o owner.Outcome) { got = o.Kind }}}
			s := &responseStream{
				head: bytes.NewReader(nil), rest: io.NopCloser(iotest.ErrReader(syscall.ECONNRESET)),
				cancel: func(error) {}, now: clock.Now, readAt: clock.Now(),
			}
			s.onEnd = func(err error) {
				e.finishStream(context.Background(), &http.Response{}, err, s.unread >= slowCaller)
			}
			clock.Advance(tc.wait)
			_, err := s.Read(make([]byte, 1))
			assert.True(t, errors.Is(err, syscall.ECONNRESET))
			assert.Equal(t, tc.want, got)
		})
	}
}
