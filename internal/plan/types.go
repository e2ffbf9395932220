// Package plan is the aggregate of the two lists that operators change: the
// plans that customers hold, and what each plan may use of each service.
package plan

// Plan is a customer of the fleet.
type Plan struct {
	ID          string   `json:"id"`
	Weight      int      `json:"weight"`       // relative share of slot time, 1 to 1000
	TokenSHA256 []string `json:"token_sha256"` // hex SHA-256 of each accepted token
	HomeRegion  string   `json:"home_region"`  // region that keeps the claims of the plan; cannot be changed
}

// Entitlement says what a plan may use of a service.
type Entitlement struct {
	Plan              string  `json:"plan"`
	Service           string  `json:"service"`
	RequestsPerSecond float64 `json:"requests_per_second"` // 0: no limit
	Concurrency       int     `json:"concurrency"`         // requests in flight; 0: no limit
}

// EntitlementKey identifies an entitlement.
type EntitlementKey struct {
	Plan    string `json:"plan"`
	Service string `json:"service"`
}

// Change is one operator's change of the lists. All of it takes effect, or
// nothing.
type Change struct {
	ID                 string           `json:"id"`           // chosen by the operator; a resend carries the same
	BaseVersion        uint64           `json:"base_version"` // catalog version that the change was made from
	SetPlans           []Plan           `json:"set_plans,omitempty"`
	RemovePlans        []string         `json:"remove_plans,omitempty"`
	SetEntitlements    []Entitlement    `json:"set_entitlements,omitempty"`
	RemoveEntitlements []EntitlementKey `json:"remove_entitlements,omitempty"`
}

// Outcome tells what became of a change.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Stale    Outcome = "stale"   // the base version is not the current version
	Invalid  Outcome = "invalid" // the change breaks a rule of the lists
)

// Result is the answer to a change. A resend of the change gets the same.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Version uint64  `json:"version"` // version made by the change, or else the current one
	Detail  string  `json:"detail,omitempty"`
}
