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
)

const (
	// answerTimeout is when a member that has not answered a poll is left.
	answerTimeout = fleetcontrol.PollHold + 500*time.Millisecond
	retryPause    = 60 * time.Millisecond
	// avoidFor is how long a member that failed is asked after all others.
	avoidFor = 3 * time.Second
	// staleAfter is the time without contact after which the copy counts as old.
	staleAfter = 2500 * time.Millisecond
)

// Options configure a follower.
type Options struct {
	Self  fleetstate.Entry // with the state Serving
	Seeds []string         // peer addresses of control members that may have changed since
	Peers *peerhttp.Client
	Clock sys.Clock
	Log   *zap.Logger
	// OnChange is called with each new view, by one goroutine.
	OnChange func(*View)
}

// Follower keeps the copy. It is safe for concurrent use.
type Follower struct {
	options Options
	view    atomic.Pointer[View]
	fresh   atomic.Int64 // Unix nanoseconds of the last fresh answer; 0: none

	mu      sync.Mutex
	self    fleetstate.Entry
	seeds   []string
	kick    context.CancelFunc // ends the poll under way
	source  string
	told    []fleetstate.Member // members that another one named before there was a copy
	avoided map[string]time.Time
	start   time.Time

	polls, failures, switches *metrics.Counter
}

// NewFollower returns a follower with an empty view.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o, self: o.Self, seeds: o.Seeds, avoided: map[string]time.Time{}, start: o.Clock.Now(),
		polls:    metrics.GetOrCreateCounter("sequoialane_view_polls_total"),
		failures: metrics.GetOrCreateCounter("sequoialane_view_poll_failures_total"),
		switches: metrics.GetOrCreateCounter("sequoialane_view_source_switches_total"),
	}
	f.view.Store(&View{})
	return f
}

// View returns the current copy.
func (f *Follower) View() *View { return f.view.Load() }

// Fresh reports whether the copy was confirmed lately by a member in contact
// with a leader.
func (f *Follower) Fresh() bool {
	at := f.fresh.Load()
	return at != 0 && f.options.Clock.Now().Sub(f.start)-time.Duration(at) < staleAfter
}

// SetState changes the state that the entry reports, and reports it at once.
func (f *Follower) SetState(s fleetstate.EntryState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.State = s
	if f.kick != nil {
		f.kick()
	}
}

// SetSeeds replaces the seeds.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wasFresh := false
	for ctx.Err() == nil {
		source := f.pick()
		if source == "" || !f.poll(ctx, source) {
			_ = f.options.Clock.Sleep(ctx, retryPause)
		}
		if fresh := f.Fresh(); fresh != wasFresh {
			wasFresh = fresh
			f.options.Log.Info("contact with control", zap.Bool("fresh", fresh), zap.String("source", source), zap.Uint64("index", f.View().Index))
		}
	}
}

// pick returns the member to ask: the nearest one that did not fail lately.
func (f *Follower) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	stay := f.source != "" && !now.Before(f.avoided[f.source])
	if stay && !f.nearerThan(f.source, now) {
		return f.source
	}
	best, bestRank := "", 0
	for i, address := range f.candidates() {
		rank := f.distance(address)*100 + i
		if now.Before(f.avoided[address]) {
			rank += 10_000 + int(f.avoided[address].Sub(now)/time.Millisecond)
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

// nearerThan reports whether a member that did not fail lately is nearer than
// the source.
func (f *Follower) nearerThan(source string, now time.Time) bool {
	own := f.distance(source)
	return slices.ContainsFunc(f.members(), func(m fleetstate.Member) bool {
		return !now.Before(f.avoided[m.PeerAddress]) && f.distance(m.PeerAddress) < own
	})
}

// candidates returns the known members and the seeds, each entry in an order of
// its own so that they spread over the members.
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
		shift := int(f.self.Incarnation % uint64(n))
		addresses = append(addresses[shift:], addresses[:shift]...)
	}
	return addresses
}

// distance is 0 for a member in the data centre of this entry, 1 for one in its
// region, and 2 for any other.
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

// poll asks the member once. It returns false if another one should be asked
// after a pause.
func (f *Follower) poll(ctx context.Context, source string) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	ctx, kick := context.WithCancel(ctx)
	defer kick()
	f.mu.Lock()
	f.kick = kick
	request := fleetcontrol.PollRequest{Entry: f.self, After: f.View().Index, Insists: f.told != nil}
	f.mu.Unlock()
	f.polls.Inc()
	asked := f.options.Clock.Now()
	var answer fleetcontrol.PollAnswer
	err := f.options.Peers.Post(ctx, source, fleetcontrol.PollPath, request, &answer)
	if err != nil {
		f.mu.Lock()
		kicked := f.self.State != request.Entry.State
		f.mu.Unlock()
		if kicked {
			return true
		}
		f.failures.Inc()
		f.avoid(source, err.Error())
		return false
	}
	if answer.Nearer != nil {
		f.learnMembers(answer.Nearer)
		return true
	}
	f.take(answer.Update)
	if !answer.Fresh || answer.Update.Index < request.After {
		f.avoid(source, "the member is not in contact with a leader")
		return false
	}
	f.fresh.Store(int64(asked.Sub(f.start)) | 1)
	return true
}

// learnMembers takes in the members before there is a copy of the state.
func (f *Follower) learnMembers(members []fleetstate.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = members
	f.source = ""
}

// members returns the control members that are known.
func (f *Follower) members() []fleetstate.Member {
	if known := f.View().Members; len(known) > 0 {
		return known
	}
	return f.told
}

func (f *Follower) avoid(source, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	f.avoided[source] = now.Add(avoidFor)
	f.options.Log.Warn("control member left", zap.String("source", source), zap.String("reason", reason))
}

func (f *Follower) take(u fleetstate.Update) {
	current := f.View()
	if u.Index <= current.Index {
		return
	}
	next := current.with(u)
	f.view.Store(next)
	if next.Version() != current.Version() {
		f.options.Log.Info("document in force", zap.Uint64("version", next.Version()), zap.Uint64("index", next.Index))
	}
	f.options.OnChange(next)
}
