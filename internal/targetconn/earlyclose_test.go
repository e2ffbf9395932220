package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	endlessHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Mark: m\r\n\r\n"
	// unreadBody is more than the kernel takes for a peer with smallWindow that
	// does not read.
	unreadBody = 16 << 20
)

// orderedConn orders the calls on a connection to a target, so that races between
// the write of the request and the read of the response have one result.
type orderedConn struct {
	*net.TCPConn
	beforeRead func(n int)            // before the nth read, from 0
	afterRead  func(n int, err error) // after it
	afterWrite func()                 // after a write of the body
	reads      int
	wroteBody  chan struct{} // closed when the write of the body has returned
	wroteOnce  sync.Once
}

func (c *orderedConn) Read(p []byte) (int, error) {
	n := c.reads
	c.reads++
	if c.beforeRead != nil {
		c.beforeRead(n)
	}
	got, err := c.TCPConn.Read(p)
	if c.afterRead != nil {
		c.afterRead(n, err)
	}
	return got, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if len(p) > maxInlineBody {
		if c.afterWrite != nil {
			c.afterWrite()
		}
		c.wroteOnce.Do(func() { close(c.wroteBody) })
	}
	return n, err
}

// awaitClosed waits until the kernel has closed the connection because of a reset.
func (c *orderedConn) awaitClosed(t *testing.T) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	state := func() (state uint8) {
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			require.NoError(t, err)
			state = info.State
		})
		return state
	}
	require.Eventually(t, func() bool { return state() == unix.BPF_TCP_CLOSE }, 2*time.Second, time.Millisecond)
}

// Guards against a response without length that is taken for complete although
// the connection was reset or the request was not written completely, and against
// rejecting a complete one.
func TestEndOfResponseWithoutLength(t *testing.T) {
	type target struct {
		conn   *net.TCPConn
		reader *bufio.Reader
	}
	cases := []struct {
		desc    string
		body    int // bytes of the request body
		readAll bool
		order   func(t *testing.T, c *orderedConn, accepted chan target)
		outcome pool.OutcomeKind
	}{
		{"reset that the write of the body meets first", unreadBody, false, func(_ *testing.T, c *orderedConn, accepted chan target) {
			c.afterRead = func(n int, _ error) {
				if n == 0 {
					resetConnection((<-accepted).conn)
				}
			}
			c.beforeRead = func(n int) {
				if n == 1 {
					<-c.wroteBody
				}
			}
		}, pool.InvalidResponse},
		{"orderly close before the body was read", unreadBody, false, func(_ *testing.T, c *orderedConn, accepted chan target) {
			c.afterRead = func(n int, _ error) {
				if n == 0 {
					_ = (<-accepted).conn.CloseWrite()
				}
			}
		}, pool.InvalidResponse},
		{"reset after the orderly close", 1, true, func(t *testing.T, c *orderedConn, accepted chan target) {
			c.afterRead = func(n int, err error) {
				if n == 0 {
					_ = (<-accepted).conn.CloseWrite()
				}
				if errors.Is(err, io.EOF) {
					resetConnection((<-accepted).conn)
					c.awaitClosed(t)
				}
			}
		}, pool.InvalidResponse},
		{"complete, short request", 1, true, func(_ *testing.T, c *orderedConn, accepted chan target) {
			c.afterRead = func(n int, _ error) {
				if n == 0 {
					_ = (<-accepted).conn.Close()
				}
			}
		}, pool.OK},
		{"complete, the write returns late", longBody, true, func(_ *testing.T, c *orderedConn, accepted chan target) {
			sawEnd := make(chan struct{})
			c.afterWrite = func() { <-sawEnd }
			c.afterRead = func(n int, err error) {
				if n == 0 {
					_ = (<-accepted).conn.Close()
				}
				if errors.Is(err, io.EOF) {
					time.AfterFunc(20*time.Millisecond, func() { close(sawEnd) })
				}
			}
		}, pool.OK},
	}
	for _, tc := range cases {
		for _, streamed := range []bool{false, true} {
			t.Run(tc.desc, func(t *testing.T) {
				listener := listenWithSmallWindow(t)
				accepted := make(chan target, 2)
				go func() {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					end := target{conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
					r, err := http.ReadRequest(end.reader)
					if err == nil && tc.readAll {
						_, err = io.Copy(io.Discard, r.Body)
					}
					if err == nil {
						_, err = io.WriteString(c, endlessHead+"part")
					}
					if err == nil {
						accepted <- end
						accepted <- end
					}
				}()
				memory := membudget.New(0)
				if streamed {
					memory.SetLimit(1)
				}
				client := New(sys.RealClock{}, names, memory, nil)
				client.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					c := &orderedConn{TCPConn: raw.(*net.TCPConn), wroteBody: make(chan struct{})}
					tc.order(t, c, accepted)
					return c, nil
				}
				result := send(client, Target{ID: "i", Address: listener.Addr().String()}, "id-1", strings.Repeat("x", tc.body))
				outcome := result.Outcome
				if streamed {
					require.NotNil(t, result.Response, "%v", result.Err)
					result.Response.OnEnd(func(k pool.OutcomeKind) { outcome = k })
					_, err := io.Copy(io.Discard, result.Response.Rest)
					assert.Equal(t, tc.outcome == pool.OK, err == nil, "%v", err)
				}
				if result.Response != nil {
					result.Response.Close()
				}
				assert.Equal(t, tc.outcome, outcome, "%v", result.Err)
				assert.True(t, result.MayHaveRun)
			})
		}
	}
}

var _ syscall.Conn = (*orderedConn)(nil)
