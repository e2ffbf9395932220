package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var creditSeeds = flag.Int("pool.creditseeds", 300, "seeds of the simulation of retry credit")

const (
	simTick       = 10 * time.Millisecond
	simFreshLimit = 2500 * time.Millisecond // without contact, after which an entry knows that its view may be outdated
	simLongest    = 90 * time.Second
)

// simBounds are the limits of a service over all its pools.
var simBounds = struct {
	ratio, slack float64
	window       time.Duration
}{ratio: 0.2, slack: 56, window: 10 * time.Second}

// simEntry is an entry with its pool of the one service.
type simEntry struct {
	up, frozen, cut bool
	lostControl     bool        // cut off from control only
	credit          retryCredit // of the current process
	rankedView      []int       // serving entries by rank, as this entry knows them
	contactAt       time.Time   // of the last contact with control
	viewLag         time.Duration
}

// creditRegion is a region whose entries own its pool in the order of their numbers.
type creditRegion struct {
	settings Settings
	entries  []*simEntry
	history  []rankedAt // what control knew, the newest last
}

type rankedAt struct {
	at     time.Time
	ranked []int
}

// creditSim plays requests and their retries, and losses of the entries that hold the
// credit, in virtual time.
type creditSim struct {
	random   *rand.Rand
	now      time.Time
	regions  []*creditRegion
	due      []creditEvent
	requests []time.Time
	retries  []time.Time
	wanted   []time.Time // when a retry was asked for in the first region
	granted  []time.Time // when one was granted there
	rate     float64     // requests a second in a region
	failing  float64     // probability that an attempt fails and is to be retried
}

type creditEvent struct {
	at  time.Time
	run func()
}

func newCreditSim(seed uint64, regions, entries int) *creditSim {
	s := &creditSim{random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_000, 0), rate: 20, failing: 0.05}
	settings := Settings{RetryRatio: simBounds.ratio, RetrySlack: simBounds.slack / float64(regions), RetryWindow: simBounds.window}
	for range regions {
		r := &creditRegion{settings: settings}
		for range entries {
			r.entries = append(r.entries, &simEntry{})
		}
		s.regions = append(s.regions, r)
		for n := range entries {
			s.start(r, n)
		}
	}
	return s
}

func (s *creditSim) after(d time.Duration, run func()) {
	s.due = append(s.due, creditEvent{at: s.now.Add(d), run: run})
}

func (s *creditSim) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// start starts a process. Control knows of it a little later.
func (s *creditSim) start(r *creditRegion, n int) {
	e := r.entries[n]
	*e = simEntry{up: true, contactAt: s.now, credit: newRetryCredit(r.settings, s.now), viewLag: s.upTo(1500 * time.Millisecond)}
	process := e.contactAt
	s.after(s.upTo(300*time.Millisecond), func() {
		if e.up && e.contactAt.Compare(process) >= 0 {
			s.publish(r, n, true)
		}
	})
}

// publish changes what control knows of an entry.
func (s *creditSim) publish(r *creditRegion, n int, serving bool) {
	var ranked []int
	if len(r.history) > 0 {
		ranked = slices.Clone(r.history[len(r.history)-1].ranked)
	}
	ranked = lo.Without(ranked, n)
	if serving {
		ranked = append(ranked, n)
		slices.Sort(ranked)
	}
	r.history = append(r.history, rankedAt{at: s.now, ranked: ranked})
}

// kill ends a process. Control notices it later, unless the process is back before.
func (s *creditSim) kill(r *creditRegion, n int, back time.Duration) {
	e := r.entries[n]
	if !e.up {
		return
	}
	e.up = false
	s.after(s.upTo(3*time.Second), func() {
		if !e.up {
			s.publish(r, n, false)
		}
	})
	s.after(back, func() { s.start(r, n) })
}

// stop ends a process as planned: control knows it first.
func (s *creditSim) stop(r *creditRegion, n int, back time.Duration) {
	e := r.entries[n]
	if !e.up {
		return
	}
	s.publish(r, n, false)
	s.after(s.upTo(2*time.Second), func() {
		if e.up {
			e.up = false
			s.after(back, func() { s.start(r, n) })
		}
	})
}

