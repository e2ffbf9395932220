package targetconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/httphead/headtest"
	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a malformed response that is passed on, on a new and on a kept
// connection, and against a rejected one that is taken for proof that the request
// did not run.
func TestMalformedHeads(t *testing.T) {
	for _, tc := range headtest.Malformed {
		for _, kept := range []bool{false, true} {
			t.Run(tc.Desc, func(t *testing.T) {
				f := startTarget(t, func(n int, c net.Conn, _ *http.Request) {
					if kept && n == 0 {
						respond(c, "id-1", "", "first")
						return
					}
					_, _ = io.WriteString(c, tc.Response)
					_ = c.Close()
				})
				client := New(sys.RealClock{}, names, membudget.New(0), nil)
				if kept {
					require.Equal(t, pool.OK, send(client, f.target(), "id-1", "x").Outcome)
				}
				result := send(client, f.target(), "id-1", "x")
				assert.Equal(t, pool.InvalidResponse, result.Outcome, "%v", result.Err)
				assert.Nil(t, result.Response)
				assert.True(t, result.MayHaveRun)
				assert.Equal(t, 1, f.connections())
			})
		}
	}
}

// Guards against rejecting valid responses, and those whose head is longer than
// the read buffer of the connection.
func TestUnusualHeads(t *testing.T) {
	long := headtest.Case{Desc: "long head", Response: strings.Replace(headtest.Valid[0].Response, "\r\n", "\r\n"+strings.Repeat("X-Long: 0123456789\r\n", 2500), 1)}
	for _, tc := range append([]headtest.Case{long}, headtest.Valid...) {
		t.Run(tc.Desc, func(t *testing.T) {
			f := startTarget(t, func(_ int, c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, tc.Response) })
			client := New(sys.RealClock{}, names, membudget.New(0), nil)
			for range 2 {
				result := send(client, f.target(), "id-1", "x")
				require.Equal(t, pool.OK, result.Outcome, "%v", result.Err)
				assert.Equal(t, "ok", string(result.Response.Body))
				result.Response.Close()
			}
		})
	}
}
