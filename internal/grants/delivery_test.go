package grants

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/pool"
)

// slotReturnTime is how long after an owner is back the slots of grants that nobody
// holds may stay taken. It is far shorter than the deadline of longRequest.
const slotReturnTime = 2 * time.Second

func longRequest(id string) pool.Request {
	r := request(id)
	r.TimeLeft = time.Minute
	return r
}

// stop makes the entry refuse connections until resume is called.
func (r *testRegion) stop(n int) {
	r.servers[n].CloseClientConnections()
	r.servers[n].Close()
}

// pause makes the kernel take connections for the entry, and nobody read them, as
// while a process is paused, until resume is called.
func (r *testRegion) pause(t *testing.T, n int) {
	r.stop(n)
	r.listen(t, n)
}

func (r *testRegion) listen(t *testing.T, n int) {
	listener, err := net.Listen("tcp", r.view.Entries[n].PeerAddress)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(r.brokers[n].Handler())
	_ = server.Listener.Close()
	server.Listener = listener
	r.servers[n] = server
	t.Cleanup(server.Close)
}

func (r *testRegion) resume(n int) { r.servers[n].Start() }

// inFlightAt returns the number of grants that an entry has made and that have not
// ended.
func (r *testRegion) inFlightAt(n int) int {
	sum := 0
	for _, targets := range r.brokers[n].Status() {
		for _, target := range targets {
			sum += target.InFlight
		}
	}
	return sum
}

func (r *testRegion) requireNoGrantAt(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return r.inFlightAt(n) == 0 }, slotReturnTime, 10*time.Millisecond,
		"slots stay taken by grants that nobody holds")
}

// Guards against slots that stay taken until the deadline by calls whose senders
// have given up: an owner that was paused reads and grants them when it runs again.
func TestCallsThatWereGivenUpHoldNoSlot(t *testing.T) {
	r := newTestRegion(t, 2, 4)
	owner := r.owner()
	entry := r.brokers[1-owner]
	r.pause(t, owner)
	var calls sync.WaitGroup
	for n := range 8 {
		calls.Go(func() {
			l, err := entry.Acquire(context.Background(), "s", longRequest(fmt.Sprint(n)), time.Second)
			if assert.NoError(t, err, "the entry uses its own pool") {
				l.Release(pool.Outcome{Kind: pool.OK, Took: time.Millisecond})
			}
		})
	}
	calls.Wait()
	r.resume(owner)
	time.Sleep(50 * time.Millisecond) // the owner reads the calls
	r.requireNoGrantAt(t, owner)
}

// Guards against slots that stay taken until the deadline although their requests
// have ended: the owner could not be reached when their outcomes were reported.
func TestOutcomeIsReportedOnceOwnerIsBack(t *testing.T) {
	r := newTestRegion(t, 2, 4)
	owner := r.owner()
	l, err := r.brokers[1-owner].Acquire(context.Background(), "s", longRequest("q"), time.Second)
	require.NoError(t, err)
	require.Equal(t, 1, r.inFlightAt(owner))
	r.stop(owner)
	l.Release(pool.Outcome{Kind: pool.OK, Took: time.Millisecond})
	time.Sleep(2 * firstDeliveryDelay)
	r.listen(t, owner)
	r.resume(owner)
	r.requireNoGrantAt(t, owner)
}

// Guards against an outcome that is reported again and again to an owner that was
// restarted, and so holds no grant of its earlier incarnation.
func TestOutcomeIsNotReportedToRestartedOwner(t *testing.T) {
	r := newTestRegion(t, 2, 1)
	owner := r.view.Entries[r.owner()]
	entry := r.brokers[1-r.owner()]
	r.stop(r.owner())
	r.view.Entries[r.owner()].Incarnation++
	ended := make(chan struct{})
	go func() {
		entry.deliver(owner, ReleasePath, ReleaseRequest{Group: Group{Service: "s", Shards: 1}, LeaseID: 1}, time.Minute)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(slotReturnTime):
		t.Fatal("it is still being reported")
	}
}
