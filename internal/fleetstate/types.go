// Package fleetstate holds what all processes of a fleet agree on: the routing
// document, the targets, the entries and the control members. It is a state
// machine of the consensus group; every change gets the index of its log entry,
// so that a copy is brought up to date by what changed since an index.
package fleetstate

import (
	"time"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// TargetState is the state of a target.
type TargetState string

// The states of a target.
const (
	Ready    TargetState = "ready"
	Draining TargetState = "draining" // gets no new requests
	Gone     TargetState = "gone"     // kept so that late announcements are recognised
)

// Target is the record of one incarnation of a target.
type Target struct {
	ID         string        `json:"id"`
	Service    string        `json:"service"`
	Address    string        `json:"address"` // IP address and port
	DataCentre string        `json:"data_centre"`
	Slots      int           `json:"slots"` // requests that it runs at the same time
	State      TargetState   `json:"state"`
	Born       int64         `json:"born"`               // start of the incarnation, Unix milliseconds
	Sequence   uint64        `json:"sequence"`           // of the announcement that made the record
	ColdFor    time.Duration `json:"cold_for,omitempty"` // how long it stays slow after the announcement
	Changed    uint64        `json:"changed"`            // log index of the last change
}

// Usable reports whether the target may get new requests.
func (t Target) Usable() bool { return t.State == Ready }

// EntryState is the state of an entry.
type EntryState string

// The states of an entry.
const (
	Serving EntryState = "serving"
	Leaving EntryState = "leaving" // finishes what it has; is named to no caller
	Lost    EntryState = "lost"
)

// Entry is the record of an entry.
type Entry struct {
	Name          string     `json:"name"`
	Region        string     `json:"region"`
	DataCentre    string     `json:"data_centre"`
	CallerAddress string     `json:"caller_address"` // IP address and port for callers
	PeerAddress   string     `json:"peer_address"`   // IP address and port for other processes of the fleet
	Incarnation   uint64     `json:"incarnation"`
	State         EntryState `json:"state"`
	Via           string     `json:"via"`     // peer address of the control member that it polls
	Changed       uint64     `json:"changed"` // log index of the last change
}

// Member is the record of a control member.
type Member struct {
	PeerAddress    string `json:"peer_address"` // IP address and port, which names it
	ControlAddress string `json:"control_address"`
	Region         string `json:"region"`
	DataCentre     string `json:"data_centre"`
	Changed        uint64 `json:"changed"`
}

// Held is the routing document in force, with its text as it was sent.
type Held struct {
	Document *routing.Document `json:"document"`
	Text     []byte            `json:"text,omitempty"`
	Changed  uint64            `json:"changed"`
}

// Update is what changed after an index.
type Update struct {
	Index   uint64   `json:"index"`           // state after the update
	Reset   bool     `json:"reset,omitempty"` // the update is the whole state
	Held    *Held    `json:"held,omitempty"`
	Targets []Target `json:"targets,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Members []Member `json:"members,omitempty"`
}
