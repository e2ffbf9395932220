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
	"github.com/sequoialane/sequoialane/internal/routing"
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

// PutDocument commits a routing document with its original text and returns the
// version in force afterwards. A version that is not higher than the current
// one is accepted without effect. The error is a validation error or
// ErrUnavailable.
func (m *Member) PutDocument(ctx context.Context, d *routing.Document, text []byte) (current uint64, err error) {
	started := m.clock.Now()
	if err := d.Validate(); err != nil {
		m.counters.documentsRefused.Inc()
		m.log.Info("routing document rejected", zap.Uint64("version", d.Version), zap.Error(err))
		return 0, err
	}
	result, err := propose(ctx, m.group, m.clock, fleetstate.Command{Document: d, Text: text})
	took := m.clock.Now().Sub(started)
	if err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("routing document not committed", zap.Uint64("version", d.Version), zap.Duration("took", took), zap.Error(err))
		return 0, err
	}
	m.counters.documents.Inc()
	m.counters.commitTime.Update(took.Seconds())
	m.log.Info("routing document accepted", zap.Uint64("version", d.Version), zap.Uint64("held", result.Version), zap.Duration("took", took))
	return result.Version, nil
}

// Document returns the newest committed document. It fails if the member cannot
// confirm with the group that its copy is the newest, or with ErrNoDocument.
func (m *Member) Document(ctx context.Context) (fleetstate.Routing, error) {
	if err := m.group.ReadBarrier(ctx); err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("routing document not read", zap.Error(err))
		return fleetstate.Routing{}, err
	}
	current := m.stateMachine.Routing()
	if current.Document == nil {
		return current, ErrNoDocument
	}
	return current, nil
}

// Announce records an announcement of a target. It returns once the change is
// committed, or at once if the announcement is not newer than the record.
func (m *Member) Announce(ctx context.Context, t fleetstate.Target) error {
	m.counters.announcements.Inc()
	if !m.knowsService(t.Service) {
		return ErrUnknownService
	}
	record, ok := m.stateMachine.Target(t.ID)
	if ok && !t.Supersedes(record) {
		return nil
	}
	if other, taken := m.stateMachine.TargetAt(t.Address); taken && other.ID != t.ID && other.StartedAtMS > t.StartedAtMS {
		m.log.Info("late announcement ignored", zap.String("target", t.ID), zap.String("address", t.Address), zap.String("holder", other.ID))
		return nil
	}
	return m.commitTarget(ctx, t)
}

// knowsService reports whether the routing document lists the service. Before the
// first document any service may be announced.
func (m *Member) knowsService(service string) bool {
	d := m.stateMachine.Routing().Document
	return d == nil || slices.ContainsFunc(d.Services, func(s routing.Service) bool { return s.Name == service })
}

// Leave records that a target has left. startedAtMS is the start of the
// departing incarnation in Unix milliseconds; 0 means the recorded one.
func (m *Member) Leave(ctx context.Context, id string, startedAtMS int64) error {
	m.counters.leaves.Inc()
	record, ok := m.stateMachine.Target(id)
	if ok && record.State == fleetstate.Gone && (startedAtMS == 0 || record.StartedAtMS >= startedAtMS) {
		return nil
	}
	if !ok && startedAtMS == 0 {
		return ErrUnknownTarget
	}
	return m.commitTarget(ctx, fleetstate.Target{ID: id, State: fleetstate.Gone, StartedAtMS: startedAtMS})
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

// commitTarget commits the record of a target.
func (m *Member) commitTarget(ctx context.Context, t fleetstate.Target) error {
	started := m.clock.Now()
	_, err := m.batch.submit(ctx, fleetstate.Command{Targets: []fleetstate.Target{t}})
	took := m.clock.Now().Sub(started)
	fields := []zap.Field{
		zap.String("target", t.ID), zap.String("service", t.Service), zap.String("address", t.Address), zap.String("data_centre", t.DataCentre),
		zap.String("state", string(t.State)), zap.Int64("born", t.StartedAtMS), zap.Uint64("sequence", t.Sequence), zap.Duration("took", took),
	}
	if err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("target not recorded", append(fields, zap.Error(err))...)
		return err
	}
	m.counters.commitTime.Update(took.Seconds())
	m.log.Info("target recorded", fields...)
	return nil
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

// detectLosses proposes records for entries that are lost, for this member if it
// is not registered, and, on the leader, for members that were removed.
func (m *Member) detectLosses(now time.Time) {
	status := m.group.Status()
	fresh := m.InContact()
	if fresh != m.wasInContact {
		m.wasInContact = fresh
		m.log.Info("contact with the leader changed", zap.Bool("fresh", fresh), zap.String("leader", status.Leader.Slot), zap.Uint64("term", status.Term))
	}
	var c fleetstate.Command
	for _, e := range m.presence.removeSilent(now) {
		record, ok := m.stateMachine.Entry(e.Name)
		if ok && record.ControlMember == m.self.PeerAddress && record.Incarnation == e.Incarnation && record.State != fleetstate.Lost {
			c.Entries = append(c.Entries, m.markLost(e, m.self.PeerAddress))
		}
	}
	if fresh {
		m.expectRecordedEntries(now)
	}
	if fresh && !m.isRegistered() {
		c.Members = append(c.Members, m.self)
	}
	if status.Role == consensus.RoleLeader {
		m.detectLossesAsLeader(now, status, &c)
	}
	if len(c.Entries)+len(c.Members)+len(c.RemovedMembers) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if _, err := m.batch.submit(ctx, c); err != nil {
			m.log.Warn("records of lost entries or of members not committed", zap.Int("entries", len(c.Entries)), zap.Error(err))
		}
	}()
}

