// Package fleetcontrol is a control member of a fleet: it holds the fleet state
// as a member of the consensus group, takes changes from operators and targets,
// and passes the state on to the entries that poll it.
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
)

const (
	// HeartbeatInterval and ElectionTimeout of the consensus group. Heartbeats
	// cross regions, whose links are paid by volume.
	HeartbeatInterval = 250 * time.Millisecond
	ElectionTimeout   = time.Second

	leaderSilence = time.Second // without a leader for longer, the member is not fresh
	sweepInterval = 250 * time.Millisecond
	stoodStill    = time.Second // a longer gap between two sweeps means that this process was stopped
	departAfter   = 10 * time.Second
)

// ErrNoDocument says that no routing document was ever accepted.
var ErrNoDocument = errors.New("fleetcontrol: no document is held")

// ErrUnknownService says that a target announced itself for a service that the
// routing document does not name.
var ErrUnknownService = errors.New("fleetcontrol: the service is not in the routing document")

// Group is the consensus group of the fleet state.
type Group interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
	Status() consensus.Status
}

// Options configure a member.
type Options struct {
	Self    fleetstate.Member
	Group   Group
	Machine *fleetstate.Machine
	Clock   sys.Clock
	Log     *zap.Logger
}

// Member is a control member. It is safe for concurrent use.
type Member struct {
	self     fleetstate.Member
	group    Group
	machine  *fleetstate.Machine
	clock    sys.Clock
	log      *zap.Logger
	batch    *batcher
	presence *presence
	counters counters
	stopping chan struct{}
	stopOnce sync.Once
	sweeps   chan struct{}
	wasFresh bool                 // used by sweep alone
	absent   map[string]time.Time // members without a slot, since when; used by sweep alone
	viaLost  map[string]time.Time // members that the leader does not hear, since when; used by sweep alone
}

type counters struct {
	documents, documentsRefused, announcements, leaves, unavailable, entriesLost *metrics.Counter
	commitTime                                                                   *metrics.Histogram
}

// New returns a member that does nothing yet.
func New(o Options) *Member {
	return &Member{
		self: o.Self, group: o.Group, machine: o.Machine, clock: o.Clock, log: o.Log,
		batch:    newBatcher(o.Group, o.Clock),
		presence: newPresence(),
		stopping: make(chan struct{}),
		sweeps:   make(chan struct{}, 1),
		absent:   map[string]time.Time{},
		viaLost:  map[string]time.Time{},
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

// Handler serves the polls of entries.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PollPath, m.servePoll)
	return mux
}

// Run does the background work until ctx ends.
func (m *Member) Run(ctx context.Context) {
	go m.batch.run(ctx)
	ticker := m.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := m.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		case <-m.sweeps:
			_ = m.clock.Sleep(ctx, closedAfter)
		}
		now := m.clock.Now()
		if gap := now.Sub(last); gap > stoodStill {
			m.presence.shift(gap)
		}
		last = now
		m.sweep(now)
	}
}

// Drain ends the polls that wait, so that entries turn to other members.
func (m *Member) Drain() { m.stopOnce.Do(func() { close(m.stopping) }) }

func (m *Member) wakeSweep() {
	select {
	case m.sweeps <- struct{}{}:
	default:
	}
}

// Fresh reports whether the member is in contact with a leader.
func (m *Member) Fresh() bool {
	s := m.group.Status()
	return s.Leader.Slot != "" && (s.Role == consensus.RoleLeader || s.Role == consensus.RoleFollower) && s.LeaderSeen < leaderSilence
}

// PutDocument takes a routing document with its text. A version that is not
// higher than the one held is accepted and changes nothing. The error is that
// of the document, or ErrUnavailable.
func (m *Member) PutDocument(ctx context.Context, d *routing.Document, text []byte) (held uint64, err error) {
	started := m.clock.Now()
	if err := d.Validate(); err != nil {
		m.counters.documentsRefused.Inc()
		m.log.Info("document refused", zap.Uint64("version", d.Version), zap.Error(err))
		return 0, err
	}
	result, err := propose(ctx, m.group, m.clock, fleetstate.Command{Document: d, Text: text})
	took := m.clock.Now().Sub(started)
	if err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("document not committed", zap.Uint64("version", d.Version), zap.Duration("took", took), zap.Error(err))
		return 0, err
	}
	m.counters.documents.Inc()
	m.counters.commitTime.Update(took.Seconds())
	m.log.Info("document accepted", zap.Uint64("version", d.Version), zap.Uint64("held", result.Version), zap.Duration("took", took))
	return result.Version, nil
}

// Document returns the newest accepted document. It fails if the member cannot
// make sure that it holds the newest one.
func (m *Member) Document(ctx context.Context) (fleetstate.Routing, error) {
	if err := m.group.ReadBarrier(ctx); err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("document not read", zap.Error(err))
		return fleetstate.Routing{}, err
	}
	held := m.machine.Routing()
	if held.Document == nil {
		return held, ErrNoDocument
	}
	return held, nil
}

// Announce takes what a target says of itself. It returns once the change is
// committed, or at once if the state holds it already.
func (m *Member) Announce(ctx context.Context, t fleetstate.Target) error {
	m.counters.announcements.Inc()
	if !m.names(t.Service) {
		return ErrUnknownService
	}
	record, ok := m.machine.Target(t.ID)
	if ok && !t.Supersedes(record) {
		return nil
	}
	if other, taken := m.machine.TargetAt(t.Address); taken && other.ID != t.ID && other.Born > t.Born {
		m.log.Info("late announcement ignored", zap.String("target", t.ID), zap.String("address", t.Address), zap.String("holder", other.ID))
		return nil
	}
	return m.record(ctx, t)
}

