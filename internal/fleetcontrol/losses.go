package fleetcontrol

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

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
	hasSlot, responds := map[string]bool{}, map[string]bool{}
	for _, s := range status.Members {
		hasSlot[s.Slot] = true
		responds[s.Slot] = s.SinceLastResponse <= lostAfter
	}
	c.Entries = append(c.Entries, m.entriesLostWithMember(now, responds)...)
	c.RemovedMembers = append(c.RemovedMembers, m.membersWithoutSlot(now, hasSlot)...)
}

// entriesLostWithMember returns the new records of entries that poll a member which
// does not respond to this leader for longer than lostAfter.
func (m *Member) entriesLostWithMember(now time.Time, responds map[string]bool) []fleetstate.Entry {
	var lost []fleetstate.Entry
	for _, e := range m.stateMachine.Entries() {
		if e.State == fleetstate.Lost || responds[e.ControlMember] {
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
			lost = append(lost, m.markLost(e, e.ControlMember))
		}
	}
	return lost
}

// membersWithoutSlot returns the addresses of the members that have had no slot for
// longer than memberRemovalDelay.
func (m *Member) membersWithoutSlot(now time.Time, hasSlot map[string]bool) []string {
	var removed []string
	for _, r := range m.stateMachine.Members() {
		if hasSlot[r.PeerAddress] {
			delete(m.slotlessSince, r.PeerAddress)
			continue
		}
		since, ok := m.slotlessSince[r.PeerAddress]
		if !ok {
			m.slotlessSince[r.PeerAddress] = now
			continue
		}
		if now.Sub(since) > memberRemovalDelay {
			delete(m.slotlessSince, r.PeerAddress)
			removed = append(removed, r.PeerAddress)
			m.log.Info("record of a removed control member dropped", zap.String("member", r.PeerAddress))
		}
	}
	return removed
}
