// Package consensus replicates a log to a majority of the members of a group
// and applies it to a state machine on each member. The protocol is based on
// Raft, with pre-vote, check quorum, snapshots, learners and slot-based
// membership.
//
// The core does no I/O: it takes messages and the current time, and returns the
// data to store, the messages to send and the entries to apply. A Group runs
// one core with its storage, HTTP transport and state machine.
//
// # Slots and incarnations
//
// A group has a list of slots, which is fixed unless Config.Dynamic is set. The
// configuration names one incarnation for each slot, or none for a vacant slot.
// A quorum is a majority of all slots. A member that lost its state takes a new
// incarnation, becomes a learner, and is admitted by a Replace entry, which
// takes effect when it is applied. An old incarnation has ended before its
// successor exists and never acknowledges the Replace entry, so the majority
// that commits the entry consists of other slots. Every later quorum shares a
// slot with that majority.
//
// # Leadership transfer
//
// A leader that is about to stop tells one voter to campaign at once. The other
// voters grant their votes although they still have contact with the leader.
// This is safe because the leader has given up its lease for the rest of its
// term.
//
// # Formation
//
// A blank member has never accepted state of the group. Members without a
// leader probe each other. A blank member that gets responses from enough other
// blank members asks them to grant a new epoch, numbered above every epoch it
// has seen. A grant is a promise to reject messages of older epochs. With
// enough grants the member writes the first snapshot of the epoch and becomes
// its leader.
//
// A disk group needs the grants of all slots: it forms only if no member holds
// any state, so a group that has run never forms again as long as one data
// folder survives. A memory group needs the grants of a majority of the
// slots: the older epoch can then never commit again, because admitting a
// member needs a majority of its voters. The first snapshot of a memory epoch
// carries the fence time for FenceSetter. A member of a memory group that
// receives a message of a newer epoch that has committed an entry discards its
// state and becomes blank.
package consensus
