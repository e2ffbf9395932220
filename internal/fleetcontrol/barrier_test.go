package fleetcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// pausingGroup is a stateGroup whose barriers are interrupted.
type pausingGroup struct {
	*stateGroup
	during func()
}

func (g *pausingGroup) ReadBarrier(ctx context.Context) error { return g.ReadBarrierOnHeartbeat(ctx) }

func (g *pausingGroup) ReadBarrierOnHeartbeat(ctx context.Context) error {
	if g.during != nil {
		g.during()
	}
	return g.stateGroup.ReadBarrierOnHeartbeat(ctx)
}

func newTestKeeper() (*barrierKeeper, *pausingGroup, *sys.ManualBootClock) {
	group := &pausingGroup{stateGroup: &stateGroup{stateMachine: fleetstate.NewStateMachine()}}
	boot := sys.NewManualBootClock(time.Hour)
	return newBarrierKeeper(group, group.stateMachine, sys.RealClock{}, boot, zap.NewNop()), group, boot
}

// Guards against barriers whose number grows with that of the polls, and against some
// that run while no poll waits.
func TestBarriersArePerMember(t *testing.T) {
	k, group, boot := newTestKeeper()
	k.running = true // the test takes the place of the goroutine
	for range 300 {
		k.pollStarted()
	}
	next := func(wait time.Duration) {
		t.Helper()
		got, ok := k.nextStart()
		assert.True(t, ok)
		assert.Equal(t, wait, got)
	}
	next(0)
	for range 3 {
		k.runBarrier()
		next(barrierInterval)
		boot.Advance(barrierInterval - 1)
		next(1)
		boot.Advance(1)
		next(0)
	}
	group.unavailable.Store(true)
	k.runBarrier()
	next(barrierRetryInterval)
	boot.Advance(time.Minute)
	next(0)
	for range 300 {
		k.pollEnded()
	}
	_, ok := k.nextStart()
	assert.False(t, ok)
	assert.False(t, k.running, "the next poll starts the goroutine again")
	assert.EqualValues(t, 4, group.barriers.Load())
}

// Guards against an age that is lower than the true one: after a pause of the process
// during a barrier, while the member is cut off from its leader, and for a state that
// was discarded after the barrier.
func TestAgeOfConfirmation(t *testing.T) {
	k, group, boot := newTestKeeper()
	age := func() time.Duration {
		c := k.last()
		return k.age(c, k.state.EncodedSince(0).Index)
	}
	assert.Equal(t, NotConfirmed, age(), "no barrier yet")
	_, err := group.Propose(context.Background(), fleetstate.Command{Entries: []fleetstate.Entry{pollingEntry}}.Encode())
	require.NoError(t, err)

	group.during = func() { boot.Advance(7 * time.Second) }
	k.runBarrier()
	assert.Equal(t, 7*time.Second, age(), "a pause during the barrier")

	group.unavailable.Store(true)
	group.during = nil
	boot.Advance(time.Second)
	k.runBarrier()
	assert.Equal(t, 8*time.Second, age(), "the barrier failed")

	require.NoError(t, group.stateMachine.Restore(nil))
	assert.Equal(t, NotConfirmed, age(), "the confirmed state was discarded")
}

// poll sends a poll to the member and returns the response with its duration.
func poll(t *testing.T, m *Member, r PollRequest) (PollResponse, time.Duration) {
	t.Helper()
	body, err := json.Marshal(r)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	started := time.Now()
	m.servePoll(w, httptest.NewRequest(http.MethodPost, PollPath, bytes.NewReader(body)))
	var response PollResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
	return response, time.Since(started)
}

// Guards against an entry that starts and waits for its proof longer than for a barrier,
// against an age that nobody requested, and against a poll without end at a member that
// is cut off from its leader.
func TestPollBringsConfirmation(t *testing.T) {
	m, _ := newLossTest(t)
	_, index := m.stateMachine.Changed()
	first := PollRequest{Entry: pollingEntry, After: 0, Confirm: true, ConfirmSoon: true}
	response, _ := poll(t, m, first)
	require.NotNil(t, response.ConfirmedAge)
	assert.Positive(t, *response.ConfirmedAge, "the poll waits for the barrier")
	assert.Equal(t, index, response.Update.Index)

	response, _ = poll(t, m, PollRequest{Entry: pollingEntry, After: index, Confirm: true})
	require.NotNil(t, response.ConfirmedAge)
	assert.Positive(t, *response.ConfirmedAge)
	response, _ = poll(t, m, PollRequest{Entry: pollingEntry, After: 0})
	assert.Nil(t, response.ConfirmedAge)

	m, group := newLossTest(t)
	group.unavailable.Store(true)
	response, took := poll(t, m, first)
	require.NotNil(t, response.ConfirmedAge)
	assert.Equal(t, NotConfirmed, *response.ConfirmedAge)
	assert.Equal(t, index, response.Update.Index, "without a confirmation the entry gets the state all the same")
	assert.GreaterOrEqual(t, took, PollHold)
}
