package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/wal"
)

// Guards against a member that continues to run after its disk has failed, and
// so votes or acknowledges entries without having stored them, and against a
// failed disk of one member that stops the group.
func TestMemberStopsOnDiskFailure(t *testing.T) {
	cases := []struct {
		desc  string
		fault func(*fakedisk.Dir)
		want  error
	}{
		{"failed sync", func(d *fakedisk.Dir) { d.FailSyncs(1) }, fakedisk.ErrSyncFailed},
		{"full disk", func(d *fakedisk.Dir) { d.SetFreeSpace(10) }, fakedisk.ErrFull},
	}
	for _, tc := range cases {
		for _, which := range []string{"leader", "follower"} {
			t.Run(tc.desc+" of the "+which, func(t *testing.T) {
				c := newCluster(t, 3, true, nil)
				c.propose(0, "a")
				c.waitUntilSettled()
				failing := c.leader()
				if which == "follower" {
					failing = (failing + 1) % 3
				}
				other := (failing + 1) % 3
				n := c.nodes[failing]
				tc.fault(n.dir)
				// This command may be forwarded to the failing leader, so its
				// outcome is unknown.
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				c.proposeUntilAccepted(ctx, other, "b")
				select {
				case <-n.group.Done():
				case <-ctx.Done():
					t.Fatal("the member continues to run with a failed disk")
				}
				require.ErrorIs(t, n.group.Err(), tc.want)
				assert.Equal(t, RoleStopped, n.group.Status().Role)
				assert.Contains(t, n.group.Status().Failure, tc.want.Error())
				_, err := n.group.Propose(ctx, []byte("x"))
				assert.ErrorIs(t, err, ErrStopped)
				assert.ErrorIs(t, n.group.ReadBarrier(ctx), ErrStopped)

				c.propose(other, "c")
				c.stop(failing)
				n.dir.SetFreeSpace(-1)
				n.dir.Crash(nil)
				c.start(failing)
				c.waitUntilSettled()
				c.propose(failing, "d")
				commands := c.read(other)
				for i := range c.nodes {
					c.requireCommands(i, commands...)
				}
				assert.Equal(t, "a", commands[0])
				assert.Equal(t, []string{"c", "d"}, commands[len(commands)-2:])
			})
		}
	}
}

// proposeUntilAccepted retries a proposal while it fails with ErrNotLeader, which
// a member returns while it knows no leader. The outcome of the command may be
// unknown.
func (c *cluster) proposeUntilAccepted(ctx context.Context, i int, command string) {
	for ctx.Err() == nil {
		_, err := c.nodes[i].group.Propose(ctx, []byte(command))
		if !errors.Is(err, ErrNotLeader) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a member that starts from corrupt state.
func TestStartRejectsFlippedBit(t *testing.T) {
	c := newCluster(t, 1, true, nil)
	c.propose(0, "a")
	c.propose(0, "b")
	c.stop(0)
	names, err := c.nodes[0].dir.List()
	require.NoError(t, err)
	c.nodes[0].dir.FlipBit(names[0], 60, 3)
	_, err = Start(Config{
		Group: "g", Self: "vm0", Members: []Member{{"vm0", c.nodes[0].address}},
		StateMachine: &commandLogMachine{}, Storage: DiskStorage(c.nodes[0].dir),
	})
	assert.ErrorIs(t, err, wal.ErrCorrupt)
}

// Guards against a member that does not start, or that loses commands, after a
// crash during a write.
func TestCrashDuringWrite(t *testing.T) {
	c := newCluster(t, 3, true, func(c *Config) { c.SnapshotEvery = 5 })
	random := rand.New(rand.NewPCG(1, 1))
	var want []string
	for round := range 8 {
		c.waitUntilSettled()
		i := random.IntN(3)
		c.nodes[i].dir.Crash(random)
		c.stop(i)
		c.start(i)
		command := fmt.Sprint("round ", round)
		want = append(want, command)
		c.propose((i+1)%3, command)
	}
	for i := range c.nodes {
		c.requireCommands(i, want...)
	}
}

// Guards against a member with an empty directory that forms a group of its own
// or cannot rejoin the group.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 3, true, func(c *Config) { c.SnapshotEvery = 4 })
	var want []string
	for i := range c.nodes {
		c.waitUntilSettled()
		old := c.nodes[i].group.Status().Self
		c.stop(i)
		c.nodes[i].dir.Wipe()
		command := fmt.Sprint("without ", i)
		want = append(want, command)
		c.propose((i+1)%3, command)
		c.start(i)
		c.requireCommands(i, want...)
		assert.NotEqual(t, old, c.nodes[i].group.Status().Self)
	}
}

// Guards against a member that restarts with the snapshot of an epoch that it had
// discarded.
func TestDiscardedEpochIsNotRestored(t *testing.T) {
	dir := fakedisk.New()
	storage := DiskStorage(dir)
	_, err := storage.open()
	require.NoError(t, err)
	first := snapshot{Epoch: 64, Index: 1, Term: 1, Config: configuration{"a": 1}}
	require.NoError(t, storage.saveSnapshot(hardState{Incarnation: 1, Epoch: 64, Promised: 64, Term: 1}, first, []Entry{{Index: 2, Term: 1}}))
	require.NoError(t, storage.save(hardState{Incarnation: 2, Promised: 128}, nil))
	require.NoError(t, storage.close())
	stored, err := DiskStorage(dir).open()
	require.NoError(t, err)
	assert.Equal(t, storedState{hardState: hardState{Incarnation: 2, Promised: 128}}, stored)
}
