package targetconn

import (
	"net/http"
	"time"

	"github.com/sequoialane/sequoialane/internal/retryafter"
)

// Advice is what a target asks of this process in the head of a response, beside
// the response itself.
type Advice struct {
	Leaving    bool          // it is about to stop and wants no further request
	RetryAfter time.Duration // it wants no request for so long; 0: not stated
	Malformed  string        // Retry-After that cannot be read or is out of range; empty: none
}

func (a Advice) isEmpty() bool { return a == Advice{} }

// OnAdvice sets a function that is called with each advice as soon as the head of
// the response was read, also of a response that belongs to an earlier request. It
// must be set before the first request.
func (c *Client) OnAdvice(f func(Target, Advice)) { c.onAdvice = f }

// handleAdvice reads the advice in the head of a response and passes it on.
func (c *Client) handleAdvice(t Target, raw *http.Response) Advice {
	a := c.adviceOf(raw)
	if c.onAdvice != nil && !a.isEmpty() {
		c.onAdvice(t, a)
	}
	return a
}

func (c *Client) adviceOf(raw *http.Response) Advice {
	var a Advice
	if c.names.Leaving != "" {
		a.Leaving = raw.Header.Get(c.names.Leaving) == "1"
	}
	text := raw.Header.Get(retryafter.Header)
	if raw.StatusCode != http.StatusServiceUnavailable || text == "" {
		return a
	}
	wait, ok := retryafter.Parse(text, time.Now())
	a.RetryAfter = wait
	if !ok {
		a.Malformed = text
	}
	return a
}
