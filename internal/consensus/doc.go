// Package consensus replicates a log over the members of a group by majority,
// and feeds it to a state machine on each member. It is a Raft-family protocol
// with pre-vote, check quorum, snapshots, learners and membership by slots.
//
// The core does no I/O: it takes messages and times, and returns what is to be
// stored, sent and applied. A Group drives one core with storage, HTTP
// transport and state machine.
//
// # Slots and incarnations
//
// A group has a fixed list of slots. The configuration names one incarnation
// for each slot, or none for a vacant slot. A quorum is a majority of all
// slots. A member that lost its state takes a new incarnation, becomes a
// learner, and is admitted by a Replace entry, which takes effect where it is
// applied. An old incarnation has ended before its successor exists and never
// acknowledges the Replace entry, so that entry is committed by a majority
// that consists of other slots. Any later quorum shares a slot with it.
//
// # Transfer of leadership
//
// A leader that is about to stop tells one voter to campaign at once. The other
// voters then vote although they hear a leader, which is safe because the
// leader has given up its lease for the rest of its term.
//
// # Formation
//
// A blank member has never accepted state of the group. Members without a
// leader probe each other. A blank member that hears from enough other blank
// members asks them to grant a new epoch, numbered above all it has seen. A
// grant is a promise to refuse messages of older epochs. With enough grants
// the member writes the first snapshot of the epoch and leads it.
//
// For a disk group, "enough" is all slots: the group forms only if no member
// holds any state, so a group that has run never forms again while one data
// folder survives. For a memory group it is a majority of the slots: the older
// epoch can then never commit again, because admitting a member needs a
// majority of its voters. The first snapshot of a memory epoch carries the
// fence time for FenceSetter. A member of a memory group that meets a newer
// epoch discards its state and becomes blank.
package consensus