// expectRecordedEntries tracks the entries whose records name this member. A member
// that was restarted has not seen their polls, and the loss of one may have been
// noticed while no majority could commit it.
func (m *Member) expectRecordedEntries(now time.Time) {
	for _, e := range m.stateMachine.Entries() {
		if e.ControlMember == m.self.PeerAddress && e.State != fleetstate.Lost {
			m.presence.expect(e, now)
		}
	}
}

// markLost counts and logs a lost entry and returns its new record.
func (m *Member) markLost(e fleetstate.Entry, controlMember string) fleetstate.Entry {
	m.counters.entriesLost.Inc()
	m.log.Info("entry lost", zap.String("entry", e.Name), zap.Uint64("incarnation", e.Incarnation), zap.String("via", controlMember))
	e.State = fleetstate.Lost
	e.ControlMember = controlMember
	return e
}

// isRegistered reports whether the state holds the current record of this member.
func (m *Member) isRegistered() bool {
	return slices.ContainsFunc(m.stateMachine.Members(), func(r fleetstate.Member) bool {
		return r.PeerAddress == m.self.PeerAddress && r.ControlAddress == m.self.ControlAddress && r.DataCentre == m.self.DataCentre
	})
}

// detectLossesAsLeader adds the entries that are lost together with the member that
// they poll, and the members that no longer have a slot.
func (m *Member) detectLossesAsLeader(now time.Time, status consensus.Status, c *fleetstate.Command) {
	silent := map[string]bool{}
	slots := map[string]bool{}
	for _, s := range status.Members {
		slots[s.Slot] = true
		silent[s.Slot] = s.SinceLastResponse > lostAfter
	}
	for _, e := range m.stateMachine.Entries() {
		if e.State == fleetstate.Lost || slots[e.ControlMember] && !silent[e.ControlMember] {
			delete(m.memberSilentSince, e.Name)
			continue
		}
		since, ok := m.memberSilentSince[e.Name]
		if !ok {
			m.memberSilentSince[e.Name] = now
			continue
		}
		if now.Sub(since) > lostAfter {
			delete(m.memberSilentSince, e.Name)
			c.Entries = append(c.Entries, m.markLost(e, e.ControlMember))
		}
	}
	for _, r := range m.stateMachine.Members() {
		if slots[r.PeerAddress] {
			delete(m.slotlessSince, r.PeerAddress)
			continue
		}
		since, ok := m.slotlessSince[r.PeerAddress]
		if !ok {
			m.slotlessSince[r.PeerAddress] = now
		} else if now.Sub(since) > memberRemovalDelay {
			delete(m.slotlessSince, r.PeerAddress)
			c.RemovedMembers = append(c.RemovedMembers, r.PeerAddress)
			m.log.Info("record of a removed control member dropped", zap.String("member", r.PeerAddress))
		}
	}
}
