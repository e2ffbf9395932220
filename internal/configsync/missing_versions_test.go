package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against an entry that counts as isolated during a long series of
// changes although it receives each of them soon, and against one that stays
// fresh although it no longer receives them.
func TestSteadyChangesDoNotIsolateAnEntry(t *testing.T) {
	clock := sys.NewManualClock(testNow)
	stateMachine := plan.NewStateMachine()
	change := func() {
		version := stateMachine.Current().Version()
		p := plan.Plan{ID: "p", Weight: 1 + int(version)%1000, TokenSHA256: []string{fmt.Sprintf("%064x", 1)}}
		stateMachine.Apply(0, plan.Change{ID: fmt.Sprint(version), BaseVersion: version, SetPlans: []plan.Plan{p}}.Encode())
	}
	peers := func() []Peer {
		return []Peer{{Member: membership.Member{Name: "e2", DataCentre: "a", State: membership.Alive, CatalogVersion: stateMachine.Current().Version()}, LastContact: clock.Now()}}
	}
	f := New(Options{Name: "e1", DataCentre: "a", Peers: peers, Clock: clock, Log: zap.NewNop()})
	for range 60 {
		before := stateMachine.Current().FullDelta()
		change()
		require.NoError(t, f.replica.Apply(before))
		clock.Advance(time.Second)
		require.Equal(t, Fresh, f.updateFreshness())
	}
	for range 9 {
		change()
		clock.Advance(time.Second)
		require.Equal(t, Fresh, f.updateFreshness())
	}
	clock.Advance(time.Second)
	assert.Equal(t, Isolated, f.updateFreshness())
	require.NoError(t, f.replica.Apply(stateMachine.Current().FullDelta()))
	assert.Equal(t, Fresh, f.updateFreshness())
}
