package consensus

import (
	"errors"

	"github.com/samber/lo"
)

// growthElectionTimeouts is the number of election timeouts after its start for
// which a leader waits for the group to reach its fault tolerance. A group that has
// too few members for it serves after that.
const growthElectionTimeouts = 10

// ErrGroupTooSmall is returned by Propose while a group that has just been formed has
// too few voting members for its fault tolerance. The command was not proposed.
var ErrGroupTooSmall = errors.New("consensus: the group has too few voting members for its fault tolerance; the command was not proposed")

// holders returns the number of members that hold the state of the group. A vacant
// slot counts for the quorum and holds none.
func (c configuration) holders() int {
	return lo.CountBy(lo.Values(c), func(incarnation uint64) bool { return incarnation != 0 })
}

// toleratedLosses returns the number of members that may lose their state while the
// others are still a quorum.
func (c configuration) toleratedLosses() int { return max(c.holders()-quorumOf(len(c)), 0) }

// smallestGroup returns the size below which a group with the given number of members
// that hold its state removes none of them: the remaining ones bear the loss of the
// state of as many members as all of them do, up to faultTolerance. A departed member
// that stays in the group may return with its state after such a loss.
func smallestGroup(holders, faultTolerance int) int {
	tolerated := min(holders-quorumOf(holders), faultTolerance)
	return max(2*tolerated+1, minVoters)
}

// awaitsMembers reports whether commands have to wait until further members have
// joined the group: with the loss of as many members as it is to tolerate, it would
// lose them.
func (c *core) awaitsMembers() bool {
	if c.now.Sub(c.start) >= growthElectionTimeouts*c.electionTimeout {
		return false
	}
	return c.config.toleratedLosses() < c.awaitedTolerance
}
