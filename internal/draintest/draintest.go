// Package draintest checks in tests that a server which stops does not lose a request
// that has begun to arrive.
package draintest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// arrivalTime is enough for the server to read what was sent to it.
	arrivalTime = 100 * time.Millisecond
	stepTimeout = 30 * time.Second
)

// CheckSplitRequests sends heads in two parts, the first before the server stops and
// the second after it has closed its listener, and checks that each request is
// answered and that its connection is then closed. Stop starts the stop of the server
// and must not wait for it.
func CheckSplitRequests(t *testing.T, address string, stop func()) {
	t.Helper()
	cases := []struct {
		desc  string
		conn  *splitConn
		prior bool // a request was answered on the connection before
	}{
		{desc: "the first request of a connection", conn: dial(t, address)},
		{desc: "a later request of a connection", conn: dial(t, address), prior: true},
	}
	for _, tc := range cases {
		if tc.prior {
			tc.conn.send(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := tc.conn.response()
			require.NoError(t, err)
			require.False(t, response.Close, "the connection is kept")
		}
		tc.conn.send(t, "GET / HTTP/1.1\r\n")
	}
	time.Sleep(arrivalTime)
	stop()
	require.Eventually(t, func() bool { return !accepts(address) }, stepTimeout, time.Millisecond, "the listener closes")
	for _, tc := range cases {
		_, _ = io.WriteString(tc.conn, "Host: h\r\n\r\n") // fails if the server has closed the connection
		_, err := tc.conn.response()
		assert.NoError(t, err, tc.desc)
	}
	for _, tc := range cases {
		_, err := tc.conn.reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "the connection is closed after the response: "+tc.desc)
	}
}

// splitConn is a connection with the reader of its responses.
type splitConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *splitConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(stepTimeout)))
	return &splitConn{Conn: c, reader: bufio.NewReader(c)}
}

func (c *splitConn) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// response reads a whole response.
func (c *splitConn) response() (*http.Response, error) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// accepts reports whether a server accepts connections at the address.
func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
