package owner

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/health"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// ActionKind identifies the kind of an Action.
type ActionKind string

// The kinds of action. Probe and PeerProbe request a probe, whose result the
// caller reports with ProbeResult. A target without a probe path is probed with
// OPTIONS *, which reaches no route of the service. All other kinds report a
// change of the state of a target.
const (
	Probe        ActionKind = "probe"      // probe the target on a new connection
	PeerProbe    ActionKind = "peer_probe" // ask another entry to probe the target
	Suspected    ActionKind = "suspected"
	Cleared      ActionKind = "cleared"    // the target is no longer suspected
	PathFault    ActionKind = "path_fault" // only the network path to the target is at fault; the target is used last
	Ejected      ActionKind = "ejected"
	TrialStarted ActionKind = "trying" // the ejected target now gets trial requests
	Returned     ActionKind = "returned"
	Expired      ActionKind = "expired"
	Left         ActionKind = "leaving"   // it has said in a response that it is about to stop
	Postponed    ActionKind = "postponed" // it has asked for time in a response
)

// Action is a task for the caller of Tick, or a state change for it to log.
type Action struct {
	Kind    ActionKind
	Target  upstream.Target
	ProbeID uint64        // for Probe and PeerProbe: id to pass to ProbeResult
	Timeout time.Duration // for Probe and PeerProbe
	Reason  string        // for state changes
}

// TargetView is the state of a target for the operator API.
type TargetView struct {
	Address     string         `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Incarnation uint64         `json:"incarnation"`
	Announced   upstream.State `json:"announced"`
	Health      health.State   `json:"health"`
	Reason      string         `json:"reason,omitempty"` // last evidence against the target
	Score       float64        `json:"score"`            // strength of that evidence
	Slots       int            `json:"slots"`
	Limit       int            `json:"limit"` // slots that may be in use now
	InFlight    int            `json:"in_flight"`
}

// View is the state of the service for the operator API.
type View struct {
	Service       string       `json:"service"`
	Region        string       `json:"region"`
	FloorSlots    int          `json:"floor_slots"`
	HealthySlots  int          `json:"healthy_slots"` // slots of serving targets that are not ejected
	EjectionLease bool         `json:"ejection_lease"`
	Queued        int          `json:"queued"`
	Targets       []TargetView `json:"targets"`
}

// Snapshot returns the state of the service for the operator API.
func (s *Service) Snapshot() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	view := View{
		Service:       s.cfg.Service,
		Region:        s.cfg.Region,
		EjectionLease: s.holdsLease(now),
		Queued:        s.queue.Len(),
	}
	announced := 0
	for _, t := range s.targets {
		if s.registry.Availability(t.record.Address, now) == upstream.Usable {
			announced += t.record.Slots
			if !t.health.Ejected() {
				view.HealthySlots += t.record.Slots
			}
		}
		view.Targets = append(view.Targets, s.targetView(t, now))
	}
	view.FloorSlots = health.FloorSlots(announced, s.cfg.FloorPercent)
	return view
}

func (s *Service) targetView(t *target, now time.Time) TargetView {
	view := TargetView{
		Address:     t.record.Address,
		DataCentre:  t.record.DataCentre,
		Incarnation: t.record.Incarnation,
		Announced:   s.registry.State(t.record.Address),
		Health:      t.health.State(),
		Score:       t.health.Score(),
		Slots:       t.record.Slots,
		Limit:       t.usableSlots(now),
		InFlight:    t.inFlight,
	}
	if t.health.Reason() != health.Good {
		view.Reason = t.health.Reason().String()
	}
	return view
}
