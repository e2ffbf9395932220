package consensus

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
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

// voterRemoval is the removal of a voting member, or of a vacant slot.
type voterRemoval struct {
	slot    string
	silence time.Duration // since the last response of the member; of a vacant slot: since the start of this member
	vacant  bool          // no member holds the slot
	leaving bool          // the member has announced its end
	voters  int           // voting members after the removal
}

// removalLowersQuorum reports whether a group of the given number of voting
// members needs fewer votes once the departed ones are removed, down to the
// smallest size allowed. If it does not, a departed member costs nothing: the
// group tolerates the loss of as many of the remaining members with it as without
// it, and it can still return to vote.
func removalLowersQuorum(voters, departed, smallest int) bool {
	remaining := max(voters-departed, smallest)
	return quorumOf(remaining) < quorumOf(voters)
}

// removeDepartedVoter proposes to remove one departed voting member if the group
// then needs fewer votes. The decision depends only on the configuration in the
// log and on who responds now, so each new leader comes to the same one. A majority
// must respond: a change in the log counts before it is committed.
func (c *core) removeDepartedVoter() {
	if !c.dynamic || !c.isFormed() || !c.mayChangeMembers() || !c.log.matches(c.log.commit, c.term) {
		return
	}
	removal, ok := c.nextRemoval()
	if !ok || c.responsiveVoters() < c.quorum() {
		return
	}
	entry := c.appendEntry(Entry{Kind: entryRemove, Data: []byte(removal.slot)})
	c.pendingChangeIndex = entry.Index
	c.updateVoters()
	removal.voters = len(c.votingConfig())
	c.removals = append(c.removals, removal)
	c.broadcastAppend()
}

// nextRemoval returns the voting member to remove next. It reports false if there
// is none.
func (c *core) nextRemoval() (voterRemoval, bool) {
	departed := c.departedVoters()
	config := c.votingConfig()
	smallest := smallestGroup(config.holders(), c.faultTolerance)
	if len(departed) == 0 || len(config) <= smallest {
		return voterRemoval{}, false
	}
	first := departed[0]
	abandoned := first.silence >= abandonedElectionTimeouts*c.electionTimeout
	return first, abandoned || removalLowersQuorum(len(config), len(departed), smallest)
}

// departedVoters returns the voting members that are silent or leaving, and the
// vacant slots. The vacant slots come first, since they hold no log, then the
// member that has been silent for longest.
func (c *core) departedVoters() []voterRemoval {
	var departed []voterRemoval
	config := c.votingConfig()
	for _, slot := range sortedSlots(config) {
		p := c.voters[slot]
		switch {
		case config[slot] == 0:
			departed = append(departed, voterRemoval{slot: slot, silence: c.now.Sub(c.start), vacant: true})
		case p != nil && (c.isSilent(p) || c.isLeaving(p.id)):
			departed = append(departed, voterRemoval{slot: slot, silence: c.now.Sub(p.lastContact), leaving: c.isLeaving(p.id)})
		}
	}
	slices.SortStableFunc(departed, func(a, b voterRemoval) int {
		if a.vacant != b.vacant {
			return lo.Ternary(a.vacant, -1, 1)
		}
		return cmp.Compare(b.silence, a.silence)
	})
	return departed
}

// responsiveVoters counts this leader and the voting members that respond.
func (c *core) responsiveVoters() int {
	return 1 + lo.CountBy(lo.Values(c.voters), c.isResponsive)
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

// isUndetermined reports whether it is not yet known if the member responds.
func (c *core) isUndetermined(p *progress) bool { return !c.isResponsive(p) && !c.isSilent(p) }

// canSpare reports whether the group can go on without the member: it is known
// of each other voting member whether it responds, and those that do are a
// majority.
func (c *core) canSpare(id MemberID) bool {
	remaining := 1
	for _, p := range c.voters {
		switch {
		case p.id == id || c.isSilent(p):
		case c.isUndetermined(p):
			return false
		case !c.isLeaving(p.id):
			remaining++
		}
	}
	return remaining >= c.quorum()
}

// canAdmit reports whether the quorum of a dynamic group may grow: its members have
// committed an entry, it is known of each whether it responds, and no departed one
// is to be removed first.
func (c *core) canAdmit() bool {
	if !c.isFormed() || lo.SomeBy(lo.Values(c.voters), c.isUndetermined) {
		return false
	}
	_, removalFirst := c.nextRemoval()
	return !removalFirst
}

// isLeaving reports whether the member has recently announced its end. After its
// end it is silent.
func (c *core) isLeaving(id MemberID) bool {
	announced, ok := c.leavers[id]
	return ok && c.now.Sub(announced) < c.electionTimeout
}

func (g *Group) logRemovals(removals []voterRemoval) {
	for _, r := range removals {
		g.counters.voterRemovals.Inc()
		g.config.Logger.Info("consensus voter removed", zap.String("group", g.config.Group), zap.String("slot", r.slot),
			zap.Duration("silence", r.silence), zap.Bool("leaving", r.leaving), zap.Int("voters", r.voters))
	}
}
