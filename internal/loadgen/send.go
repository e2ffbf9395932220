package loadgen

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/fault"
)

const (
	headerDigest  = "X-Body-Digest"
	deadlineSlack = 200 * time.Millisecond // wait beyond the deadline, so that the fleet's response at the deadline is seen
)

// outcome is the result of one request, over all its attempts.
type outcome struct {
	name     string       // ok, late, wrong_id, wrong_digest, wrong_body, no_answer, unreachable, broken, bad_settings, a fault kind or status_ and the code
	effect   fault.Effect // of the last attempt
	latency  time.Duration
	rejected bool // the fleet itself responded with an error
	attempts int
	effects  []fault.Effect // of all attempts, in order
	detail   string         // of the last attempt, if it failed
	broken   int            // attempts whose connection broke after the request was sent
}

// send sends the request to one address after another, until an attempt need not
// or must not be retried, at most MaxAttempts times and until the deadline.
func (g *Generator) send(s *Stream, p plannedRequest, id, key string) outcome {
	deadline := p.at.Add(s.Timeout.Std())
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(deadlineSlack))
	defer cancel()
	body := makeBody(s.BodyBytes, p.seed)
	addresses := g.resolvers[s.Service].addresses(ctx, p.addressDraw)
	last := outcome{name: "unreachable", effect: fault.NotRun}
	for i := range g.cfg.MaxAttempts {
		if len(addresses) == 0 || time.Now().After(deadline) {
			break
		}
		attempts, broken, effects := last.attempts, last.broken, last.effects
		var retry bool
		last, retry = g.attempt(ctx, s, p, addresses[i%len(addresses)], id, key, body, deadline)
		last.attempts = attempts + 1
		last.broken += broken
		last.effects = append(effects, last.effect)
		if !retry {
			break
		}
	}
	last.latency = time.Since(p.at)
	if last.name == "ok" && last.latency > s.Timeout.Std() {
		last.name = "late"
	}
	return last
}

// resend sends a request again after its first outcome. The result is the outcome
// of the resend, with the attempts of both.
func (g *Generator) resend(s *Stream, p plannedRequest, id, key string, first outcome) outcome {
	p.at = time.Now()
	o := g.send(s, p, id, key)
	o.attempts += first.attempts
	o.broken += first.broken
	o.effects = append(first.effects, o.effects...)
	return o
}

// attempt sends the request to one address. retry tells whether to try another
// address.
func (g *Generator) attempt(ctx context.Context, s *Stream, p plannedRequest, host, id, key string, body []byte, deadline time.Time) (o outcome, retry bool) {
	r, err := g.newRequest(ctx, s, p, host, id, key, body, deadline)
	if err != nil {
		return outcome{name: "bad_settings: " + err.Error()}, false
	}
	response, err := g.client.Do(r)
	if err != nil {
		return classifyFailure(ctx, err, s, key)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return classifyFailure(ctx, err, s, key)
	}
	return checkResponse(response, raw, s, id, body)
}

func (g *Generator) newRequest(ctx context.Context, s *Stream, p plannedRequest, host, id, key string, body []byte, deadline time.Time) (*http.Request, error) {
	query := url.Values{}
	if work := s.Work.Std(); work > 0 {
		if p.straggler {
			work = time.Duration(float64(work) * s.StragglerFactor)
		}
		query.Set("work", work.String())
	}
	if s.ResponseBytes > 0 {
		query.Set("size", strconv.Itoa(s.ResponseBytes))
	}
	target := "http://" + host + "/s/" + s.Service + s.Path + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, s.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not resend the request by itself, so that each
	// broken attempt is counted.
	r.GetBody = nil
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set("Authorization", "Bearer "+s.Token)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Request-Timeout", max(time.Until(deadline), time.Millisecond).String())
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r, nil
}

// classifyFailure returns the outcome of an attempt without a complete response,
// and whether to try another address: only if that cannot run the request twice.
func classifyFailure(ctx context.Context, err error, s *Stream, key string) (outcome, bool) {
	if ctx.Err() != nil {
		return outcome{name: "no_answer", effect: fault.Unknown, detail: err.Error()}, false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{name: "unreachable", effect: fault.NotRun}, true
	}
	retryable := key != "" || s.Method == http.MethodGet || s.Method == http.MethodHead
	return outcome{name: "broken", effect: fault.Unknown, broken: 1, detail: err.Error()}, retryable
}

// checkResponse returns the outcome of an attempt with a complete response, and
// whether to try another address.
func checkResponse(response *http.Response, raw []byte, s *Stream, id string, body []byte) (outcome, bool) {
	if response.Header.Get("X-Request-Id") != id {
		return outcome{name: "wrong_id", effect: fault.Unknown}, false
	}
	if kind := response.Header.Get(fault.HeaderKind); kind != "" {
		e := fault.Decode(raw)
		return outcome{name: kind, effect: e.Effect, rejected: true, detail: e.Detail}, retryElsewhere(e.Kind)
	}
	if response.StatusCode != http.StatusOK {
		return outcome{name: "status_" + strconv.Itoa(response.StatusCode), effect: fault.Ran}, false
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	if response.Header.Get(headerDigest) != digest {
		return outcome{name: "wrong_digest", effect: fault.Unknown}, false
	}
	if !bytes.Equal(raw, expectedBody(s.ResponseBytes, id, digest)) {
		return outcome{name: "wrong_body", effect: fault.Unknown}, false
	}
	return outcome{name: "ok", effect: fault.Ran}, false
}

// retryElsewhere reports whether an error of kind k concerns the address and not
// the request.
func retryElsewhere(k fault.Kind) bool {
	switch k {
	case fault.Draining, fault.Isolated, fault.OwnerUnreachable:
		return true
	default:
		return false
	}
}

// expectedBody returns the body with which the simulated upstream responds.
func expectedBody(size int, id, digest string) []byte {
	line := fmt.Sprintf("id=%s digest=%s\n", id, digest)
	if size <= len(line) {
		return []byte(line)
	}
	repeated := bytes.Repeat([]byte(line), size/len(line)+1)
	return repeated[:size]
}

func makeBody(size int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 3))
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + rng.IntN(26))
	}
	return body
}
