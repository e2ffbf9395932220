package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	// attemptTimeout exceeds the time limits of control members, so that their
	// error responses arrive.
	attemptTimeout   = 8 * time.Second
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 256 << 20
)

// Client sends requests to control members or entries, and tries its addresses in
// order.
type Client struct {
	Addresses []string // IP addresses and ports, tried in order
	Token     string   // operator token
	HTTP      *http.Client
	Clock     sys.Clock
}

// NewClient returns a client that uses the system clock.
func NewClient(addresses []string, token string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{Addresses: addresses, Token: token, HTTP: &http.Client{Transport: transport}, Clock: sys.RealClock{}}
}

// Get requests path from each address in order until one succeeds, and decodes
// the response into out. An error response ends the search, unless another
// address may do better: the member knows no leader, drains, failed internally or
// does not know the outcome.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	failures := []error{ErrUnreachable}
	for _, address := range c.Addresses {
		err := c.call(ctx, http.MethodGet, address, path+encodeQuery(query), nil, out)
		if err == nil || isFinal(err) {
			return err
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
	}
	return errors.Join(failures...)
}

// GetFrom requests path from one address and decodes the response into out.
func (c *Client) GetFrom(ctx context.Context, address, path string, out any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, out)
}

// isFinal reports whether err is an error response that ends the search of Get.
func isFinal(err error) bool {
	var apiErr *controlapi.Error
	if !errors.As(err, &apiErr) {
		return false
	}
	switch apiErr.Kind {
	case fault.ControlUnavailable, fault.CommitUnknown, fault.Internal, fault.Draining:
		return false
	default:
		return true
	}
}

func encodeQuery(query url.Values) string {
	if len(query) == 0 {
		return ""
	}
	return "?" + query.Encode()
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, raw)
	}
	return json.Unmarshal(raw, out)
}

func decodeError(status int, raw []byte) error {
	var apiErr controlapi.Error
	if err := json.Unmarshal(raw, &apiErr); err != nil || !apiErr.Kind.Valid() {
		return fmt.Errorf("response with HTTP status %d is not in the error format of the fleet", status)
	}
	return &apiErr
}
