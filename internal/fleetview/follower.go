package fleetview

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	// pollTimeout bounds a poll. The member holds a poll for up to PollHold.
	pollTimeout = fleetcontrol.PollHold + 500*time.Millisecond
	retryDelay  = 60 * time.Millisecond
	// avoidDuration is how long a member whose poll failed is only chosen after
	// all others.
	avoidDuration = 3 * time.Second
	// staleAfter is the time without a response of a member in contact with a
	// leader after which the copy counts as stale.
	staleAfter = 2500 * time.Millisecond
)

// Options configure a follower.
type Options struct {
	Self  fleetstate.Entry // this entry, in state Serving
	Seeds []string         // peer addresses of control members, possibly outdated
	Peers *peerhttp.Client
	Clock sys.Clock
	Log   *zap.Logger
	// Boot measures the age of what control has confirmed, also while the VM was
	// suspended. It must be set if RevocationLimit is; nil: Clock is used.
	Boot sys.BootClock
	// RevocationLimit is the age of a proof up to which ConfirmedWithin will be asked
	// for; 0: polls request no proof.
	RevocationLimit time.Duration
	// OnChange is called with each new view, from the goroutine of Run.
	OnChange func(*View)
}

// Follower keeps the entry's view up to date with long polls of a control member.
// It is safe for concurrent use.
type Follower struct {
	options Options
	view    atomic.Pointer[View]
	freshAt atomic.Int64 // start of the poll with the last response of a member in contact with a leader, in nanoseconds of age; 0: none

	proof proof

	mu              sync.Mutex
	self            fleetstate.Entry
	seeds           []string
	cancelPoll      context.CancelFunc   // cancels the current poll
	source          string               // peer address of the member that is polled
	redirectMembers []fleetstate.Member  // members named by a redirect, until there is a copy of the state
	avoidUntil      map[string]time.Time // by peer address, for members whose poll failed
	unprovedUntil   map[string]time.Time // by peer address, for members that brought no recent proof
	start           time.Time
	changed         chan struct{} // closed at the next change of the view

	polls, failures, switches *metrics.Counter
}

// NewFollower returns a follower with an empty view.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o, self: o.Self, seeds: o.Seeds, avoidUntil: map[string]time.Time{}, unprovedUntil: map[string]time.Time{}, start: o.Clock.Now(),
		changed:  make(chan struct{}),
		proof:    newProof(o.Boot, o.RevocationLimit),
		polls:    metrics.GetOrCreateCounter("sequoialane_view_polls_total"),
		failures: metrics.GetOrCreateCounter("sequoialane_view_poll_failures_total"),
		switches: metrics.GetOrCreateCounter("sequoialane_view_source_switches_total"),
	}
	f.view.Store(&View{})
	return f
}

// View returns the current copy.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when the view or its proof changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) notifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Fresh reports whether a member in contact with a leader has confirmed the copy
// within staleAfter.
func (f *Follower) Fresh() bool { return f.FreshWithin(staleAfter) }

// FreshWithin reports whether a member in contact with a leader has confirmed the copy
// within the limit.
func (f *Follower) FreshWithin(limit time.Duration) bool {
	at := f.freshAt.Load()
	return at != 0 && f.age()-time.Duration(at) < limit
}

// age returns a time that grows while the process exists.
func (f *Follower) age() time.Duration {
	if f.options.Boot != nil {
		return f.options.Boot.SinceBoot()
	}
	return f.options.Clock.Now().Sub(f.start)
}

// SetState changes the state that the entry reports, and cancels the current poll
// so that the new state is reported at once.
func (f *Follower) SetState(s fleetstate.EntryState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.State = s
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// SetSeeds replaces the seeds.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	wasFresh, wasConfirmed := false, false
	for ctx.Err() == nil {
		source := f.chooseSource()
		if source == "" || !f.poll(ctx, source) {
			_ = f.options.Clock.Sleep(ctx, retryDelay)
		}
		if fresh := f.Fresh(); fresh != wasFresh {
			wasFresh = fresh
			f.options.Log.Info("contact with control changed", zap.Bool("fresh", fresh), zap.String("source", source), zap.Uint64("index", f.View().Index))
		}
		if confirmed := f.ConfirmedWithin(f.options.RevocationLimit); confirmed != wasConfirmed {
			wasConfirmed = confirmed
			f.options.Log.Info("proof of a recent copy changed", zap.Bool("confirmed", confirmed), zap.String("source", source), zap.Uint64("version", f.View().Version()))
		}
	}
}

