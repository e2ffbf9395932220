// Package examples tests the example settings and catalogs.
package examples

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// Guards against example settings and catalogs that the programs reject.
func TestExamplesAreAccepted(t *testing.T) {
	for _, deployment := range []string{"arvoredo", "parada-viva"} {
		t.Run(deployment, func(t *testing.T) {
			e := entry.DefaultSettings()
			require.NoError(t, settings.Load(filepath.Join(deployment, "entry.json"), e))
			assert.Len(t, e.ClaimGroups, 3)
			require.NoError(t, settings.Load(filepath.Join(deployment, "control.json"), control.DefaultSettings()))
			applyCatalog(t, filepath.Join(deployment, "catalog.json"))
		})
	}
}

func applyCatalog(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	var lists struct {
		Plans        []plan.Plan        `json:"plans"`
		Entitlements []plan.Entitlement `json:"entitlements"`
	}
	require.NoError(t, json.Unmarshal(raw, &lists))
	result := plan.NewCatalog().Apply(plan.Change{ID: "example", SetPlans: lists.Plans, SetEntitlements: lists.Entitlements})
	assert.Equal(t, plan.Accepted, result.Outcome, result.Detail)
}
