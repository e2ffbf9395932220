// Package membership maintains the table of the entries of the fleet with a
// SWIM-style gossip protocol: probes over UDP detect failed members, piggybacked
// records spread changes, and full exchanges over HTTP reconcile tables.
package membership

// State is the state of a member as seen by this process.
type State string

// Member states.
const (
	Alive    State = "alive"
	Suspect  State = "suspect"
	Dead     State = "dead"
	Draining State = "draining"
	Left     State = "left"
)

// Member is the record of an entry of the fleet as seen by this process.
type Member struct {
	Name           string  `json:"name" cbor:"1,keyasint"` // VM name, stable over restarts
	Region         string  `json:"region" cbor:"2,keyasint"`
	DataCentre     string  `json:"data_centre" cbor:"3,keyasint"`
	CallerAddress  string  `json:"caller_address" cbor:"4,keyasint"` // IP address and port for callers
	PeerAddress    string  `json:"peer_address" cbor:"5,keyasint"`   // IP address and port for other entries
	GossipAddress  string  `json:"gossip_address" cbor:"6,keyasint"` // IP address and UDP port
	Incarnation    uint64  `json:"incarnation" cbor:"7,keyasint"`    // start time of the process in milliseconds
	State          State   `json:"state" cbor:"8,keyasint"`
	CatalogVersion uint64  `json:"catalog_version" cbor:"9,keyasint"`
	Load           float64 `json:"load" cbor:"10,keyasint"` // requests in flight per core
	Isolated       bool    `json:"isolated" cbor:"11,keyasint,omitempty"`

	// Revision orders the records of one incarnation. The member itself raises
	// it with each change and each refutation, so that the incarnation keeps
	// identifying the process while it runs.
	Revision uint64 `json:"revision" cbor:"12,keyasint,omitempty"`
	// WasDraining is set on a suspect or dead member that had announced a
	// drain, so that suspicion does not make it usable again.
	WasDraining bool `json:"was_draining,omitempty" cbor:"13,keyasint,omitempty"`
}

// Usable reports whether the member may own services and be listed in address
// responses. A suspect member stays usable until it is declared dead.
func (m Member) Usable() bool {
	switch m.State {
	case Alive:
		return !m.Isolated
	case Suspect:
		return !m.Isolated && !m.WasDraining
	default:
		return false
	}
}

// Present reports whether the member is considered running.
func (m Member) Present() bool {
	return m.State == Alive || m.State == Suspect || m.State == Draining
}

var stateOrder = map[State]int{Alive: 0, Draining: 1, Suspect: 2, Dead: 3, Left: 4}

// supersedes reports whether record a is newer than record b of the same member.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return stateOrder[a.State] > stateOrder[b.State]
}