// updateView gives an entry what control knew viewLag ago, if it has contact.
func (s *creditSim) updateView(r *creditRegion, e *simEntry) {
	if !e.up || e.frozen || e.cut || e.lostControl {
		return
	}
	e.contactAt = s.now
	for i := len(r.history) - 1; i >= 0; i-- {
		if known := r.history[i]; !s.now.Before(known.at.Add(e.viewLag)) {
			e.rankedView = known.ranked
			return
		}
	}
}

// slackShare is the rule of the broker for the entry's own pool.
func (s *creditSim) slackShare(n int, e *simEntry) float64 {
	fresh := s.now.Sub(e.contactAt) < simFreshLimit
	if fresh && len(e.rankedView) > 0 && e.rankedView[0] == n {
		return 1
	}
	return 1 / float64(max(len(e.rankedView), 1))
}

// poolFor returns the entry that grants a request of another one: the first two of its
// view that it reaches, or itself.
func (s *creditSim) poolFor(r *creditRegion, n int) int {
	sender := r.entries[n]
	for _, owner := range sender.rankedView[:min(len(sender.rankedView), 2)] {
		e := r.entries[owner]
		if owner == n || e.up && !e.frozen && !e.cut && !sender.cut {
			return owner
		}
	}
	return n
}

// request plays a request: its first attempt, and retries while attempts fail and there
// is credit.
func (s *creditSim) request(r *creditRegion) {
	s.requests = append(s.requests, s.now)
	n := s.random.IntN(len(r.entries))
	if e := r.entries[n]; !e.up || e.frozen {
		return
	}
	s.attempt(r, n, 0)
}

func (s *creditSim) attempt(r *creditRegion, n, attempts int) {
	if e := r.entries[n]; !e.up || e.frozen {
		return
	}
	owner := s.poolFor(r, n)
	holder := r.entries[owner]
	holder.credit.setSlackShare(s.slackShare(owner, holder), s.now)
	switch {
	case attempts == 0:
		holder.credit.recordFirst(s.now)
	default:
		allowed := holder.credit.allows(s.now)
		s.countWanted(r, allowed)
		if !allowed {
			return
		}
		holder.credit.recordRetry(s.now)
		s.retries = append(s.retries, s.now)
	}
	if attempts < 3 && s.random.Float64() < s.failing {
		s.after(s.upTo(400*time.Millisecond), func() { s.attempt(r, n, attempts+1) })
	}
}

// countWanted counts a retry that was asked for in the first region.
func (s *creditSim) countWanted(r *creditRegion, granted bool) {
	if r != s.regions[0] {
		return
	}
	s.wanted = append(s.wanted, s.now)
	if granted {
		s.granted = append(s.granted, s.now)
	}
}

// run advances the time by d.
func (s *creditSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		due := s.due
		s.due = nil
		for _, e := range due {
			if s.now.Before(e.at) {
				s.due = append(s.due, e)
				continue
			}
			e.run()
		}
		for _, r := range s.regions {
			for _, e := range r.entries {
				s.updateView(r, e)
			}
			for chance := s.rate * simTick.Seconds(); chance > 0; chance-- {
				if s.random.Float64() < chance {
					s.request(r)
				}
			}
		}
	}
}

// disturb plays one kind of losses in a region.
func (s *creditSim) disturb(r *creditRegion) {
	back := 300*time.Millisecond + s.upTo(2*time.Second)
	switch s.random.IntN(6) {
	case 0: // many entries killed at once
		share := 0.3 + 0.7*s.random.Float64()
		for n := range r.entries {
			if s.random.Float64() < share {
				s.kill(r, n, back)
			}
		}
	case 1: // the owner killed
		if ranked := r.history[len(r.history)-1].ranked; len(ranked) > 0 {
			s.kill(r, ranked[0], back)
		}
	case 2: // all entries restarted in turn
		gap := 100*time.Millisecond + s.upTo(2*time.Second)
		for n := range r.entries {
			s.after(time.Duration(n)*gap, func() { s.stop(r, n, back) })
		}
	case 3: // an entry cut off
		e := r.entries[s.random.IntN(min(len(r.entries), 3))]
		e.cut = true
		s.after(s.upTo(20*time.Second), func() { e.cut = false })
	case 4: // an entry cut off from control, and reached by other entries
		e := r.entries[s.random.IntN(min(len(r.entries), 3))]
		e.lostControl = true
		s.after(s.upTo(20*time.Second), func() { e.lostControl = false })
	default: // an entry frozen
		e := r.entries[s.random.IntN(min(len(r.entries), 3))]
		e.frozen = true
		s.after(s.upTo(8*time.Second), func() { e.frozen = false })
	}
}

