package targetconn

import (
	"io"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a target that counts as faulty because it aborted a response that a
// slow caller had left unread, and against a faulty one that does not.
func TestAbortOfUnreadResponse(t *testing.T) {
	cases := []struct {
		desc string
		wait time.Duration // between two reads
		end  error
		want pool.OutcomeKind
	}{
		{"reset of a response that was read", 10 * time.Millisecond, syscall.ECONNRESET, pool.InvalidResponse},
		{"reset of an unread response", 3 * time.Second, syscall.ECONNRESET, pool.Canceled},
		{"truncated and unread", 3 * time.Second, io.ErrUnexpectedEOF, pool.Canceled},
		{"complete", 3 * time.Second, io.EOF, pool.OK},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
			body := &restBody{Reader: io.MultiReader(iotest.OneByteReader(io.LimitReader(zeros{}, 2)), iotest.ErrReader(tc.end)), now: clock.Now, readAt: clock.Now()}
			for range 2 {
				_, err := body.Read(make([]byte, 1))
				assert.NoError(t, err)
				clock.Advance(tc.wait)
			}
			_, err := body.Read(make([]byte, 1))
			assert.ErrorIs(t, err, tc.end)
			assert.Equal(t, tc.want, body.outcome())
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
