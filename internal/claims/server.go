package claims

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Limits of calls between entries.
const (
	maxCallBodyBytes = 256 << 10 // enough for a stored answer and its header in base64
	maxLongPoll      = time.Second
)

// Server serves the calls of other entries to the claim groups of which this entry
// is a member.
type Server struct {
	mu      sync.Mutex
	members map[string]*Member // by group
}

// NewServer returns a server that has no groups.
func NewServer() *Server { return &Server{members: map[string]*Member{}} }

// AddGroup registers the member that serves the calls to a group.
func (s *Server) AddGroup(group string, m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[group] = m
}

func (s *Server) member(group string) *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[group]
}

// Handler returns the handler of POST /peer/v1/claims/{group}/{call}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPrefix+"{group}/{call}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	member := s.member(r.PathValue("group"))
	kind, known := opByCall[r.PathValue("call")]
	if member == nil || !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var request wireRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBodyBytes)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c, err := request.command(kind)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "claim-member")
	defer span.End()
	var o outcome
	if r.PathValue("call") == callWait {
		o, err = member.wait(ctx, c, min(time.Duration(request.WaitMS)*time.Millisecond, maxLongPoll))
	} else {
		o, err = member.call(ctx, c)
	}
	writeOutcome(w, o, err)
}

// writeOutcome writes the response to a call. Any status other than 200 means that
// the outcome is not known to the caller, which may retry the call.
func writeOutcome(w http.ResponseWriter, o outcome, err error) {
	status, response := http.StatusOK, o.wire()
	var other notLeaderError
	switch {
	case err == nil:
	case errors.As(err, &other):
		status, response = http.StatusMisdirectedRequest, wireResponse{Leader: other.leader}
	case errors.Is(err, consensus.ErrUnknownOutcome), errors.Is(err, context.DeadlineExceeded):
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}
