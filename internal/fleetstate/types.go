// Package fleetstate is the replicated state of the fleet: the routing
// document, the targets, the entries and the control members. It is the state
// machine of the consensus group. Every record carries the log index of its
// last change, so that a copy at some index can be updated with the records
// that changed since.
package fleetstate

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// TargetState is the state of a target.
type TargetState string

// The states of a target.
const (
	Ready    TargetState = "ready"
	Draining TargetState = "draining" // gets no new requests
	Gone     TargetState = "gone"     // a tombstone, kept to recognise late announcements
)

// Target is the record of one incarnation of a target.
type Target struct {
	ID          string        `json:"id"`
	Service     string        `json:"service"`
	Address     string        `json:"address"` // IP address and port
	DataCentre  string        `json:"data_centre"`
	Slots       int           `json:"slots"` // requests that it runs concurrently
	State       TargetState   `json:"state"`
	StartedAtMS int64         `json:"born"`               // start of the incarnation in Unix milliseconds
	Sequence    uint64        `json:"sequence"`           // sequence number of the announcement
	WarmUpTime  time.Duration `json:"cold_for,omitempty"` // warm-up time after the announcement, during which it is slow
	ChangeIndex uint64        `json:"changed"`            // log index of the last change
}

// Usable reports whether the target may get new requests.
func (t Target) Usable() bool { return t.State == Ready }

// EntryState is the state of an entry.
type EntryState string

// The states of an entry.
const (
	Serving EntryState = "serving"
	Leaving EntryState = "leaving" // finishes its requests and gets no new callers
	Lost    EntryState = "lost"    // no contact any more
)

// Entry is the record of an entry.
type Entry struct {
	Name          string     `json:"name" cbor:"1,keyasint"`
	Region        string     `json:"region" cbor:"2,keyasint"`
	DataCentre    string     `json:"data_centre" cbor:"3,keyasint"`
	CallerAddress string     `json:"caller_address" cbor:"4,keyasint"` // IP address and port for callers
	PeerAddress   string     `json:"peer_address" cbor:"5,keyasint"`   // IP address and port for other processes of the fleet
	Incarnation   uint64     `json:"incarnation" cbor:"6,keyasint"`
	State         EntryState `json:"state" cbor:"7,keyasint"`
	ControlMember string     `json:"via" cbor:"8,keyasint"`     // peer address of the control member that it polls
	ChangeIndex   uint64     `json:"changed" cbor:"9,keyasint"` // log index of the last change
}

// errInvalidEntry is returned by Entry.Validate.
var errInvalidEntry = errors.New("fleetstate: invalid record of an entry")

// Validate returns an error if the record cannot be that of an entry.
func (e Entry) Validate() error {
	if e.Name == "" || e.DataCentre == "" || e.Region == "" {
		return fmt.Errorf("%w: a name is missing", errInvalidEntry)
	}
	for _, address := range []string{e.CallerAddress, e.PeerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%w: %w", errInvalidEntry, err)
		}
	}
	if e.State != Serving && e.State != Leaving {
		return fmt.Errorf("%w: state %q", errInvalidEntry, e.State)
	}
	return nil
}

// Member is the record of a control member.
type Member struct {
	PeerAddress    string `json:"peer_address" cbor:"1,keyasint"` // IP address and port; identifies the member
	ControlAddress string `json:"control_address" cbor:"2,keyasint"`
	Region         string `json:"region" cbor:"3,keyasint"`
	DataCentre     string `json:"data_centre" cbor:"4,keyasint"`
	ChangeIndex    uint64 `json:"changed" cbor:"5,keyasint"` // log index of the last change
}

// Routing is the current routing document with its original text.
type Routing struct {
	Document    *routing.Document `json:"document"`
	Text        []byte            `json:"text,omitempty"`
	ChangeIndex uint64            `json:"changed"` // log index of the last change
}

// Update holds the records that changed after an index.
type Update struct {
	Index   uint64   `json:"index"`           // index of the state after the update
	Reset   bool     `json:"reset,omitempty"` // the update is the whole state and replaces the copy
	Routing *Routing `json:"held,omitempty"`
	Targets []Target `json:"targets,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Members []Member `json:"members,omitempty"`
}
