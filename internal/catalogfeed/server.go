package catalogfeed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Source is a copy of the catalog that a Server serves.
type Source interface {
	Current() *plan.Snapshot
	DeltaSince(version uint64) plan.Delta
	Changed() <-chan struct{} // closed when the catalog changes
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Source    Source
	InContact func() bool     // reports whether this process is in contact with a leader
	Done      <-chan struct{} // closed on shutdown; ends waiting requests
	Clock     sys.Clock
	Token     string // fleet token
}

// Server serves the feed to polling clients.
type Server struct {
	options    ServerOptions
	token      tokenVerifier
	fullDeltas fullDeltaCache
}

// NewServer returns a Server with the options.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, token: newTokenVerifier(options.Token)}
}

// pollParams holds the query parameters of a poll.
type pollParams struct {
	after uint64
	wait  time.Duration
	full  bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "catalog feed")
	defer span.End()
	requestID := r.Header.Get(fault.HeaderRequestID)
	if !s.token.accepts(r) {
		fault.Write(w, requestID, fault.New(fault.Unauthorized, "fleet token required"))
		return
	}
	params, bad := parsePollParams(r)
	if bad != nil {
		fault.Write(w, requestID, bad)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &responseWriter{w: w, controller: http.NewResponseController(w), encoder: json.NewEncoder(w)}
	// net/http keeps the write deadline for later requests on the connection.
	defer func() { _ = out.controller.SetWriteDeadline(time.Time{}) }()
	if s.wait(r.WithContext(ctx), out, params) {
		s.sendDelta(out, params)
	}
}

func parsePollParams(r *http.Request) (pollParams, *fault.Error) {
	query := r.URL.Query()
	var params pollParams
	var err error
	if params.after, err = strconv.ParseUint(query.Get("after"), 10, 64); err != nil {
		return pollParams{}, fault.New(fault.BadRequest, "after: want a catalog version")
	}
	if text := query.Get("wait"); text != "" {
		params.wait, err = time.ParseDuration(text)
		if err != nil || params.wait < 0 || params.wait > MaxWait {
			return pollParams{}, fault.New(fault.BadRequest, "wait: want a duration from 0s to "+MaxWait.String())
		}
	}
	if text := query.Get("full"); text != "" {
		if params.full, err = strconv.ParseBool(text); err != nil {
			return pollParams{}, fault.New(fault.BadRequest, "full: want true or false")
		}
	}
	return params, nil
}

// wait sends alive lines until there is a delta to send. It returns false if the
// response has ended without one.
func (s *Server) wait(r *http.Request, out *responseWriter, params pollParams) bool {
	ticker := s.options.Clock.NewTicker(AliveInterval)
	defer ticker.Stop()
	deadline := s.options.Clock.After(params.wait)
	for {
		changed := s.options.Source.Changed()
		version := s.options.Source.Current().Version()
		if err := out.line(line{Type: lineAlive, InContact: s.options.InContact(), Version: version}); err != nil {
			return false
		}
		if version > params.after || params.full {
			return true
		}
		select {
		case <-changed:
		case <-ticker.C():
		case <-r.Context().Done():
			return false
		case <-s.options.Done:
			_ = out.line(line{Type: lineEnd, InContact: s.options.InContact(), Version: version})
			return false
		case <-deadline:
			_ = out.line(line{Type: lineEnd, InContact: s.options.InContact(), Version: version})
			return false
		}
	}
}

// sendDelta compresses the delta and sends it. It sends alive lines meanwhile,
// because compressing a large catalog can take longer than the idle timeout of
// the client.
func (s *Server) sendDelta(out *responseWriter, params pollParams) {
	result := make(chan compressedDelta, 1)
	go func() { result <- s.compressDelta(params) }()
	ticker := s.options.Clock.NewTicker(AliveInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-result:
			s.sendPayload(out, d)
			return
		case <-ticker.C():
			alive := line{Type: lineAlive, InContact: s.options.InContact(), Version: s.options.Source.Current().Version()}
			if out.line(alive) != nil {
				<-result
				return
			}
		}
	}
}

func (s *Server) sendPayload(out *responseWriter, d compressedDelta) {
	if d.err != nil {
		return
	}
	metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_bytes_total`).Add(len(d.payload))
	header := line{Type: lineDelta, InContact: s.options.InContact(), Version: d.version, Bytes: int64(len(d.payload))}
	if out.line(header) != nil {
		return
	}
	out.setWriteTimeout(payloadTimeout)
	_, _ = out.w.Write(d.payload)
}

// compressedDelta is a compressed delta and the version that it leads to.
type compressedDelta struct {
	payload []byte
	version uint64
	err     error
}

func (s *Server) compressDelta(params pollParams) compressedDelta {
	var d plan.Delta
	if params.full {
		d = s.options.Source.Current().FullDelta()
	} else {
		d = s.options.Source.DeltaSince(params.after)
	}
	compressed := compressedDelta{version: d.To}
	if d.Full {
		metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_total{kind="full"}`).Inc()
		compressed.payload, compressed.err = s.fullDeltas.get(d)
		return compressed
	}
	metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_total{kind="delta"}`).Inc()
	compressed.payload, compressed.err = Compress(d)
	return compressed
}

// setWriteTimeout limits the time of the next write. Otherwise a client that no
// longer reads would block the request until TCP times out. Writers that do not
// support deadlines are not limited.
func (o *responseWriter) setWriteTimeout(d time.Duration) {
	_ = o.controller.SetWriteDeadline(time.Now().Add(d))
}

// responseWriter writes lines and flushes each of them.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	encoder    *json.Encoder
}

func (o *responseWriter) line(l line) error {
	o.setWriteTimeout(lineTimeout)
	if err := o.encoder.Encode(l); err != nil {
		return err
	}
	return o.controller.Flush()
}
