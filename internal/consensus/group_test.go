package consensus

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
)

// testTimeout limits the wait for an event that is expected to happen at once.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// commandLogMachine records all commands. The result of a command is its position.
type commandLogMachine struct {
	mu       sync.Mutex
	commands []string
	fence    time.Time
}

func (m *commandLogMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(m.commands)))
}

func (m *commandLogMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.commands)
}

func (m *commandLogMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	if len(snapshot) == 0 {
		return nil
	}
	return cbor.Unmarshal(snapshot, &m.commands)
}

func (m *commandLogMachine) SetFence(fence time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fence = fence
}

func (m *commandLogMachine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

// node is a member that can be stopped and restarted on the same address.
type node struct {
	slot    string
	address string
	dir     *fakedisk.Dir // nil: memory group
	mu      sync.Mutex
	group   *Group // nil: stopped
	machine *commandLogMachine
	server  *http.Server
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	group := n.group
	n.mu.Unlock()
	if group == nil {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	group.Handler().ServeHTTP(w, r)
}

type cluster struct {
	t          *testing.T
	editConfig func(*Config)
	nodes      []*node
}

func newCluster(t *testing.T, size int, durable bool, edit func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, editConfig: edit}
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		n := &node{slot: fmt.Sprintf("vm%d", i), address: listener.Addr().String()}
		if durable {
			n.dir = fakedisk.New()
		}
		n.server = &http.Server{Handler: n, ReadHeaderTimeout: time.Second}
		go func() { _ = n.server.Serve(listener) }()
		c.nodes = append(c.nodes, n)
	}
	for i := range c.nodes {
		c.start(i)
	}
	t.Cleanup(func() {
		for i, n := range c.nodes {
			c.stop(i)
			_ = n.server.Close()
		}
	})
	return c
}

func (c *cluster) start(i int) {
	c.t.Helper()
	n := c.nodes[i]
	machine := &commandLogMachine{}
	config := Config{
		Group: "g", Self: n.slot, StateMachine: machine, Token: "secret",
		Rand:              rand.New(rand.NewPCG(1, uint64(i))),
		HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
		Storage: MemoryStorage(),
	}
	if n.dir != nil {
		config.Storage = DiskStorage(n.dir)
	}
	for _, other := range c.nodes {
		config.Members = append(config.Members, Member{Slot: other.slot, Address: other.address})
	}
	if c.editConfig != nil {
		c.editConfig(&config)
	}
	group, err := Start(config)
	require.NoError(c.t, err)
	n.mu.Lock()
	n.group, n.machine = group, machine
	n.mu.Unlock()
}

func (c *cluster) stop(i int) {
	n := c.nodes[i]
	n.mu.Lock()
	group := n.group
	n.group = nil
	n.mu.Unlock()
	if group != nil {
		group.Stop()
	}
}

func (c *cluster) eventually(condition func() bool, what string) {
	c.t.Helper()
	if assert.Eventually(c.t, condition, testTimeout, 5*time.Millisecond, what) {
		return
	}
	for _, n := range c.nodes {
		if n.group != nil {
			c.t.Logf("%+v", n.group.Status())
		}
	}
	c.t.FailNow()
}

// propose proposes a command on member i until it succeeds.
func (c *cluster) propose(i int, command string) []byte {
	c.t.Helper()
	var result []byte
	c.eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		result, err = c.nodes[i].group.Propose(ctx, []byte(command))
		if err != nil && !errors.Is(err, ErrNotLeader) {
			c.t.Logf("propose on %d: %v", i, err)
		}
		return err == nil
	}, "propose "+command)
	return result
}

// requireCommands compares the commands of a member after a read barrier.
func (c *cluster) requireCommands(i int, commands ...string) {
	c.t.Helper()
	assert.Equal(c.t, commands, c.read(i), "member %d", i)
}

func (c *cluster) read(i int) []string {
	c.t.Helper()
	c.eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return c.nodes[i].group.ReadBarrier(ctx) == nil
	}, "read barrier")
	return c.nodes[i].machine.all()
}

func (c *cluster) leader() int {
	for i, n := range c.nodes {
		if n.group != nil && n.group.Status().Role == RoleLeader {
			return i
		}
	}
	return -1
}

// waitUntilSettled waits until the leader has admitted all members.
func (c *cluster) waitUntilSettled() {
	c.t.Helper()
	c.eventually(func() bool {
		i := c.leader()
		if i < 0 {
			return false
		}
		status := c.nodes[i].group.Status()
		for j, member := range status.Members {
			if c.nodes[j].group == nil || member.Incarnation != c.nodes[j].group.Status().Self.Incarnation {
				return false
			}
		}
		return status.Settled
	}, "all members admitted")
}