// names reports whether the routing document names the service. Before the
// first document any service may be announced.
func (m *Member) names(service string) bool {
	d := m.machine.Routing().Document
	return d == nil || slices.ContainsFunc(d.Services, func(s routing.Service) bool { return s.Name == service })
}

// Leave records that a target has left. Born is the start of the incarnation
// that leaves; 0: the recorded one.
func (m *Member) Leave(ctx context.Context, id string, born int64) error {
	m.counters.leaves.Inc()
	record, ok := m.machine.Target(id)
	if ok && record.State == fleetstate.Gone && (born == 0 || record.Born >= born) {
		return nil
	}
	return m.record(ctx, fleetstate.Target{ID: id, State: fleetstate.Gone, Born: born})
}

// Nearest returns the control address of the member that targets in the data
// centre should call: one in it, or else one in its region. It is empty if this
// member does as well.
func (m *Member) Nearest(dataCentre, region string) string {
	if dataCentre == m.self.DataCentre {
		return ""
	}
	best := ""
	for _, r := range m.machine.Members() {
		switch {
		case r.DataCentre == dataCentre:
			return r.ControlAddress
		case r.Region == region && m.self.Region != region:
			best = r.ControlAddress
		}
	}
	return best
}

func (m *Member) record(ctx context.Context, t fleetstate.Target) error {
	started := m.clock.Now()
	_, err := m.batch.submit(ctx, fleetstate.Command{Targets: []fleetstate.Target{t}})
	took := m.clock.Now().Sub(started)
	fields := []zap.Field{
		zap.String("target", t.ID), zap.String("service", t.Service), zap.String("address", t.Address), zap.String("data_centre", t.DataCentre),
		zap.String("state", string(t.State)), zap.Int64("born", t.Born), zap.Uint64("sequence", t.Sequence), zap.Duration("took", took),
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

// Entry returns the record of an entry as this member holds it.
func (m *Member) Entry(name string) (fleetstate.Entry, bool) { return m.machine.Entry(name) }

// sweep finds entries and members that are gone.
func (m *Member) sweep(now time.Time) {
	status := m.group.Status()
	fresh := m.Fresh()
	if fresh != m.wasFresh {
		m.wasFresh = fresh
		m.log.Info("contact with the leader", zap.Bool("fresh", fresh), zap.String("leader", status.Leader.Slot), zap.Uint64("term", status.Term))
	}
	var c fleetstate.Command
	for _, e := range m.presence.silent(now) {
		record, ok := m.machine.Entry(e.Name)
		if ok && record.ControlMember == m.self.PeerAddress && record.Incarnation == e.Incarnation && record.State != fleetstate.Lost {
			c.Entries = append(c.Entries, m.lost(e, m.self.PeerAddress))
		}
	}
	if fresh && !m.registered() {
		c.Members = append(c.Members, m.self)
	}
	if status.Role == consensus.RoleLeader {
		m.sweepAsLeader(now, status, &c)
	}
	if len(c.Entries)+len(c.Members)+len(c.RemovedMembers) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if _, err := m.batch.submit(ctx, c); err != nil {
			m.log.Warn("loss not recorded", zap.Int("entries", len(c.Entries)), zap.Error(err))
		}
	}()
}

func (m *Member) lost(e fleetstate.Entry, via string) fleetstate.Entry {
	m.counters.entriesLost.Inc()
	m.log.Info("entry lost", zap.String("entry", e.Name), zap.Uint64("incarnation", e.Incarnation), zap.String("via", via))
	e.State = fleetstate.Lost
	e.ControlMember = via
	return e
}

func (m *Member) registered() bool {
	return slices.ContainsFunc(m.machine.Members(), func(r fleetstate.Member) bool {
		return r.PeerAddress == m.self.PeerAddress && r.ControlAddress == m.self.ControlAddress && r.DataCentre == m.self.DataCentre
	})
}

// sweepAsLeader finds entries whose member is gone together with them, and
// members that have no slot any more.
func (m *Member) sweepAsLeader(now time.Time, status consensus.Status, c *fleetstate.Command) {
	silent := map[string]bool{}
	slots := map[string]bool{}
	for _, s := range status.Members {
		slots[s.Slot] = true
		silent[s.Slot] = s.Silence > silentAfter
	}
	for _, e := range m.machine.Entries() {
		if e.State == fleetstate.Lost || slots[e.ControlMember] && !silent[e.ControlMember] {
			delete(m.viaLost, e.Name)
			continue
		}
		since, ok := m.viaLost[e.Name]
		if !ok {
			m.viaLost[e.Name] = now
			continue
		}
		if now.Sub(since) > silentAfter {
			delete(m.viaLost, e.Name)
			c.Entries = append(c.Entries, m.lost(e, e.ControlMember))
		}
	}
	for _, r := range m.machine.Members() {
		if slots[r.PeerAddress] {
			delete(m.absent, r.PeerAddress)
			continue
		}
		since, ok := m.absent[r.PeerAddress]
		if !ok {
			m.absent[r.PeerAddress] = now
		} else if now.Sub(since) > departAfter {
			delete(m.absent, r.PeerAddress)
			c.RemovedMembers = append(c.RemovedMembers, r.PeerAddress)
			m.log.Info("control member departed", zap.String("member", r.PeerAddress))
		}
	}
}
