package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/httphead"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/tcpalive"
)

const (
	maxProbeResponse = 64 << 10 // bytes
	maxProbeTimeout  = 5 * time.Second
)

// probeRequest asks another entry to probe a target.
type probeRequest struct {
	Address   string `json:"address"`
	Path      string `json:"path"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// probeReply is the outcome of the probe by the other entry.
type probeReply struct {
	Kind          owner.OutcomeKind `json:"kind"`
	ServiceTimeMS float64           `json:"service_time_ms"`
	BytesSent     bool              `json:"bytes_sent"`
}

// probe runs a probe that the owner.Service requested and reports its outcome
// to it.
func (e *Entry) probe(ctx context.Context, s *serviceState, a owner.Action) {
	var outcome owner.Outcome
	if a.Kind == owner.PeerProbe {
		outcome = e.probeThroughPeer(ctx, s, a)
	} else {
		outcome = probeTarget(ctx, a.Target.Address, a.Target.ProbePath, a.Timeout)
	}
	s.service.ProbeResult(a.ProbeID, outcome)
}

// probeTarget sends a probe on a new connection. A complete response with a
// status below 500 is OK, and so is a 501 to a probe without a path.
func probeTarget(ctx context.Context, address, path string, timeout time.Duration) owner.Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	dialer := &net.Dialer{Timeout: timeout, Control: tcpalive.Control(userTimeout)}
	r, err := newProbe(ctx, address, path)
	if err != nil {
		return owner.Outcome{Kind: owner.Canceled}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &probeConn{Conn: conn}
		c.responses.Begin(r.Method)
		return c, nil
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	r.Header.Set(headerRequestID, newID())
	response, err := transport.RoundTrip(r)
	if err != nil {
		return probeFailure(ctx, err, time.Since(started))
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeResponse)); err != nil {
		return owner.Outcome{Kind: owner.Truncated, ServiceTime: time.Since(started), BytesSent: true}
	}
	outcome := owner.Outcome{Kind: owner.OK, ServiceTime: time.Since(started), BytesSent: true}
	if response.StatusCode >= http.StatusInternalServerError && (path != "" || response.StatusCode != http.StatusNotImplemented) {
		outcome.Kind = owner.UpstreamError
	}
	return outcome
}

// probeConn is a connection for one probe. It validates the response.
type probeConn struct {
	net.Conn
	responses httphead.Validator
}

// Read implements net.Conn.
func (c *probeConn) Read(p []byte) (int, error) { return c.responses.Read(c.Conn, p) }

// newProbe returns the request of a probe. Without a path it is OPTIONS *, which
// addresses the server as a whole and has no effect on the service.
func newProbe(ctx context.Context, address, path string) (*http.Request, error) {
	if path != "" {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+address, http.NoBody)
	if err == nil {
		r.URL.Opaque = "*"
	}
	return r, err
}

func probeFailure(ctx context.Context, err error, took time.Duration) owner.Outcome {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return owner.Outcome{Kind: owner.ConnectFailed, ServiceTime: took}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return owner.Outcome{Kind: owner.Timeout, ServiceTime: took, BytesSent: true}
	}
	if ctx.Err() != nil {
		return owner.Outcome{Kind: owner.Canceled}
	}
	return owner.Outcome{Kind: owner.Truncated, ServiceTime: took, BytesSent: true}
}

// probeThroughPeer lets another entry of the region probe the target. If there
// is none or it does not reply, the outcome is Canceled, which says nothing
// about the target.
func (e *Entry) probeThroughPeer(ctx context.Context, s *serviceState, a owner.Action) owner.Outcome {
	canceled := owner.Outcome{Kind: owner.Canceled}
	others := lo.Filter(e.ranker.Rank(s.name, e.self.Region), func(m membership.Member, _ int) bool { return m.Name != e.self.Name })
	if len(others) == 0 {
		return canceled
	}
	body, err := json.Marshal(probeRequest{Address: a.Target.Address, Path: a.Target.ProbePath, TimeoutMS: a.Timeout.Milliseconds()})
	if err != nil {
		panic("entry: cannot encode probe request: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout+ackTimeout)
	defer cancel()
	var reply probeReply
	if err := e.postPeer(ctx, others[e.randomIndex(len(others))], peerProbePath, body, &reply); err != nil {
		return canceled
	}
	return owner.Outcome{
		Kind:        reply.Kind,
		ServiceTime: time.Duration(reply.ServiceTimeMS * float64(time.Millisecond)),
		BytesSent:   reply.BytesSent,
	}
}

func (e *Entry) serveProbe(w http.ResponseWriter, r *http.Request) {
	var q probeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxErrorBody)).Decode(&q); err != nil {
		fault.Write(w, "", fault.New(fault.BadRequest, "probe: "+err.Error()))
		return
	}
	timeout := min(time.Duration(q.TimeoutMS)*time.Millisecond, maxProbeTimeout)
	outcome := probeTarget(r.Context(), q.Address, q.Path, timeout)
	writeJSON(w, probeReply{
		Kind:          outcome.Kind,
		ServiceTimeMS: float64(outcome.ServiceTime) / float64(time.Millisecond),
		BytesSent:     outcome.BytesSent,
	})
}