// chooseSource returns the peer address of the member to poll: the current
// source, unless it failed recently or a nearer one is available; empty if none
// is known.
func (f *Follower) chooseSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	usable := f.source != "" && !now.Before(f.avoidUntil[f.source]) && (f.proves(f.source, now) || !f.anyProves(now))
	if usable && !f.hasNearer(f.source, now) {
		return f.source
	}
	best, bestRank := "", 0
	for i, address := range f.candidates() {
		rank := f.distance(address)*100 + i
		if !f.proves(address, now) {
			rank += 1_000
		}
		if now.Before(f.avoidUntil[address]) {
			rank += 10_000 + int(f.avoidUntil[address].Sub(now)/time.Millisecond)
		}
		if best == "" || rank < bestRank {
			best, bestRank = address, rank
		}
	}
	if best != f.source {
		f.switches.Inc()
		f.options.Log.Info("control member chosen", zap.String("source", best), zap.String("before", f.source))
	}
	f.source = best
	return best
}

// hasNearer reports whether a member that did not fail recently is nearer than
// the source.
func (f *Follower) hasNearer(source string, now time.Time) bool {
	current := f.distance(source)
	return slices.ContainsFunc(f.members(), func(m fleetstate.Member) bool {
		return !now.Before(f.avoidUntil[m.PeerAddress]) && f.proves(m.PeerAddress, now) && f.distance(m.PeerAddress) < current
	})
}

// candidates returns the addresses of the known members and the seeds. Each entry
// rotates the order by its incarnation, so that entries spread over the members.
func (f *Follower) candidates() []string {
	var addresses []string
	for _, m := range f.members() {
		addresses = append(addresses, m.PeerAddress)
	}
	for _, seed := range f.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	if n := len(addresses); n > 1 {
		offset := int(f.self.Incarnation % uint64(n))
		addresses = append(addresses[offset:], addresses[:offset]...)
	}
	return addresses
}

// distance returns 0 for a member in the data centre of this entry, 1 for one in
// its region, and 2 for any other or unknown address.
func (f *Follower) distance(address string) int {
	for _, m := range f.members() {
		switch {
		case m.PeerAddress != address:
		case m.DataCentre == f.self.DataCentre:
			return 0
		case m.Region == f.self.Region:
			return 1
		}
	}
	return 2
}

// poll polls the source once. It returns false if the poll failed, so that the
// next one should follow after a delay.
func (f *Follower) poll(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ctx, cancelPoll := context.WithCancel(ctx)
	defer cancelPoll()
	f.mu.Lock()
	f.cancelPoll = cancelPoll
	request := fleetcontrol.PollRequest{
		Entry: f.self, After: f.View().Index, NoRedirect: f.redirectMembers != nil,
		Confirm: f.proof.limit > 0, ConfirmSoon: f.proof.isDue(),
	}
	f.mu.Unlock()
	f.polls.Inc()
	started, startedOnBootClock := f.age(), f.proof.now()
	var response fleetcontrol.PollResponse
	err := f.options.Peers.Post(ctx, traffic.Poll, source, fleetcontrol.PollPath, request, &response)
	if err != nil {
		f.mu.Lock()
		interrupted := f.self.State != request.Entry.State
		f.mu.Unlock()
		if interrupted {
			return true
		}
		f.failures.Inc()
		f.avoid(source, err.Error())
		return false
	}
	if response.Redirect != nil {
		f.setRedirect(response.Redirect)
		return true
	}
	f.applyUpdate(response.Update)
	if f.proof.limit > 0 && response.Update.Index >= request.After {
		f.recordProof(source, startedOnBootClock, response)
	}
	if !response.InContact || response.Update.Index < request.After {
		f.avoid(source, "the member is not in contact with a leader")
		return false
	}
	// The lowest bit is set because 0 means none.
	f.freshAt.Store(int64(started) | 1)
	return true
}

// setRedirect stores the members named by a redirect and makes Run choose a
// source again.
func (f *Follower) setRedirect(members []fleetstate.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.redirectMembers = members
	f.source = ""
}

// members returns the known control members. The caller holds mu.
func (f *Follower) members() []fleetstate.Member {
	if known := f.View().Members; len(known) > 0 {
		return known
	}
	return f.redirectMembers
}

// avoid makes chooseSource prefer other members for avoidDuration.
func (f *Follower) avoid(source, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	f.avoidUntil[source] = now.Add(avoidDuration)
	f.options.Log.Warn("control member avoided after a failed poll", zap.String("source", source), zap.String("reason", reason))
}

// applyUpdate replaces the view unless the update is older than it.
func (f *Follower) applyUpdate(u fleetstate.Update) {
	previous := f.View()
	if u.Index <= previous.Index {
		return
	}
	next := previous.withUpdate(u)
	f.view.Store(next)
	f.notifyChanged()
	if next.Routes != previous.Routes {
		f.options.Log.Info("routing document in force", zap.Uint64("version", next.Version()), zap.Uint64("index", next.Index))
	}
	f.options.OnChange(next)
}
