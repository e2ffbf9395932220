// Package consensus replicates a log over the members of a group by majority,
// and feeds it to a state machine on each member.
package consensus

import "errors"

// MemberID identifies a member of a group. The slot is the VM name and stays
// the same; the incarnation changes when the member lost its state. Votes and
// acknowledgements count for each slot, and only from the incarnation that the
// group's configuration names for the slot.
type MemberID struct {
	Slot        string `json:"slot" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// StateMachine is fed the committed commands of a group in log order. It must
// be deterministic.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Errors of a proposal.
var (
	ErrNotLeader      = errors.New("consensus: this member is not the leader; the command was not proposed")
	ErrUnknownOutcome = errors.New("consensus: the command may or may not be committed later")
	ErrStopped        = errors.New("consensus: the member has stopped")
)
