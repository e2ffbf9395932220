// Package peerhttp is the client side of the JSON calls between processes of a
// fleet.
package peerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	dialTimeout    = 300 * time.Millisecond
	userTimeout    = 700 * time.Millisecond // unacknowledged bytes close the connection
	idleTimeout    = 20 * time.Second
	idlePerPeer    = 8
	maxAnswerBytes = 64 << 20
	tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks
)

// StatusError is an answer other than 2xx.
type StatusError struct {
	Code int
	Text string // begin of the body
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("peer answered %d: %s", e.Code, e.Text) }

// Client calls other processes. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client whose connections end when bytes stay unacknowledged.
func New() *Client { return newClient(false) }

// NewCompressed returns a client that asks for compressed answers as well. It
// is for long answers, since asking makes each request longer.
func NewCompressed() *Client { return newClient(true) }

func newClient(compressed bool) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: SetUserTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  !compressed,
	}}}
}

// SetUserTimeout makes the kernel close a connection whose bytes are not
// acknowledged in time. It is a Control function of net.Dialer.
func SetUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Post sends the request as JSON to a path of the peer and reads its answer.
func (c *Client) Post(ctx context.Context, peer, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("request for %s cannot be encoded: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header["User-Agent"] = nil
	telemetry.Inject(ctx, r.Header)
	response, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return &StatusError{Code: response.StatusCode, Text: string(raw[:min(len(raw), 200)])}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("answer of %s%s cannot be read: %w", peer, path, err)
	}
	return nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
