package consensus

import (
	"errors"
	"time"
)

// MemberID identifies a member of a group. The slot is the VM name and stays
// the same; the incarnation changes when the member has lost its state. Votes
// and acknowledgements are counted once per slot, and only from the incarnation
// that the configuration of the group names for the slot.
type MemberID struct {
	Slot        string `json:"slot" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// StateMachine applies the committed commands of a group in log order. It must
// be deterministic. Its methods are called by one goroutine at a time; they
// must not block for long and must not call the Group.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	// Restore replaces the whole state. An empty snapshot restores the initial
	// state.
	Restore(snapshot []byte) error
}

// FenceSetter is implemented by state machines of memory groups. Commands that
// were committed before the fence may be lost. SetFence is called after each
// Restore, before the first command of an epoch is applied. The fence is the
// wall-clock time of the member that formed the epoch and is the same on all
// members.
type FenceSetter interface {
	SetFence(fence time.Time)
}

// Errors returned by Propose and ReadBarrier.
var (
	ErrNotLeader      = errors.New("consensus: no leader is known; the command was not proposed")
	ErrUnknownOutcome = errors.New("consensus: the command may or may not be committed later")
	ErrStopped        = errors.New("consensus: the member has stopped")
	ErrBusy           = errors.New("consensus: too many commands are waiting; the command was not proposed")
)
