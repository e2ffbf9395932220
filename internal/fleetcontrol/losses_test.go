package fleetcontrol

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// stateGroup is a consensus group of one member that applies each command at once.
type stateGroup struct {
	stateMachine *fleetstate.StateMachine
	status       consensus.Status
	unavailable  atomic.Bool
	index        atomic.Uint64
	barriers     atomic.Int64
}

func (g *stateGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	if g.unavailable.Load() {
		return nil, errors.New("no majority")
	}
	return g.stateMachine.Apply(g.index.Add(1), command), nil
}

func (g *stateGroup) ReadBarrier(ctx context.Context) error { return g.ReadBarrierOnHeartbeat(ctx) }

func (g *stateGroup) ReadBarrierOnHeartbeat(context.Context) error {
	g.barriers.Add(1)
	if g.unavailable.Load() {
		return errors.New("no majority")
	}
	return nil
}

func (g *stateGroup) Status() consensus.Status { return g.status }

// Guards against a departure that is acknowledged without effect: of a target that has
// no record, and that does not state its start, a late announcement would count as
// newer.
func TestLeaveOfUnknownTarget(t *testing.T) {
	m, group := newLossTest(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.batch.run(ctx)
	late := fleetstate.Target{ID: "t", Service: "s", Address: "10.0.0.7:1", DataCentre: "d", Slots: 1, State: fleetstate.Ready, StartedAtMS: 5}
	require.ErrorIs(t, m.Leave(ctx, "t", 0), ErrUnknownTarget)
	require.NoError(t, m.Leave(ctx, "t", 5))
	require.NoError(t, m.Announce(ctx, late))
	record, _ := group.stateMachine.Target("t")
	assert.Equal(t, fleetstate.Gone, record.State)
	late.ID = "u"
	require.NoError(t, m.Announce(ctx, late))
	require.NoError(t, m.Leave(ctx, "u", 0), "its record states the start")
	record, _ = group.stateMachine.Target("u")
	assert.Equal(t, fleetstate.Gone, record.State)
}

const memberAddress = "10.0.0.1:1"

var pollingEntry = fleetstate.Entry{
	Name: "e", Region: "r", DataCentre: "d", CallerAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2",
	Incarnation: 5, State: fleetstate.Serving, ControlMember: memberAddress,
}

// newLossTest returns a member whose group holds the record of an entry that polls
// this member. The member has just started and knows of no poll.
func newLossTest(t *testing.T) (*Member, *stateGroup) {
	t.Helper()
	group := &stateGroup{stateMachine: fleetstate.NewStateMachine()}
	self := consensus.MemberID{Slot: memberAddress, Incarnation: 1}
	group.status = consensus.Status{
		Self: self, Leader: self, Role: consensus.RoleFollower,
		Members: []consensus.MemberStatus{{Slot: memberAddress, Incarnation: 1}},
	}
	_, err := group.Propose(context.Background(), fleetstate.Command{Entries: []fleetstate.Entry{pollingEntry}}.Encode())
	require.NoError(t, err)
	m := New(Options{
		Self:  fleetstate.Member{PeerAddress: memberAddress, ControlAddress: "10.0.0.1:2", Region: "r", DataCentre: "d"},
		Group: group, StateMachine: group.stateMachine, Clock: sys.RealClock{}, Boot: sys.RealBootClock{}, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go m.batch.run(ctx)
	return m, group
}

func (m *Member) entryState() fleetstate.EntryState {
	e, _ := m.stateMachine.Entry(pollingEntry.Name)
	return e.State
}

// Guards against an entry that serves for ever in the state, though it is gone,
// because the member that it polled was restarted before it noticed.
func TestEntryLostDuringRestartOfItsMember(t *testing.T) {
	m, _ := newLossTest(t)
	now := time.Now()
	m.detectLosses(now)
	m.detectLosses(now.Add(lostAfter - time.Millisecond))
	assert.Equal(t, fleetstate.Serving, m.entryState(), "it may have polled just before the restart")
	m.detectLosses(now.Add(lostAfter))
	assert.Eventually(t, func() bool { return m.entryState() == fleetstate.Lost }, 5*time.Second, time.Millisecond)
}

// Guards against the same if the loss could not be committed when it was noticed.
func TestEntryLostWhileNoMajorityCommits(t *testing.T) {
	m, group := newLossTest(t)
	now := time.Now()
	m.presence.pollStarted(pollingEntry, now)
	m.presence.pollEnded(pollingEntry.Name, false, now)
	group.unavailable.Store(true)
	m.detectLosses(now.Add(lostAfter))
	time.Sleep(proposeTimeout + 100*time.Millisecond)
	group.unavailable.Store(false)
	for step := range 3 {
		m.detectLosses(now.Add(proposeTimeout + time.Duration(step+2)*lostAfter))
	}
	assert.Eventually(t, func() bool { return m.entryState() == fleetstate.Lost }, 5*time.Second, time.Millisecond)
}

// Guards against an entry that is declared lost although it polls this member, or
// has moved to another one.
func TestPollingEntryIsNotLost(t *testing.T) {
	m, _ := newLossTest(t)
	now := time.Now()
	for range 8 {
		m.presence.pollStarted(pollingEntry, now)
		m.presence.pollEnded(pollingEntry.Name, false, now)
		m.detectLosses(now)
		now = now.Add(lostAfter / 2)
	}
	moved := pollingEntry
	moved.ControlMember = "10.0.0.2:1"
	_, err := m.group.Propose(context.Background(), fleetstate.Command{Entries: []fleetstate.Entry{moved}}.Encode())
	require.NoError(t, err)
	for range 8 {
		m.detectLosses(now)
		now = now.Add(lostAfter / 2)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, fleetstate.Serving, m.entryState())
}

// Guards against targets that are sent to a control member which was replaced, as
// long as its record stands.
func TestNearestControlAddressOfReplacedMember(t *testing.T) {
	m, group := newLossTest(t)
	members := []fleetstate.Member{
		{PeerAddress: "10.0.0.2:1", ControlAddress: "10.0.0.2:2", Region: "r2", DataCentre: "d2"},
		{PeerAddress: "10.0.0.3:1", ControlAddress: "10.0.0.3:2", Region: "r2", DataCentre: "d2"},
	}
	_, err := group.Propose(context.Background(), fleetstate.Command{Members: members}.Encode())
	require.NoError(t, err)
	group.status.Members = append(group.status.Members, consensus.MemberStatus{Slot: "10.0.0.3:1", Incarnation: 3})
	assert.Equal(t, "10.0.0.3:2", m.NearestControlAddress("d2", "r2"))
}
