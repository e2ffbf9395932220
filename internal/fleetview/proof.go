package fleetview

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	// minDueAge is the least age at which a proof is due. Members run a barrier every
	// second, so a proof is often that old, and with a lower value an entry would poll
	// without pause.
	minDueAge = 2 * time.Second
	// earlierReleaseDuration is how long a member of an earlier release, which returns
	// no age, is only chosen if no other one brings a proof. It is long, since each change
	// of the member is written to the log.
	earlierReleaseDuration = time.Minute
)

// proof is the time for which it is proved that the view holds everything that was
// committed before. It is stored after the view that it belongs to.
type proof struct {
	boot  sys.BootClock
	limit time.Duration // 0: no proofs
	at    atomic.Int64  // time since boot; 0: none

	age      *metrics.Histogram // of a proof when the next one arrives
	unproved *metrics.Counter   // polls without a recent proof
}

func newProof(boot sys.BootClock, limit time.Duration) proof {
	return proof{
		boot: boot, limit: limit,
		age:      metrics.GetOrCreateHistogram("sequoialane_tenants_proof_age_seconds"),
		unproved: metrics.GetOrCreateCounter("sequoialane_tenants_polls_without_proof_total"),
	}
}

// now returns the time of the boot clock, or 0 if there are no proofs.
func (p *proof) now() time.Duration {
	if p.limit == 0 {
		return 0
	}
	return p.boot.SinceBoot()
}

// within reports whether there is a proof that is not older than the limit.
func (p *proof) within(limit time.Duration) bool {
	at := p.at.Load()
	return at != 0 && p.boot.SinceBoot()-time.Duration(at) <= limit
}

// dueAge is the age at which a proof is so old that the entry polls for another one.
func (p *proof) dueAge() time.Duration { return max(p.limit/2, minDueAge) }

// isDue reports whether the entry needs a proof soon.
func (p *proof) isDue() bool { return p.limit > 0 && !p.within(p.dueAge()) }

// record stores the time of a proof unless it is older than the current one.
func (p *proof) record(at time.Duration) {
	previous := time.Duration(p.at.Load())
	if at <= previous {
		return
	}
	if previous > 0 {
		p.age.Update((p.boot.SinceBoot() - previous).Seconds())
	}
	p.at.Store(int64(at))
}

// ConfirmedWithin reports whether it is proved that the view holds everything that was
// committed before a time that is at most limit ago. The view must be loaded after the
// call. Time in which the machine was suspended counts.
func (f *Follower) ConfirmedWithin(limit time.Duration) bool {
	return f.proof.limit > 0 && f.proof.within(limit)
}

// HasProof reports whether there was a proof, however old.
func (f *Follower) HasProof() bool { return f.proof.at.Load() != 0 }

// recordProof evaluates the proof of a response to a poll that was started at a time of
// the boot clock. The member's barrier started ConfirmedAge before the update was read,
// which was after the start of the poll. So the start of the poll less that age is no
// later than the start of the barrier. Without a recent proof, another member is polled
// next; a member that is not in contact with a leader is avoided in any case.
func (f *Follower) recordProof(source string, started time.Duration, r fleetcontrol.PollResponse) {
	age := fleetcontrol.NotConfirmed
	if r.ConfirmedAge != nil {
		age = *r.ConfirmedAge
	}
	if age >= 0 {
		f.proof.record(started - age)
		f.notifyChanged()
	}
	if age >= 0 && age <= f.proof.dueAge() {
		f.markProof(source, 0)
		return
	}
	f.proof.unproved.Inc()
	switch {
	case !r.InContact:
	case r.ConfirmedAge == nil:
		f.markProof(source, earlierReleaseDuration)
	default:
		f.markProof(source, avoidDuration)
	}
}

// markProof makes chooseSource prefer other members for the duration; 0: not any more.
func (f *Follower) markProof(source string, unproved time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	if unproved == 0 {
		delete(f.unprovedUntil, source)
		return
	}
	if f.proves(source, now) {
		f.options.Log.Warn("control member brings no recent proof", zap.String("source", source))
	}
	f.unprovedUntil[source] = now.Add(unproved)
}

// proves reports whether a poll of the member may bring a recent proof. The caller holds
// mu.
func (f *Follower) proves(address string, now time.Time) bool {
	return !now.Before(f.unprovedUntil[address])
}

// anyProves reports whether a poll of any member that did not fail recently may bring a
// recent proof. The caller holds mu.
func (f *Follower) anyProves(now time.Time) bool {
	for _, address := range f.candidates() {
		if f.proves(address, now) && !now.Before(f.avoidUntil[address]) {
			return true
		}
	}
	return false
}
