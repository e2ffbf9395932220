package consensus

import "github.com/samber/lo"

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
