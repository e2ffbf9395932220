package fleetcontrol

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

const (
	// lostAfter is how long an entry may be silent before it counts as lost: the
	// hold of a poll plus time to retransmit a few lost packets.
	lostAfter = PollHold + 900*time.Millisecond
	// lostAfterClose is the same for an entry whose connection was closed
	// during its poll, as happens when its process ends.
	lostAfterClose = 150 * time.Millisecond
)

// presence tracks when each entry that polls this member was last in contact. It is
// safe for concurrent use.
type presence struct {
	mu      sync.Mutex
	entries map[string]*entryPresence
	waiting int // waiting polls of all entries
}

// entryPresence is the presence of one entry.
type entryPresence struct {
	entry       fleetstate.Entry
	lastContact time.Time // when it was last in contact
	waiting     int       // waiting polls
	closed      bool      // the last poll ended because its connection was closed
	proposing   bool      // a proposal of its record is in flight
}

func newPresence() *presence { return &presence{entries: map[string]*entryPresence{}} }

func (p *presence) pollStarted(e fleetstate.Entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.entries[e.Name]
	if ep == nil {
		ep = &entryPresence{}
		p.entries[e.Name] = ep
	}
	if e.Incarnation < ep.entry.Incarnation {
		return
	}
	ep.entry = e
	ep.lastContact = now
	ep.waiting++
	p.waiting++
	ep.closed = false
}

func (p *presence) pollEnded(name string, closed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.entries[name]
	if ep == nil {
		return
	}
	if ep.waiting > 0 {
		ep.waiting--
		p.waiting--
	}
	if closed && ep.waiting == 0 {
		ep.closed = true
		ep.lastContact = now
	}
}

// expect starts to track an entry that polls this member by its record, as if it had
// polled now, unless it is tracked already.
func (p *presence) expect(e fleetstate.Entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[e.Name] == nil {
		p.entries[e.Name] = &entryPresence{entry: e, lastContact: now}
	}
}

// removeSilent removes and returns the entries that were silent for too long.
func (p *presence) removeSilent(now time.Time) []fleetstate.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []fleetstate.Entry
	for name, ep := range p.entries {
		limit := lostAfter
		if ep.closed {
			limit = lostAfterClose
		}
		if now.Sub(ep.lastContact) < limit || ep.proposing {
			continue
		}
		lost = append(lost, ep.entry)
		p.waiting -= ep.waiting
		delete(p.entries, name)
	}
	return lost
}

// shiftTimes moves all times by the span for which this process was paused, so
// that the pause does not count as silence of the entries.
func (p *presence) shiftTimes(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ep := range lo.Values(p.entries) {
		ep.lastContact = ep.lastContact.Add(pause)
	}
}

// waitingPolls returns the number of waiting polls.
func (p *presence) waitingPolls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// startProposal reports whether the record of the entry may be proposed: no other
// proposal of it is in flight. endProposal must follow.
func (p *presence) startProposal(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := p.entries[name]
	if ep == nil || ep.proposing {
		return false
	}
	ep.proposing = true
	return true
}

func (p *presence) endProposal(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep := p.entries[name]; ep != nil {
		ep.proposing = false
	}
}
