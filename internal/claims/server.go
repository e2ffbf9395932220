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
	maxCallBody = 256 << 10 // bytes; a stored answer and its header in base64 fit
	maxWait     = time.Second
)

// Server answers the calls of other entries to the groups that this entry is a
// member of.
type Server struct {
	mu      sync.Mutex
	members map[string]*Member // by group
}

// NewServer returns a server without groups.
func NewServer() *Server { return &Server{members: map[string]*Member{}} }

// Add makes the server answer for a group.
func (s *Server) Add(group string, m *Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[group] = m
}

func (s *Server) member(group string) *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[group]
}

// Handler serves POST /peer/v1/claims/{group}/{call}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPrefix+"{group}/{call}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	member := s.member(r.PathValue("group"))
	what, known := opOfCall[r.PathValue("call")]
	if member == nil || !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var request wireRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBody)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c, err := request.command(what)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "claim-member")
	defer span.End()
	var o outcome
	if r.PathValue("call") == callWait {
		o, err = member.wait(ctx, c, min(time.Duration(request.WaitMS)*time.Millisecond, maxWait))
	} else {
		o, err = member.call(ctx, c)
	}
	writeOutcome(w, o, err)
}

// writeOutcome answers a call. Any status but 200 means that the caller knows
// nothing about the outcome and may repeat the call.
func writeOutcome(w http.ResponseWriter, o outcome, err error) {
	status, response := http.StatusOK, o.wire()
	var other errNotLeader
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
