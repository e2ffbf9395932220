package claims

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// failingGroup is a Group whose leader is this member and whose proposals all
// return err.
type failingGroup struct{ err error }

func (g failingGroup) Propose(context.Context, []byte) ([]byte, error) { return nil, g.err }
func (g failingGroup) ReadBarrier(context.Context) error               { return g.err }
func (g failingGroup) Leader() (string, bool)                          { return "m", true }

// Guards against a command that was not proposed but is reported as one whose
// outcome is unknown.
func TestStatusOfFailedProposal(t *testing.T) {
	cases := []struct {
		desc string
		err  error
		want int
	}{
		{"not leader", consensus.ErrNotLeader, http.StatusMisdirectedRequest},
		{"busy", consensus.ErrBusy, http.StatusServiceUnavailable},
		{"busy until the deadline", fmt.Errorf("%w: %w", consensus.ErrBusy, context.DeadlineExceeded), http.StatusServiceUnavailable},
		{"stopped", consensus.ErrStopped, http.StatusServiceUnavailable},
		{"unknown outcome", consensus.ErrUnknownOutcome, http.StatusGatewayTimeout},
		{"unknown outcome at the deadline", fmt.Errorf("%w: %w", consensus.ErrUnknownOutcome, context.DeadlineExceeded), http.StatusGatewayTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			server := NewServer()
			server.AddGroup("g", NewMember(NewTable(DefaultLimits()), failingGroup{tc.err}, sys.RealClock{}, "m/1"))
			body := strings.NewReader(`{"lease":"r/l","holder":"h","ttl_ms":1000}`)
			recorder := httptest.NewRecorder()
			server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, pathPrefix+"g/"+callLease, body))
			assert.Equal(t, tc.want, recorder.Code)
		})
	}
}
