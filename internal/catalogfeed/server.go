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

// Source is the copy of the catalog that is served.
type Source interface {
	Current() *plan.Snapshot
	DeltaSince(version uint64) plan.Delta
	Changed() <-chan struct{} // closed when the version rises
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Source  Source
	Contact func() bool     // whether this process is in contact with a leader
	Done    <-chan struct{} // closed on shutdown; ends waiting requests
	Clock   sys.Clock
	Token   string // fleet token
}

// Server answers requests for changes of the catalog.
type Server struct {
	options ServerOptions
	token   tokenCheck
	full    fullCopy
}

// NewServer returns a handler of the feed.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, token: newTokenCheck(options.Token)}
}

// request holds the parameters of one poll.
type request struct {
	after uint64
	wait  time.Duration
	full  bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "catalog feed")
	defer span.End()
	requestID := r.Header.Get(fault.HeaderRequestID)
	if !s.token.accepts(r) {
		fault.Write(w, requestID, fault.New(fault.Unauthorized, "fleet token required"))
		return
	}
	parsed, bad := parseRequest(r)
	if bad != nil {
		fault.Write(w, requestID, bad)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &responseWriter{w: w, control: http.NewResponseController(w), encoder: json.NewEncoder(w)}
	// net/http keeps a write deadline for later requests on the connection.
	defer func() { _ = out.control.SetWriteDeadline(time.Time{}) }()
	if s.wait(r.WithContext(ctx), out, parsed) {
		s.sendDelta(out, parsed)
	}
}

func parseRequest(r *http.Request) (request, *fault.Error) {
	query := r.URL.Query()
	var parsed request
	var err error
	if parsed.after, err = strconv.ParseUint(query.Get("after"), 10, 64); err != nil {
		return request{}, fault.New(fault.BadRequest, "after: want a catalog version")
	}
	if text := query.Get("wait"); text != "" {
		parsed.wait, err = time.ParseDuration(text)
		if err != nil || parsed.wait < 0 || parsed.wait > MaxWait {
			return request{}, fault.New(fault.BadRequest, "wait: want a duration from 0s to "+MaxWait.String())
		}
	}
	if text := query.Get("full"); text != "" {
		if parsed.full, err = strconv.ParseBool(text); err != nil {
			return request{}, fault.New(fault.BadRequest, "full: want true or false")
		}
	}
	return parsed, nil
}

// wait sends alive lines until there is something to send. It reports false
// if the request has been answered without a delta.
func (s *Server) wait(r *http.Request, out *responseWriter, parsed request) bool {
	ticker := s.options.Clock.NewTicker(AliveInterval)
	defer ticker.Stop()
	deadline := s.options.Clock.After(parsed.wait)
	for {
		changed := s.options.Source.Changed()
		version := s.options.Source.Current().Version()
		if err := out.line(line{Type: lineAlive, Contact: s.options.Contact(), Version: version}); err != nil {
			return false
		}
		if version > parsed.after || parsed.full {
			return true
		}
		select {
		case <-changed:
		case <-ticker.C():
		case <-r.Context().Done():
			return false
		case <-s.options.Done:
			_ = out.line(line{Type: lineEnd, Contact: s.options.Contact(), Version: version})
			return false
		case <-deadline:
			_ = out.line(line{Type: lineEnd, Contact: s.options.Contact(), Version: version})
			return false
		}
	}
}

// sendDelta makes the delta and sends it. Compressing a large copy takes longer
// than a follower waits for a silent source, so alive lines go on meanwhile.
func (s *Server) sendDelta(out *responseWriter, parsed request) {
	made := make(chan delta, 1)
	go func() { made <- s.makeDelta(parsed) }()
	ticker := s.options.Clock.NewTicker(AliveInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-made:
			s.sendPayload(out, d)
			return
		case <-ticker.C():
			alive := line{Type: lineAlive, Contact: s.options.Contact(), Version: s.options.Source.Current().Version()}
			if out.line(alive) != nil {
				<-made
				return
			}
		}
	}
}

func (s *Server) sendPayload(out *responseWriter, d delta) {
	if d.err != nil {
		return
	}
	metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_bytes_total`).Add(len(d.payload))
	header := line{Type: lineDelta, Contact: s.options.Contact(), Version: d.version, Bytes: int64(len(d.payload))}
	if out.line(header) != nil {
		return
	}
	out.allow(payloadTimeout)
	_, _ = out.w.Write(d.payload)
}

// delta is a compressed delta and the version it leads to.
type delta struct {
	payload []byte
	version uint64
	err     error
}

func (s *Server) makeDelta(parsed request) delta {
	var d plan.Delta
	if parsed.full {
		d = s.options.Source.Current().FullDelta()
	} else {
		d = s.options.Source.DeltaSince(parsed.after)
	}
	made := delta{version: d.To}
	if d.Full {
		metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_total{kind="full"}`).Inc()
		made.payload, made.err = s.full.get(d)
		return made
	}
	metrics.GetOrCreateCounter(`sequoialane_catalog_feed_sent_total{kind="delta"}`).Inc()
	made.payload, made.err = Compress(d)
	return made
}

// allow gives the next write some time. A follower that no longer reads would
// otherwise hold the request until TCP gives up. Writers without deadlines are
// left alone.
func (o *responseWriter) allow(d time.Duration) { _ = o.control.SetWriteDeadline(time.Now().Add(d)) }

// responseWriter sends each line at once.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	encoder *json.Encoder
}

func (o *responseWriter) line(l line) error {
	o.allow(lineTimeout)
	if err := o.encoder.Encode(l); err != nil {
		return err
	}
	return o.control.Flush()
}
