// Package plan holds the catalog: the plans of the fleet's customers, and the
// entitlements that say what each plan may use of each service. It validates
// and applies the changes that operators make, and encodes the catalog as
// snapshots and deltas for replication.
package plan

// Plan is a customer of the fleet.
type Plan struct {
	ID          string   `json:"id"`
	Weight      int      `json:"weight"`       // relative share of slot time, 1 to 1000
	TokenSHA256 []string `json:"token_sha256"` // hex SHA-256 of each accepted token
	HomeRegion  string   `json:"home_region"`  // region that keeps the claims of the plan; cannot be changed
}

// Entitlement limits what a plan may use of a service.
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

// Change is an operator's change of the catalog. It is applied as a whole or
// not at all.
type Change struct {
	ID                 string           `json:"id"`           // chosen by the operator; a resend carries the same id
	BaseVersion        uint64           `json:"base_version"` // catalog version that the change was made from
	SetPlans           []Plan           `json:"set_plans,omitempty"`
	RemovePlans        []string         `json:"remove_plans,omitempty"`
	SetEntitlements    []Entitlement    `json:"set_entitlements,omitempty"`
	RemoveEntitlements []EntitlementKey `json:"remove_entitlements,omitempty"`
}

// Outcome says whether a change was applied.
type Outcome string

// Outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Stale    Outcome = "stale"   // the base version is not the current version
	Invalid  Outcome = "invalid" // the change breaks a rule of the catalog
)

// Result is the answer to a change. A resend of the change gets the same result.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Version uint64  `json:"version"` // version that the change created, or the current one if it was not accepted
	Detail  string  `json:"detail,omitempty"`
}
