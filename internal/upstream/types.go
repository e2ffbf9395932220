// Package upstream keeps the records of the targets of a service: their latest
// announcements, leases, tombstones and routes.
package upstream

// State is the state that a target announces.
type State string

// Values of State. Draining and Leaving are final within an incarnation.
const (
	Serving  State = "serving"
	Draining State = "draining"
	Leaving  State = "leaving"
)

// Route declares whether the requests that match it are idempotent.
type Route struct {
	Method     string `json:"method"`      // HTTP method, or "*" for any
	PathPrefix string `json:"path_prefix"` // path below the service, such as "/orders"
	Idempotent bool   `json:"idempotent"`
}

// Announcement is the record that a target sends about itself.
type Announcement struct {
	Service         string  `json:"service"`
	Address         string  `json:"address"` // IP address and port; identifies the target within its service
	Region          string  `json:"region"`
	DataCentre      string  `json:"data_centre"`
	Slots           int     `json:"slots"` // number of requests that the target runs concurrently
	State           State   `json:"state"`
	Incarnation     uint64  `json:"incarnation"` // increases with each restart of the process
	Sequence        uint64  `json:"sequence"`    // increases with each announcement of an incarnation
	Routes          []Route `json:"routes,omitempty"`
	EchoesRequestID bool    `json:"echoes_request_id,omitempty"`
	ProbePath       string  `json:"probe_path,omitempty"` // empty: the target cannot be probed
}

// Target identifies a target and says how to reach it.
type Target struct {
	Service         string
	Address         string
	Region          string
	DataCentre      string
	Slots           int
	Incarnation     uint64
	EchoesRequestID bool
	ProbePath       string
}

// ApplyResult is the result of applying an announcement.
type ApplyResult string

// Values of ApplyResult.
const (
	Applied  ApplyResult = "applied"  // the record is now current
	Renewed  ApplyResult = "renewed"  // nothing changed but the lease
	Outdated ApplyResult = "outdated" // a newer record is known; the announcement was ignored
	Rejected ApplyResult = "rejected" // the announcement is malformed or meant for another owner
)
