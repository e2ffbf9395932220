// Package fleetcontrol implements a control member of the fleet. The control
// members replicate the fleet state as a consensus group. Each of them accepts
// changes from operators and targets, and serves the state to the entries that
// poll it. It runs in sequoialane-platform; package control is the control member
// of sequoialane-control.
package fleetcontrol

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	// HeartbeatInterval and ElectionTimeout of the consensus group. Heartbeats
	// are infrequent because they cross regions, whose links are charged by
	// volume.
	HeartbeatInterval = 250 * time.Millisecond
	ElectionTimeout   = time.Second

	maxLeaderSilence   = time.Second // the member is out of contact if it had no contact with a leader for longer
	detectionInterval  = 250 * time.Millisecond
	pauseThreshold     = time.Second      // a longer gap between two runs of detectLosses means that this process was paused
	memberRemovalDelay = 10 * time.Second // time without a slot after which the record of a member is removed
)

// ErrNoDocument is returned before the first routing document was accepted.
var ErrNoDocument = errors.New("fleetcontrol: no document is held")

// ErrUnknownService is returned if a target announces itself for a service that
// the routing document does not list.
var ErrUnknownService = errors.New("fleetcontrol: the service is not in the routing document")

// ErrUnknownTarget is returned if a target that does not state its start leaves and
// has no record: a late announcement of it could not be told from one of its next start.
var ErrUnknownTarget = errors.New("fleetcontrol: the target has no record and does not state its start")

// Group is the consensus group that replicates the fleet state.
type Group interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
	ReadBarrierOnHeartbeat(ctx context.Context) error
	Status() consensus.Status
}

// Options configure a member.
type Options struct {
	Self         fleetstate.Member
	Group        Group
	StateMachine *fleetstate.StateMachine
	Locations    *traffic.Locations // updated from the state; may be nil
	Clock        sys.Clock
	Boot         sys.BootClock
	Log          *zap.Logger
}

// Member is a control member. It is safe for concurrent use.
type Member struct {
	self              fleetstate.Member
	group             Group
	stateMachine      *fleetstate.StateMachine
	locations         *traffic.Locations // of the members; may be nil
	clock             sys.Clock
	log               *zap.Logger
	batch             *batcher
	presence          *presence
	barriers          *barrierKeeper
	counters          counters
	stopping          chan struct{}
	stopOnce          sync.Once
	detectionRequests chan struct{} // requests to run detectLosses before the next interval

	// The following fields are used by detectLosses only.

	wasInContact      bool
	slotlessSince     map[string]time.Time // since when a member has had no slot, by peer address
	memberSilentSince map[string]time.Time // since when the leader had no contact with the member that an entry polls, by entry name
}

type counters struct {
	documents, documentsRefused, announcements, leaves, unavailable, entriesLost *metrics.Counter
	commitTime                                                                   *metrics.Histogram
}

// New returns a member. Run starts its background work.
func New(o Options) *Member {
	return &Member{
		self: o.Self, group: o.Group, stateMachine: o.StateMachine, locations: o.Locations, clock: o.Clock, log: o.Log,
		batch:             newBatcher(o.Group, o.Clock),
		presence:          newPresence(),
		barriers:          newBarrierKeeper(o.Group, o.StateMachine, o.Clock, o.Boot, o.Log),
		stopping:          make(chan struct{}),
		detectionRequests: make(chan struct{}, 1),
		slotlessSince:     map[string]time.Time{},
		memberSilentSince: map[string]time.Time{},
		counters: counters{
			documents:        metrics.GetOrCreateCounter("sequoialane_control_documents_total"),
			documentsRefused: metrics.GetOrCreateCounter("sequoialane_control_documents_refused_total"),
			announcements:    metrics.GetOrCreateCounter("sequoialane_control_announcements_total"),
			leaves:           metrics.GetOrCreateCounter("sequoialane_control_leaves_total"),
			unavailable:      metrics.GetOrCreateCounter("sequoialane_control_unavailable_total"),
			entriesLost:      metrics.GetOrCreateCounter("sequoialane_control_entries_lost_total"),
			commitTime:       metrics.GetOrCreateHistogram("sequoialane_control_commit_seconds"),
		},
	}
}

// Handler returns the handler for polls of entries.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PollPath, m.servePoll)
	return mux
}

// Run proposes batched changes and detects lost entries and members until ctx is
// done.
func (m *Member) Run(ctx context.Context) {
	go m.batch.run(ctx)
	ticker := m.clock.NewTicker(detectionInterval)
	defer ticker.Stop()
	last := m.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		case <-m.detectionRequests:
			_ = m.clock.Sleep(ctx, lostAfterClose)
		}
		now := m.clock.Now()
		if gap := now.Sub(last); gap > pauseThreshold {
			m.presence.shiftTimes(gap)
		}
		last = now
		m.detectLosses(now)
		m.updateLocations()
	}
}

// Drain ends the waiting polls, so that entries switch to other members.
func (m *Member) Drain() { m.stopOnce.Do(func() { close(m.stopping) }) }

func (m *Member) isStopping() bool {
	select {
	case <-m.stopping:
		return true
	default:
		return false
	}
}

// requestDetection makes Run detect losses soon, without waiting for the next
// interval.
func (m *Member) requestDetection() {
	select {
	case m.detectionRequests <- struct{}{}:
	default:
	}
}

// InContact reports whether the member is in contact with a leader.
func (m *Member) InContact() bool {
	s := m.group.Status()
	return s.Leader.Slot != "" && (s.Role == consensus.RoleLeader || s.Role == consensus.RoleFollower) && s.LeaderlessFor < maxLeaderSilence
}

// NearestControlAddress returns the control address of the member that targets
// in the data centre should call: one in the data centre, else one in its
// region. It is empty if no member is nearer than this one. Records of members that
// the group no longer counts are ignored.
func (m *Member) NearestControlAddress(dataCentre, region string) string {
	if dataCentre == m.self.DataCentre {
		return ""
	}
	best := ""
	slots := m.Slots()
	for _, r := range m.stateMachine.Members() {
		switch {
		case !slices.Contains(slots, r.PeerAddress):
		case r.DataCentre == dataCentre:
			return r.ControlAddress
		case r.Region == region && m.self.Region != region:
			best = r.ControlAddress
		}
	}
	return best
}

// Slots returns the voting slots of the group.
func (m *Member) Slots() []string {
	return lo.Map(m.group.Status().Members, func(s consensus.MemberStatus, _ int) string { return s.Slot })
}

// Entry returns the record of an entry in this member's copy of the state.
func (m *Member) Entry(name string) (fleetstate.Entry, bool) { return m.stateMachine.Entry(name) }

// updateLocations makes the traffic between members count by distance.
func (m *Member) updateLocations() {
	if m.locations == nil {
		return
	}
	places := map[string]string{}
	for _, r := range m.stateMachine.Members() {
		places[r.PeerAddress] = r.DataCentre
	}
	m.locations.Update(places)
}
