package plan

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func numberedPlan(n int) Plan {
	return Plan{ID: fmt.Sprintf("plan-%d", n), Weight: 1 + n%MaxWeight, TokenSHA256: []string{fmt.Sprintf("%064x", n)}, HomeRegion: "norte"}
}

// mustAccept applies a change to the current version and requires that it is
// accepted. The default change id is derived from the base version.
func mustAccept(t testing.TB, c *Catalog, ch Change) {
	t.Helper()
	ch.BaseVersion = c.Snapshot().Version()
	if ch.ID == "" {
		ch.ID = fmt.Sprintf("base-%d", ch.BaseVersion)
	}
	result := c.Apply(ch)
	require.Equal(t, Accepted, result.Outcome, result.Detail)
}

// Guards against two operators who overwrite each other's changes of the same
// base version.
func TestOneOfTwoChangesWithEqualVersionsIsAccepted(t *testing.T) {
	c := NewCatalog()
	first := c.Apply(Change{ID: "a", SetPlans: []Plan{numberedPlan(1)}})
	second := c.Apply(Change{ID: "b", SetPlans: []Plan{numberedPlan(2)}})
	assert.Equal(t, Result{Outcome: Accepted, Version: 1}, first)
	assert.Equal(t, Stale, second.Outcome)
	assert.Equal(t, uint64(1), second.Version)
	_, found := c.Snapshot().Plan("plan-2")
	assert.False(t, found)
}

// Guards against a resent change that is applied again or gets another result.
func TestResendGetsTheFirstResult(t *testing.T) {
	cases := []struct {
		desc   string
		change Change
		want   Outcome
	}{
		{"accepted", Change{ID: "r", BaseVersion: 1, SetPlans: []Plan{numberedPlan(2)}}, Accepted},
		{"stale", Change{ID: "r", BaseVersion: 0, SetPlans: []Plan{numberedPlan(2)}}, Stale},
		{"invalid", Change{ID: "r", BaseVersion: 1, RemovePlans: []string{"absent"}}, Invalid},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			c := NewCatalog()
			mustAccept(t, c, Change{SetPlans: []Plan{numberedPlan(1)}})
			first := c.Apply(tc.change)
			require.Equal(t, tc.want, first.Outcome)
			mustAccept(t, c, Change{SetPlans: []Plan{numberedPlan(3)}})
			version := c.Snapshot().Version()
			assert.Equal(t, first, c.Apply(tc.change))
			assert.Equal(t, version, c.Snapshot().Version())
		})
	}
}

// Guards against an operator who reuses a change id and gets the result of the
// earlier change.
func TestChangeIDWithOtherContentIsInvalid(t *testing.T) {
	c := NewCatalog()
	mustAccept(t, c, Change{ID: "same", SetPlans: []Plan{numberedPlan(1)}})
	result := c.Apply(Change{ID: "same", BaseVersion: 1, SetPlans: []Plan{numberedPlan(2)}})
	assert.Equal(t, Invalid, result.Outcome)
	first := c.Apply(Change{ID: "same", BaseVersion: 0, SetPlans: []Plan{numberedPlan(1)}})
	assert.Equal(t, Accepted, first.Outcome)
}

// Guards against a result that is evicted before 100,000 are stored or lost in a
// snapshot, and against a change that is applied again after its eviction.
func TestAtLeast100000ResultsAreKept(t *testing.T) {
	c := NewCatalog()
	const kept = 100_000
	mustAccept(t, c, Change{ID: "oldest", SetPlans: []Plan{numberedPlan(1)}})
	for n := range kept - 1 {
		c.results.add(storedResult{ID: fmt.Sprintf("later-%d", n)})
	}
	m := NewStateMachine()
	m.setCatalog(c)
	encoded, err := m.Snapshot()
	require.NoError(t, err)
	restored := NewStateMachine()
	require.NoError(t, restored.Restore(encoded))
	result, found := restored.Result("oldest")
	require.True(t, found)
	assert.Equal(t, Result{Outcome: Accepted, Version: 1}, result)
	for n := range maxResults {
		restored.catalog.results.add(storedResult{ID: fmt.Sprintf("more-%d", n)})
	}
	assert.Len(t, restored.catalog.results.ring, maxResults)
	assert.Len(t, restored.catalog.results.byID, maxResults)
	repeated := restored.catalog.Apply(Change{ID: "oldest", SetPlans: []Plan{numberedPlan(1)}})
	assert.Equal(t, Stale, repeated.Outcome, "a change resent after its result was evicted must not take effect")
}

