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

// Guards against a member that votes or acknowledges after its disk has failed,
// and against a failed disk that stops the group.
func TestMemberStopsWhenItsDiskFails(t *testing.T) {
	cases := []struct {
		desc  string
		fault func(*fakedisk.Dir)
		want  error
	}{
		{"failed sync", func(d *fakedisk.Dir) { d.FailSyncs(1) }, fakedisk.ErrSyncFailed},
		{"full disk", func(d *fakedisk.Dir) { d.SetSpace(10) }, fakedisk.ErrFull},
	}
	for _, tc := range cases {
		for _, which := range []string{"leader", "follower"} {
			t.Run(tc.desc+" of the "+which, func(t *testing.T) {
				c := newCluster(t, 3, true, nil)
				c.propose(0, "a")
				c.settled()
				failing := c.leader()
				if which == "follower" {
					failing = (failing + 1) % 3
				}
				other := (failing + 1) % 3
				n := c.nodes[failing]
				tc.fault(n.disk)
				// The failing leader may be asked for this command, so its
				// outcome is not known.
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				c.proposeUntilTaken(ctx, other, "b")
				select {
				case <-n.group.Done():
				case <-ctx.Done():
					t.Fatal("the member goes on with a failed disk")
				}
				require.ErrorIs(t, n.group.Err(), tc.want)
				assert.Equal(t, RoleStopped, n.group.Status().Role)
				assert.Contains(t, n.group.Status().Failure, tc.want.Error())
				_, err := n.group.Propose(ctx, []byte("x"))
				assert.ErrorIs(t, err, ErrStopped)
				assert.ErrorIs(t, n.group.ReadBarrier(ctx), ErrStopped)

				c.propose(other, "c")
				c.stop(failing)
				n.disk.SetSpace(-1)
				n.disk.Crash(nil)
				c.start(failing)
				c.settled()
				c.propose(failing, "d")
				commands := c.read(other)
				for i := range c.nodes {
					c.expect(i, commands...)
				}
				assert.Equal(t, "a", commands[0])
				assert.Equal(t, []string{"c", "d"}, commands[len(commands)-2:])
			})
		}
	}
}

// proposeUntilTaken proposes until the command is not refused as "not proposed",
// which a member answers that knows no leader for a moment. Its outcome may be
// unknown.
func (c *cluster) proposeUntilTaken(ctx context.Context, i int, command string) {
	for ctx.Err() == nil {
		_, err := c.nodes[i].group.Propose(ctx, []byte(command))
		if !errors.Is(err, ErrNotLeader) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a member that starts from damaged state.
func TestStartRefusesFlippedBit(t *testing.T) {
	c := newCluster(t, 1, true, nil)
	c.propose(0, "a")
	c.propose(0, "b")
	c.stop(0)
	names, err := c.nodes[0].disk.List()
	require.NoError(t, err)
	c.nodes[0].disk.FlipBit(names[0], 60, 3)
	_, err = Start(Config{
		Group: "g", Self: "vm0", Members: []Member{{"vm0", c.nodes[0].address}},
		StateMachine: &logMachine{}, Storage: DiskStorage(c.nodes[0].disk),
	})
	assert.ErrorIs(t, err, wal.ErrCorrupt)
}

// Guards against a member that does not start, or loses commands, after a crash
// in the middle of a write.
func TestCrashInTheMiddleOfAWrite(t *testing.T) {
	c := newCluster(t, 3, true, func(c *Config) { c.SnapshotEvery = 5 })
	random := rand.New(rand.NewPCG(1, 1))
	var want []string
	for round := range 8 {
		c.settled()
		i := random.IntN(3)
		c.nodes[i].disk.Crash(random)
		c.stop(i)
		c.start(i)
		command := fmt.Sprint("round ", round)
		want = append(want, command)
		c.propose((i+1)%3, command)
	}
	for i := range c.nodes {
		c.expect(i, want...)
	}
}

// Guards against a member with an empty folder that forms a group of its own or
// cannot return.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 3, true, func(c *Config) { c.SnapshotEvery = 4 })
	var want []string
	for i := range c.nodes {
		c.settled()
		old := c.nodes[i].group.Status().Self
		c.stop(i)
		c.nodes[i].disk.Wipe()
		command := fmt.Sprint("without ", i)
		want = append(want, command)
		c.propose((i+1)%3, command)
		c.start(i)
		c.expect(i, want...)
		assert.NotEqual(t, old, c.nodes[i].group.Status().Self)
	}
}
