package upstreamclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/httphead/headtest"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Guards against a malformed response that is passed on, on a new and on a kept
// connection, or that the client hides by sending the request again by itself.
func TestMalformedHeads(t *testing.T) {
	for _, tc := range headtest.Malformed {
		for _, kept := range []bool{false, true} {
			t.Run(tc.Desc, func(t *testing.T) {
				s := newRawServer(t, func(_, request int, r *http.Request) []byte {
					if kept && request == 1 {
						return ok(r, "first")
					}
					return []byte(tc.Response)
				})
				c := newClient(t)
				opt := Options{RequestID: "id-1", Idempotent: true}
				if kept {
					_, o, err := c.Send(context.Background(), s.Target, newRequest(http.MethodGet, ""), opt)
					require.NoError(t, err)
					require.Equal(t, owner.OK, o.Kind)
				}
				resp, o, err := c.Send(context.Background(), s.Target, newRequest(http.MethodGet, ""), opt)
				require.Error(t, err)
				assert.Nil(t, resp)
				assert.Equal(t, owner.Truncated, o.Kind, "%v", err)
				assert.True(t, o.BytesSent)
				assert.EqualValues(t, 1, s.connections.Load())
			})
		}
	}
}

// Guards against rejecting valid responses, and against losing track of the
// responses on a kept connection.
func TestUnusualHeads(t *testing.T) {
	long := headtest.Case{Desc: "long head", Response: strings.Replace(headtest.Valid[0].Response, "\r\n", "\r\n"+strings.Repeat("X-Long: 0123456789\r\n", 1200), 1)}
	for _, tc := range append([]headtest.Case{long}, headtest.Valid...) {
		t.Run(tc.Desc, func(t *testing.T) {
			s := newRawServer(t, func(_, _ int, r *http.Request) []byte {
				if r.Method == http.MethodHead {
					return []byte("HTTP/1.1 200 OK\r\n" + headtest.Fields + "Content-Length: 7\r\n\r\n")
				}
				return []byte(tc.Response)
			})
			c := newClient(t)
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodGet} {
				resp, o, err := c.Send(context.Background(), s.Target, newRequest(method, ""), Options{RequestID: "id-1", Idempotent: true})
				require.NoError(t, err)
				assert.Equal(t, owner.OK, o.Kind)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, map[bool]string{true: "ok"}[method == http.MethodGet], string(body))
			}
		})
	}
}

// Guards against a partial body without length that is taken for complete when
// the connection is reset while a long upload is being written.
func TestResetUploadWithoutLength(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headtest.Fields+"\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	c := New(sys.RealClock{})
	defer c.Close()
	resp, o, err := c.Send(context.Background(), upstream.Target{Address: listener.Addr().String()}, newRequest(http.MethodPost, strings.Repeat("x", 16<<20)), Options{RequestID: "id-1"})
	require.Error(t, err)
	assert.Nil(t, resp)
	assert.Equal(t, owner.Truncated, o.Kind, "%v", err)
	assert.True(t, o.BytesSent)
}

// Guards against bytes behind a response that are taken for the response to the
// next request on the connection without validation.
func TestBytesBehindResponse(t *testing.T) {
	for desc, first := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + headtest.Fields + "Content-Length: 5\r\n\r\nfirst",
		"chunks": "HTTP/1.1 200 OK\r\n" + headtest.Fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
	} {
		t.Run(desc, func(t *testing.T) {
			s := newRawServer(t, func(conn, _ int, _ *http.Request) []byte {
				if conn == 1 {
					return []byte(first + "HTTP/1.1 200 OK\r\nContent Length: 5\r\n" + headtest.Fields + "Content-Length: 5\r\n\r\nwrong")
				}
				return []byte(first)
			})
			c := newClient(t)
			for range 3 {
				resp, _, err := c.Send(context.Background(), s.Target, newRequest(http.MethodGet, ""), Options{RequestID: "id-1", Idempotent: true})
				if err != nil {
					continue // the connection was closed under the request
				}
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, "first", string(body))
			}
		})
	}
}
