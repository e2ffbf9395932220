package consensus

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// silentElectionTimeouts is the number of election timeouts without a response
	// after which a voting member counts as departed. For one that has not
	// responded to this leader at all, one election timeout is enough.
	silentElectionTimeouts = 2
	// abandonedElectionTimeouts is the same for a member whose removal does not
	// lower the quorum.
	abandonedElectionTimeouts = 60
	// minVoters is the size below which a dynamic group removes no voting member.
	minVoters = 3
)

// voterRemoval is a removal that this leader has proposed.
type voterRemoval struct {
	slot    string
	silence time.Duration // since the last response of the member
	leaving bool          // the member has announced its end
	voters  int           // voting members after the removal
}

// removalLowersQuorum reports whether a group of the given number of voting
// members needs fewer votes once the departed ones are removed. If it does not,
// a departed member costs nothing: the group tolerates the loss of as many of
// the remaining members with it as without it, and it can still return to vote.
func removalLowersQuorum(voters, departed int) bool {
	remaining := max(voters-departed, minVoters)
	return quorumOf(remaining) < quorumOf(voters)
}

// removeDepartedVoter proposes to remove one departed voting member if the group
// then needs fewer votes. The decision depends only on the configuration in the
// log and on who responds now, so each new leader comes to the same one.
func (c *core) removeDepartedVoter() {
	if !c.dynamic || c.pendingChangeIndex != 0 || !c.log.matches(c.log.commit, c.term) {
		return
	}
	p := c.removableVoter()
	if p == nil {
		return
	}
	entry := c.appendEntry(Entry{Kind: entryRemove, Data: []byte(p.id.Slot)})
	c.pendingChangeIndex = entry.Index
	c.updateVoters()
	c.removals = append(c.removals, voterRemoval{
		slot: p.id.Slot, silence: c.now.Sub(p.lastContact), leaving: c.isLeaving(p), voters: len(c.votingConfig()),
	})
	c.broadcastAppend()
}

// removableVoter returns the voting member to remove next, or nil.
func (c *core) removableVoter() *progress {
	departed := c.departedVoters()
	voters := len(c.votingConfig())
	if len(departed) == 0 || voters <= minVoters {
		return nil
	}
	first := departed[0]
	abandoned := c.now.Sub(first.lastContact) >= abandonedElectionTimeouts*c.electionTimeout
	if !abandoned && !removalLowersQuorum(voters, len(departed)) {
		return nil
	}
	return first
}

// departedVoters returns the voting members that are silent or leaving, the
// longest silent first.
func (c *core) departedVoters() []*progress {
	var departed []*progress
	for _, slot := range c.progressSlots() {
		p := c.voters[slot]
		if p != nil && (c.isSilent(p) || c.isLeaving(p)) {
			departed = append(departed, p)
		}
	}
	slices.SortStableFunc(departed, func(a, b *progress) int { return a.lastContact.Compare(b.lastContact) })
	return departed
}

func (c *core) isSilent(p *progress) bool {
	limit := silentElectionTimeouts * c.electionTimeout
	if p.ackedSent == 0 {
		limit = c.electionTimeout
	}
	return c.now.Sub(p.lastContact) >= limit
}

// isResponsive reports whether the member has responded to this leader within
// the election timeout.
func (c *core) isResponsive(p *progress) bool {
	return p.ackedSent != 0 && c.now.Sub(p.lastContact) < c.electionTimeout
}

// canSpare reports whether the group can go on without the member: it is known
// of each other voting member whether it responds, and those that do are a
// majority.
func (c *core) canSpare(id MemberID) bool {
	remaining := 1
	for _, p := range c.voters {
		switch {
		case p.id == id || c.isSilent(p):
		case !c.isResponsive(p):
			return false
		case !c.isLeaving(p):
			remaining++
		}
	}
	return remaining >= c.quorum()
}

// isLeaving reports whether the member has recently announced its end. After its
// end it is silent.
func (c *core) isLeaving(p *progress) bool {
	return !p.leaveAnnounced.IsZero() && c.now.Sub(p.leaveAnnounced) < c.electionTimeout
}

func (g *Group) logRemovals(removals []voterRemoval) {
	for _, r := range removals {
		g.counters.voterRemovals.Inc()
		g.config.Logger.Info("consensus voter removed", zap.String("group", g.config.Group), zap.String("slot", r.slot),
			zap.Duration("silence", r.silence), zap.Bool("leaving", r.leaving), zap.Int("voters", r.voters))
	}
}
