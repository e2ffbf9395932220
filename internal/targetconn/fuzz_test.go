package targetconn

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// scriptedConn is a connection to a target that sends fixed bytes and then closes.
type scriptedConn struct {
	net.Conn // nil; only the methods below are used
	sent     *bytes.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)     { return c.sent.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (scriptedConn) SetDeadline(time.Time) error      { return nil }
func (scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (scriptedConn) Close() error                     { return nil }

// Guards against bytes of a target that end the process, pass as a response to
// another request or without the target's signature, or keep memory for good.
func FuzzExchange(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Mark: t\r\n"
	for _, seed := range []string{
		head + "Content-Length: 2\r\n\r\nok",
		head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nTrailer: t\r\n\r\n",
		head + "Content-Length: 9999999\r\n\r\n" + strings.Repeat("x", 5000),
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno" + head + "\r\nrest",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\nKeep-Alive: timeout=99999999999999\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Id: i\r\nX-Not-Run: 1\r\nRetry-After: 1e99\r\nX-Load: 1,2,3\r\nX-Leaving: 1\r\n\r\n",
		"HTTP/1.1 421 Wrong\r\nX-Id: i\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	all := names
	all.Leaving, all.Load = "X-Leaving", "X-Load"
	f.Fuzz(func(t *testing.T, sent []byte) {
		memory := membudget.New(64 << 10)
		c := New(sys.RealClock{}, all, memory, nil)
		raw := scriptedConn{sent: bytes.NewReader(sent)}
		reader, limit := newReader(raw)
		result, _, _ := c.exchange(Target{ID: "t"}, &conn{Conn: raw, reader: reader, limit: limit}, Request{ID: "i", Method: "GET", URI: "/", Host: "h"})
		switch {
		case result.Response == nil && result.Err == nil:
			t.Fatalf("neither a response nor an error: %+v", result)
		case result.Response == nil:
		case result.Response.Header.Get(all.RequestID) != "i":
			t.Fatalf("a response to another request: %+v", result.Response)
		case result.Outcome == pool.OK && result.Response.Status/100 == 2 && result.Response.Header.Get(all.Signature) == "":
			t.Fatalf("a success without signature: %+v", result.Response)
		}
		if result.Response != nil {
			if result.Response.Rest != nil {
				_, _ = io.Copy(io.Discard, result.Response.Rest)
			}
			result.Response.Close()
		}
		if used := memory.Used(); used != 0 {
			t.Fatalf("%d bytes of memory are kept", used)
		}
	})
}
