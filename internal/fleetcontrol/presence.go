package fleetcontrol

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

const (
	// silentAfter is the silence after which an entry counts as lost. It is the
	// hold of a poll plus the time of a few lost packets.
	silentAfter = PollHold + 900*time.Millisecond
	// closedAfter is the same for an entry whose connection was closed under its
	// poll, as when its process ends.
	closedAfter = 150 * time.Millisecond
)

// presence is when the entries that poll this member were last heard. It is
// safe for concurrent use.
type presence struct {
	mu      sync.Mutex
	entries map[string]*heard
	open    int // polls that wait
}

type heard struct {
	entry     fleetstate.Entry
	at        time.Time
	open      int  // polls that wait
	closed    bool // the last poll ended because its connection was closed
	proposing bool
}

func newPresence() *presence { return &presence{entries: map[string]*heard{}} }

func (p *presence) begin(e fleetstate.Entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.entries[e.Name]
	if h == nil {
		h = &heard{}
		p.entries[e.Name] = h
	}
	if e.Incarnation < h.entry.Incarnation {
		return
	}
	h.entry = e
	h.at = now
	h.open++
	p.open++
	h.closed = false
}

func (p *presence) end(name string, closed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.entries[name]
	if h == nil {
		return
	}
	if h.open > 0 {
		h.open--
		p.open--
	}
	if closed && h.open == 0 {
		h.closed = true
		h.at = now
	}
}

// silent returns the entries that have not been heard for too long, and forgets
// them.
func (p *presence) silent(now time.Time) []fleetstate.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []fleetstate.Entry
	for name, h := range p.entries {
		limit := silentAfter
		if h.closed {
			limit = closedAfter
		}
		if now.Sub(h.at) < limit || h.proposing {
			continue
		}
		lost = append(lost, h.entry)
		p.open -= h.open
		delete(p.entries, name)
	}
	return lost
}

// shift moves all times by the span in which this process itself stood still.
func (p *presence) shift(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range lo.Values(p.entries) {
		h.at = h.at.Add(by)
	}
}

// waiting returns the number of polls that wait.
func (p *presence) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *presence) startProposal(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.entries[name]
	if h == nil || h.proposing {
		return false
	}
	h.proposing = true
	return true
}

func (p *presence) endProposal(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.entries[name]; h != nil {
		h.proposing = false
	}
}
