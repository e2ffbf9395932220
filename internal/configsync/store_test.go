package configsync

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

func newStoringFollower(dir *fakedisk.Dir) *Follower {
	return New(Options{Name: "e1", DataCentre: "a", Peers: func() []Peer { return nil }, Clock: sys.RealClock{}, Log: zap.NewNop(), Dir: dir})
}

// storedVersion returns the version that an entry starts with after a power
// loss.
func storedVersion(dir *fakedisk.Dir) uint64 {
	dir.Crash(rand.New(rand.NewPCG(3, 4)))
	return newStoringFollower(dir).Version()
}

// Guards against a stored copy that is lost at a power loss because it was not
// synced, and against one that is lost or damaged while it is replaced.
func TestStoredCopySurvivesALossOfPower(t *testing.T) {
	server := newControlServer(t)
	server.addPlan(t, 1)
	dir := fakedisk.New()
	f := newStoringFollower(dir)
	require.NoError(t, f.replica.Apply(server.stateMachine.Current().FullDelta()))
	assert.Equal(t, uint64(1), f.saveCurrent(0))
	assert.Equal(t, uint64(1), storedVersion(dir))

	server.addPlan(t, 2)
	d := server.stateMachine.DeltaSince(1)
	require.NoError(t, f.replica.Apply(d))
	dir.FailSyncs(1)
	assert.Equal(t, uint64(1), f.saveCurrent(1), "a failed sync must not count as stored")
	assert.Equal(t, uint64(1), storedVersion(dir))
	assert.Equal(t, uint64(2), f.saveCurrent(1))
	assert.Equal(t, uint64(2), storedVersion(dir))

	dir.FlipBit(copyFile, 40, 3)
	assert.Zero(t, storedVersion(dir), "a damaged copy is not used")
}

// Guards against a follower that stops without storing its copy, and against a
// stored copy that is served before it is known to be current.
func TestFollowerStoresItsCopy(t *testing.T) {
	server := newControlServer(t)
	dir := fakedisk.New()
	f := newStoringFollower(dir)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		f.storeChanges(ctx)
		close(stopped)
	}()
	for n := range 3 {
		server.addPlan(t, n)
		require.NoError(t, f.replica.Apply(server.stateMachine.Current().FullDelta()))
	}
	cancel()
	<-stopped
	assert.Equal(t, uint64(3), storedVersion(dir))
	restarted := newStoringFollower(dir)
	restarted.updateFreshness()
	assert.Nil(t, restarted.Current())
	var lower plan.Delta
	require.ErrorIs(t, restarted.replica.Apply(lower), plan.ErrLowerVersion)
	assert.Equal(t, uint64(3), restarted.Version())
}
