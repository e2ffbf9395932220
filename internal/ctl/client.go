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
	// attemptTimeout is above the time a control member takes to give up.
	attemptTimeout = 8 * time.Second
	dialTimeout    = 2 * time.Second
	maxAnswerBytes = 256 << 20
)

// Client sends requests to the first address that answers.
type Client struct {
	Addresses []string // IP addresses and ports, tried in order
	Token     string   // operators' token
	HTTP      *http.Client
	Clock     sys.Clock
}

// NewClient returns a client on the operating system's clock.
func NewClient(addresses []string, token string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{Addresses: addresses, Token: token, HTTP: &http.Client{Transport: transport}, Clock: sys.RealClock{}}
}

// Get reads path from the first address that answers into out. A refusal for
// a reason other than a missing leader is final.
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

// GetFrom reads path from one address into out.
func (c *Client) GetFrom(ctx context.Context, address, path string, out any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, out)
}

// isFinal reports whether another address would give the same answer.
func isFinal(err error) bool {
	var refused *controlapi.Error
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Kind {
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(response.StatusCode, raw)
	}
	return json.Unmarshal(raw, out)
}

func decodeRefusal(status int, raw []byte) error {
	var refused controlapi.Error
	if err := json.Unmarshal(raw, &refused); err != nil || !refused.Kind.Valid() {
		return fmt.Errorf("answer with status %d is not one of a control member", status)
	}
	return &refused
}