// Guards against a change that breaks a rule of the catalog and is applied, in
// whole or in part.
func TestInvalidChangesAreRejected(t *testing.T) {
	hash := func(n int) string { return fmt.Sprintf("%064x", n) }
	with := func(edit func(*Plan)) Change {
		p := numberedPlan(7)
		edit(&p)
		return Change{SetPlans: []Plan{p}}
	}
	entitlement := func(e Entitlement) Change { return Change{SetEntitlements: []Entitlement{e}} }
	cases := []struct {
		desc   string
		change Change
		detail string
	}{
		{"empty", Change{}, "empty"},
		{"id with a slash", with(func(p *Plan) { p.ID = "a/b" }), "letters"},
		{"id too long", with(func(p *Plan) { p.ID = strings.Repeat("a", 65) }), "letters"},
		{"weight 0", with(func(p *Plan) { p.Weight = 0 }), "weight 0"},
		{"weight 1001", with(func(p *Plan) { p.Weight = 1001 }), "weight 1001"},
		{"no token", with(func(p *Plan) { p.TokenSHA256 = nil }), "0 token hashes"},
		{"upper-case hash", with(func(p *Plan) { p.TokenSHA256 = []string{strings.Repeat("A", 64)} }), "lower-case"},
		{"short hash", with(func(p *Plan) { p.TokenSHA256 = []string{"ab"} }), "lower-case"},
		{"token of another plan", with(func(p *Plan) { p.TokenSHA256 = []string{hash(1)} }), "already a token of plan plan-1"},
		{"token twice", with(func(p *Plan) { p.TokenSHA256 = []string{hash(7), hash(7)} }), "already a token"},
		{"home region changed", Change{SetPlans: []Plan{{ID: "plan-1", Weight: 1, TokenSHA256: []string{hash(1)}, HomeRegion: "sul"}}}, "home_region cannot"},
		{"home region cleared", Change{SetPlans: []Plan{{ID: "plan-1", Weight: 1, TokenSHA256: []string{hash(1)}}}}, "home_region cannot"},
		{"home region of a plan that was removed", Change{SetPlans: []Plan{{ID: "plan-2", Weight: 1, TokenSHA256: []string{hash(2)}, HomeRegion: "sul"}}}, "home_region cannot"},
		{"set twice", Change{SetPlans: []Plan{numberedPlan(7), numberedPlan(7)}}, "named twice"},
		{"set and removed", Change{SetPlans: []Plan{numberedPlan(1)}, RemovePlans: []string{"plan-1"}}, "named twice"},
		{"removed twice", Change{RemovePlans: []string{"plan-1", "plan-1"}}, "named twice"},
		{"absent plan removed", Change{RemovePlans: []string{"plan-9"}}, "does not exist"},
		{"entitlement of an absent plan", entitlement(Entitlement{Plan: "plan-9", Service: "s"}), "plan does not exist"},
		{"entitlement of a removed plan", Change{RemovePlans: []string{"plan-1"}, SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "s"}}}, "plan does not exist"},
		{"negative rate", entitlement(Entitlement{Plan: "plan-1", Service: "s", RequestsPerSecond: -1}), "requests_per_second"},
		{"negative concurrency", entitlement(Entitlement{Plan: "plan-1", Service: "s", Concurrency: -1}), "concurrency"},
		{"entitlement set and removed", Change{SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "orders"}}, RemoveEntitlements: []EntitlementKey{{"plan-1", "orders"}}}, "named twice"},
		{"absent entitlement removed", Change{RemoveEntitlements: []EntitlementKey{{"plan-1", "absent"}}}, "does not exist"},
		{"one valid and one invalid item", Change{SetPlans: []Plan{numberedPlan(7)}, RemovePlans: []string{"plan-9"}}, "does not exist"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			c := NewCatalog()
			mustAccept(t, c, Change{SetPlans: []Plan{numberedPlan(1), numberedPlan(2)}, SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "orders"}}})
			mustAccept(t, c, Change{RemovePlans: []string{"plan-2"}})
			before := c.Snapshot()
			tc.change.ID = "tested"
			tc.change.BaseVersion = before.Version()
			result := c.Apply(tc.change)
			assert.Equal(t, Invalid, result.Outcome)
			assert.Contains(t, result.Detail, tc.detail)
			assert.True(t, before == c.Snapshot(), "an invalid change must leave the catalog unchanged")
		})
	}
}

// Guards against a token that still authenticates its old plan after it was
// replaced, moved to another plan or removed with its plan.
func TestAuthenticateFollowsChanges(t *testing.T) {
	c := NewCatalog()
	token := func(text string) string { return fmt.Sprintf("%x", sha256Of(text)) }
	mustAccept(t, c, Change{SetPlans: []Plan{{ID: "a", Weight: 1, TokenSHA256: []string{token("old"), token("new")}}, numberedPlan(2)}})
	p, found := c.Snapshot().Authenticate("old")
	require.True(t, found)
	assert.Equal(t, "a", p.ID)
	mustAccept(t, c, Change{SetPlans: []Plan{{ID: "a", Weight: 1, TokenSHA256: []string{token("new")}}}})
	_, found = c.Snapshot().Authenticate("old")
	assert.False(t, found)
	mustAccept(t, c, Change{SetPlans: []Plan{{ID: "b", Weight: 1, TokenSHA256: []string{token("new")}}, {ID: "a", Weight: 1, TokenSHA256: []string{token("a2")}}}})
	p, _ = c.Snapshot().Authenticate("new")
	assert.Equal(t, "b", p.ID)
	mustAccept(t, c, Change{RemovePlans: []string{"b"}})
	_, found = c.Snapshot().Authenticate("new")
	assert.False(t, found)
	_, found = c.Snapshot().Authenticate("")
	assert.False(t, found)
}

// Guards against a change that modifies the records of an older snapshot.
func TestSnapshotsAreImmutable(t *testing.T) {
	c := NewCatalog()
	mustAccept(t, c, Change{SetPlans: []Plan{numberedPlan(1)}, SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "s", Concurrency: 1}}})
	before := c.Snapshot()
	mustAccept(t, c, Change{SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "s", Concurrency: 2}, {Plan: "plan-1", Service: "a"}}})
	mustAccept(t, c, Change{RemovePlans: []string{"plan-1"}})
	e, found := before.Entitlement("plan-1", "s")
	require.True(t, found)
	assert.Equal(t, 1, e.Concurrency)
	_, found = before.Entitlement("plan-1", "a")
	assert.False(t, found)
	assert.Equal(t, 1, before.PlanCount())
	assert.Zero(t, c.Snapshot().PlanCount())
	assert.Zero(t, c.Snapshot().EntitlementCount())
	assert.Zero(t, c.Snapshot().Digest())
}