// play plays a day of random losses, loads and failing targets.
func (s *creditSim) play() {
	pause := 200*time.Millisecond + s.upTo(4*time.Second)
	length := 40*time.Second + s.upTo(simLongest-40*time.Second)
	for began := s.now; s.now.Sub(began) < length; {
		if s.random.IntN(6) == 0 {
			s.rate = 40 * s.random.Float64() * s.random.Float64()
		}
		if s.random.IntN(4) == 0 {
			s.failing = lo.Ternary(s.random.IntN(2) == 0, 0.05, s.random.Float64())
		}
		s.disturb(s.regions[s.random.IntN(len(s.regions))])
		s.run(s.upTo(2 * pause))
	}
}

// countIn returns the number of times in the window of that length that ends at end.
func countIn(times []time.Time, end time.Time, window time.Duration) int {
	after := func(t time.Time) int {
		at, _ := slices.BinarySearchFunc(times, t, func(x, y time.Time) int {
			return lo.Ternary(x.After(y), 1, -1)
		})
		return at
	}
	return after(end) - after(end.Add(-window))
}

// worstExcess returns by how many retries a window exceeds the bound at most.
func (s *creditSim) worstExcess() float64 {
	worst := -simBounds.slack
	w := simBounds.window
	for _, end := range s.retries {
		requests := max(countIn(s.requests, end, w), countIn(s.requests, end.Add(-w), w), countIn(s.requests, end.Add(-w/2), w))
		allowed := simBounds.ratio*float64(requests) + simBounds.slack
		worst = max(worst, float64(countIn(s.retries, end, w))-allowed)
	}
	return worst
}

// Guards against more retries of a service than the bound over all its pools, whatever
// entries are killed in a row, restarted side by side, cut off or frozen, and while two
// of them own the pool by their views.
func TestRetriesOfAllPools(t *testing.T) {
	for seed := range *creditSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			shape := rand.New(rand.NewPCG(uint64(seed), 3))
			s := newCreditSim(uint64(seed), 1+shape.IntN(3), 2+shape.IntN(11))
			s.run(2 * time.Second)
			s.play()
			assert.LessOrEqual(t, s.worstExcess(), 0.0)
		})
	}
}

// Guards against a bound that is kept by granting nothing: of the retries after ordinary
// failures most are granted before a lone kill of an owner, and again from two seconds
// after it.
func TestRetriesAfterLoneKill(t *testing.T) {
	const seeds = 40
	var before, early, late lo.Tuple2[int, int] // retries granted and asked for
	for seed := range seeds {
		s := newCreditSim(uint64(seed), 3, 11)
		s.rate = 47.5 / 3
		s.run(25 * time.Second)
		killed := s.now
		s.kill(s.regions[0], 0, time.Minute)
		s.run(12 * time.Second)
		count := func(into *lo.Tuple2[int, int], from, to time.Time) {
			into.A += countIn(s.granted, to, to.Sub(from))
			into.B += countIn(s.wanted, to, to.Sub(from))
		}
		count(&before, killed.Add(-10*time.Second), killed)
		count(&early, killed, killed.Add(2*time.Second))
		count(&late, killed.Add(2*time.Second), killed.Add(12*time.Second))
	}
	t.Logf("granted before %v, in the first 2 s %v, after that %v", before, early, late)
	for when, counted := range map[string]lo.Tuple2[int, int]{"before": before, "2 s after": late} {
		require.Positive(t, counted.B)
		assert.GreaterOrEqual(t, float64(counted.A)/float64(counted.B), 0.95, when)
	}
}
