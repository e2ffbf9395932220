package control

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// NewInternalHandler serves the requests that other control members pass on
// to this one. They are not passed on again: a member that is not the leader
// refuses them, so that a request cannot circle.
func NewInternalHandler(s *Submitter, fleetToken string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+proposePath, s.servePropose)
	mux.HandleFunc("POST "+readPointPath, s.serveReadPoint)
	return requireToken(fleetToken, "fleet token required", mux)
}

func (s *Submitter) servePropose(w http.ResponseWriter, r *http.Request) {
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "propose")
	defer span.End()
	var ch plan.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&ch); err != nil {
		fault.Write(w, "", fault.New(fault.BadRequest, "change cannot be read"))
		return
	}
	result, err := s.ProposeHere(ctx, ch)
	if err != nil {
		fault.Write(w, "", proposeFault(err))
		return
	}
	writeJSON(w, result)
}

func proposeFault(err error) *fault.Error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return fault.New(fault.ControlUnavailable, "this member is not the leader")
	}
	return fault.New(fault.CommitUnknown, err.Error())
}

func (s *Submitter) serveReadPoint(w http.ResponseWriter, r *http.Request) {
	ctx, span := telemetry.Start(telemetry.Extract(r.Context(), r.Header), "read point")
	defer span.End()
	snapshot, err := s.BarrierHere(ctx)
	if err != nil {
		fault.Write(w, "", fault.New(fault.ControlUnavailable, err.Error()))
		return
	}
	writeJSON(w, readPoint{Version: snapshot.Version()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
