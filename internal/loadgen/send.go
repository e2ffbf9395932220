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
	deadlineSlack = 200 * time.Millisecond // awaited beyond the deadline, to see the answer to it
)

// outcome is the end of one request.
type outcome struct {
	name    string // ok, late, wrong_id, wrong_digest, short, unreachable, broken, a fault kind or a status
	effect  fault.Effect
	latency time.Duration
	refused bool // an error of the fleet
	tries   int
	effects []fault.Effect // of all attempts, in order
	detail  string         // of a failure
	broken  int            // attempts whose connection broke after the request was sent
}

// send sends the request to one address after another until one answers.
func (g *Generator) send(s *Stream, p planned, id, key string) outcome {
	deadline := p.at.Add(s.Timeout.Std())
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(deadlineSlack))
	defer cancel()
	body := makeBody(s.BodyBytes, p.seed)
	addresses := g.resolvers[s.Service].addresses(ctx, p.pick)
	last := outcome{name: "unreachable", effect: fault.NotRun}
	for i := range g.cfg.Tries {
		if len(addresses) == 0 || time.Now().After(deadline) {
			break
		}
		tries, broken, effects := last.tries, last.broken, last.effects
		var next bool
		last, next = g.try(ctx, s, p, addresses[i%len(addresses)], id, key, body, deadline)
		last.tries = tries + 1
		last.broken += broken
		last.effects = append(effects, last.effect)
		if !next {
			break
		}
	}
	last.latency = time.Since(p.at)
	if last.name == "ok" && last.latency > s.Timeout.Std() {
		last.name = "late"
	}
	return last
}

// resend sends a request again that ended as first. The outcome is that of the
// resend; attempts are those of both.
func (g *Generator) resend(s *Stream, p planned, id, key string, first outcome) outcome {
	p.at = time.Now()
	o := g.send(s, p, id, key)
	o.tries += first.tries
	o.broken += first.broken
	o.effects = append(first.effects, o.effects...)
	return o
}

// try sends one attempt. next tells whether another address may do better.
func (g *Generator) try(ctx context.Context, s *Stream, p planned, at, id, key string, body []byte, deadline time.Time) (o outcome, next bool) {
	r, err := g.request(ctx, s, p, at, id, key, body, deadline)
	if err != nil {
		return outcome{name: "bad_settings: " + err.Error()}, false
	}
	response, err := g.client.Do(r)
	if err != nil {
		return failed(ctx, err, s, key)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return failed(ctx, err, s, key)
	}
	return check(response, raw, s, id, body)
}

func (g *Generator) request(ctx context.Context, s *Stream, p planned, at, id, key string, body []byte, deadline time.Time) (*http.Request, error) {
	query := url.Values{}
	if work := s.Work.Std(); work > 0 {
		if p.straggler {
			work = time.Duration(float64(work) * s.StragglerFactor)
		}
		query.Set("work", work.String())
	}
	if s.AnswerBytes > 0 {
		query.Set("size", strconv.Itoa(s.AnswerBytes))
	}
	target := "http://" + at + "/s/" + s.Service + s.Path + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, s.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not resend by itself, so that each broken
	// attempt is counted.
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

// failed judges an attempt without a whole answer. It is repeated elsewhere if
// that cannot run the request twice.
func failed(ctx context.Context, err error, s *Stream, key string) (outcome, bool) {
	if ctx.Err() != nil {
		return outcome{name: "no_answer", effect: fault.Unknown, detail: err.Error()}, false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{name: "unreachable", effect: fault.NotRun}, true
	}
	repeatable := key != "" || s.Method == http.MethodGet || s.Method == http.MethodHead
	return outcome{name: "broken", effect: fault.Unknown, broken: 1, detail: err.Error()}, repeatable
}

func check(response *http.Response, raw []byte, s *Stream, id string, body []byte) (outcome, bool) {
	if response.Header.Get("X-Request-Id") != id {
		return outcome{name: "wrong_id", effect: fault.Unknown}, false
	}
	if kind := response.Header.Get(fault.HeaderKind); kind != "" {
		e := fault.Decode(raw)
		return outcome{name: kind, effect: e.Effect, refused: true, detail: e.Detail}, elsewhere(e.Kind)
	}
	if response.StatusCode != http.StatusOK {
		return outcome{name: "status_" + strconv.Itoa(response.StatusCode), effect: fault.Ran}, false
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	if response.Header.Get(headerDigest) != digest {
		return outcome{name: "wrong_digest", effect: fault.Unknown}, false
	}
	if !bytes.Equal(raw, wantBody(s.AnswerBytes, id, digest)) {
		return outcome{name: "wrong_body", effect: fault.Unknown}, false
	}
	return outcome{name: "ok", effect: fault.Ran}, false
}

// elsewhere reports whether a refusal concerns the address and not the request.
func elsewhere(k fault.Kind) bool {
	switch k {
	case fault.Draining, fault.Isolated, fault.OwnerUnreachable:
		return true
	default:
		return false
	}
}

// wantBody is the answer of the stand-in upstream.
func wantBody(size int, id, digest string) []byte {
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