func TestGroupProposesAndReadsOnEachMember(t *testing.T) {
	cases := []struct {
		desc    string
		size    int
		durable bool
		edit    func(*Config)
	}{
		{"memory", 3, false, nil},
		{"disk", 3, true, nil},
		{"five members in memory", 5, false, nil},
		{"one member on disk", 1, true, nil},
		{"reads within the lease", 3, true, func(c *Config) { c.LeaseReads = true }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			c := newCluster(t, tc.size, tc.durable, tc.edit)
			var want []string
			for i := range c.nodes {
				command := fmt.Sprint("command ", i)
				want = append(want, command)
				result := c.propose(i, command)
				assert.Equal(t, uint64(i+1), binary.BigEndian.Uint64(result))
			}
			for i := range c.nodes {
				c.requireCommands(i, want...)
			}
		})
	}
}

// Guards against a member that loses or repeats commands across a restart, both
// from its own disk and from the other members.
func TestGroupRestart(t *testing.T) {
	for _, durable := range []bool{false, true} {
		t.Run(fmt.Sprint("durable ", durable), func(t *testing.T) {
			c := newCluster(t, 3, durable, func(c *Config) { c.SnapshotEvery = 4 })
			var want []string
			for round := range 6 {
				c.waitUntilSettled()
				c.stop(round % 3)
				command := fmt.Sprint("round ", round)
				want = append(want, command)
				c.propose((round+1)%3, command)
				c.start(round % 3)
				c.requireCommands(round%3, want...)
			}
		})
	}
}

func TestDiskGroupRestartsAllMembers(t *testing.T) {
	c := newCluster(t, 3, true, nil)
	c.propose(0, "a")
	for i := range c.nodes {
		c.stop(i)
		c.nodes[i].dir.Crash(nil)
	}
	for i := range c.nodes {
		c.start(i)
	}
	c.requireCommands(1, "a")
}

// Guards against a memory group that loses commands without setting a later
// fence.
func TestMemoryGroupFormsAgainWithFence(t *testing.T) {
	c := newCluster(t, 3, false, nil)
	c.propose(0, "a")
	c.waitUntilSettled()
	first := c.nodes[2].machine.fence
	require.False(t, first.IsZero())
	lost := time.Now()
	c.stop(0)
	c.stop(1)
	c.start(0)
	c.start(1)
	c.propose(0, "b")
	c.waitUntilSettled()
	for i := range c.nodes {
		c.requireCommands(i, "b")
		assert.True(t, c.nodes[i].machine.fence.After(lost), "fence of member %d", i)
	}
}

func TestStartRejectsInvalidConfig(t *testing.T) {
	valid := Config{Group: "g", Self: "a", Members: []Member{{"a", ""}}, Storage: MemoryStorage(), StateMachine: &commandLogMachine{}}
	cases := []struct {
		desc string
		edit func(*Config)
	}{
		{"no group", func(c *Config) { c.Group = "" }},
		{"unknown slot", func(c *Config) { c.Self = "b" }},
		{"slot listed twice", func(c *Config) { c.Members = []Member{{"a", ""}, {"a", ""}} }},
		{"no members", func(c *Config) { c.Members = nil }},
		{"heartbeat too long", func(c *Config) { c.HeartbeatInterval = time.Minute }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			config := valid
			tc.edit(&config)
			_, err := Start(config)
			assert.Error(t, err)
		})
	}
}

// Guards against an unresponsive member that delays messages to the others.
func TestSilentMemberDoesNotDelayOthers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	c := newCluster(t, 3, false, func(c *Config) {
		c.RequestTimeout = time.Hour // the sender to the silent member stays blocked
		for i := range c.Members {
			if c.Members[i].Slot == "vm2" && c.Self != "vm2" {
				c.Members[i].Address = silent.Addr().String()
			}
		}
	})
	c.propose(0, "a")
	for i := range 100 {
		c.propose(i%2, fmt.Sprint(i))
	}
	assert.Len(t, c.read(1), 101)
}

// Guards against a log that grows without limit with large commands.
func TestLargeCommandsTriggerSnapshots(t *testing.T) {
	c := newCluster(t, 1, false, func(c *Config) { c.SnapshotBytes = 4000 })
	for i := range 30 {
		c.propose(0, fmt.Sprint(i, string(make([]byte, 1000))))
	}
	group := c.nodes[0].group
	c.stop(0)
	log := group.core.log
	assert.Greater(t, log.snapshot.Index, uint64(5))
	assert.Less(t, len(log.entries), 30)
}
