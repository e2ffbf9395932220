// Package peerhttp implements the JSON calls over HTTP between the processes of
// a fleet: a client, and helpers for the handlers.
package peerhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/tcpalive"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	dialTimeout      = 300 * time.Millisecond
	userTimeout      = 700 * time.Millisecond // a connection is closed when bytes stay unacknowledged this long
	idleTimeout      = 20 * time.Second
	maxIdlePerPeer   = 8
	maxResponseBytes = 64 << 20
)

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Code int
	Text string // start of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer responded with status %d: %s", e.Code, e.Text)
}

// Client sends calls to other processes. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client whose connections are closed when sent bytes stay
// unacknowledged. Traffic is counted by the distances of locations, which may be
// nil.
func New(locations *traffic.Locations) *Client { return newClient(false, locations) }

// NewCompressed is like New, but the client accepts compressed responses. It is
// for large responses, since the Accept-Encoding header makes each request longer.
func NewCompressed(locations *traffic.Locations) *Client { return newClient(true, locations) }

func newClient(compressed bool, locations *traffic.Locations) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: tcpalive.Control(userTimeout)}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         traffic.CountDials(dialer.DialContext, locations, traffic.Other),
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  !compressed,
	}}}
}

// Post sends the request to a path of the peer and decodes the response into
// result, unless result is nil. It returns a *StatusError for a status other than
// 2xx. Its bytes are counted for the cause.
//
// The request is sent as CBOR, and once more as JSON if the peer cannot read it: a
// peer that rejects a body has not processed the call.
func (c *Client) Post(ctx context.Context, cause traffic.Cause, peer, path string, request, result any) error {
	ctx = traffic.Attribute(ctx, cause)
	err := c.post(ctx, formatCBOR, peer, path, request, result)
	var rejected *StatusError
	if errors.As(err, &rejected) && rejected.Code == http.StatusBadRequest {
		return c.post(ctx, formatJSON, peer, path, request, result)
	}
	return err
}

func (c *Client) post(ctx context.Context, f format, peer, path string, request, result any) error {
	body, err := f.marshal(request)
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return &StatusError{Code: response.StatusCode, Text: string(raw[:min(len(raw), 200)])}
	}
	if result == nil {
		return nil
	}
	if err := formatOf(raw).unmarshal(raw, result); err != nil {
		return fmt.Errorf("response of %s%s cannot be decoded: %w", peer, path, err)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
