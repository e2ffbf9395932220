package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/upstream"
)

// ActionKind tells what an action is.
type ActionKind string

// The kinds of action. Probe and PeerProbe ask for work whose result is
// reported with ProbeResult; the others tell of a change of state.
const (
	Probe     ActionKind = "probe"      // probe the target on a fresh connection
	PeerProbe ActionKind = "peer_probe" // ask another entry to probe the target
	Suspected ActionKind = "suspected"
	Cleared   ActionKind = "cleared" // a suspicion was not confirmed
	Ejected   ActionKind = "ejected"
	Trying    ActionKind = "trying" // an ejected target gets trials
	Returned  ActionKind = "returned"
	Expired   ActionKind = "expired"
)

// Action is something for the caller of Tick to do or to log.
type Action struct {
	Kind    ActionKind
	Target  upstream.Target
	Probe   uint64        // for Probe and PeerProbe: number for ProbeResult
	Timeout time.Duration // for Probe and PeerProbe: limit of the probe
	Reason  string        // for changes of state
}

// ProbeResult reports the end of a probe. Kind OK means a whole answer with a
// status below 500.
func (s *Service) ProbeResult(probe uint64, o Outcome) {
}

// ExpectedWait returns how long the request would wait for a slot now. The
// caller compares it with the deadline to decide on spill-over.
func (s *Service) ExpectedWait(r Request) time.Duration {
	return 0
}

// HedgeDelay returns how long an attempt of the request may hear nothing
// before a fresh connection or a hedge is tried.
func (s *Service) HedgeDelay(r Request) time.Duration {
	return 500 * time.Millisecond
}

// TargetView is the state of a target for the operator API.
type TargetView struct {
	Address     string         `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Incarnation uint64         `json:"incarnation"`
	Announced   upstream.State `json:"announced"`
	Health      string         `json:"health"`
	Reason      string         `json:"reason,omitempty"`
	Slots       int            `json:"slots"`
	Limit       int            `json:"limit"` // slots in use at most
	InFlight    int            `json:"in_flight"`
}

// View is the state of the service for the operator API.
type View struct {
	Service       string       `json:"service"`
	Region        string       `json:"region"`
	FloorSlots    int          `json:"floor_slots"`
	HealthySlots  int          `json:"healthy_slots"`
	EjectionLease bool         `json:"ejection_lease"`
	Queued        int          `json:"queued"`
	Targets       []TargetView `json:"targets"`
}

// Snapshot returns the state of the service for the operator API.
func (s *Service) Snapshot() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := View{Service: s.cfg.Service, Region: s.cfg.Region, Queued: s.queue.Len()}
	for _, a := range s.registry.Targets() {
		view.Targets = append(view.Targets, TargetView{
			Address:     a.Address,
			DataCentre:  a.DataCentre,
			Incarnation: a.Incarnation,
			Announced:   s.registry.State(a.Address),
			Health:      "healthy",
			Slots:       a.Slots,
			Limit:       a.Slots,
			InFlight:    s.target(a.Address).inFlight,
		})
	}
	return view
}
