package fleetcontrol_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/freeports"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// stepTimeout bounds each step. It is far longer than any step takes.
const stepTimeout = 30 * time.Second

// cluster runs control members in this process, on loopback addresses.
type cluster struct {
	t       *testing.T
	ports   freeports.Ports
	folder  string
	all     []*fleetcontrol.Settings
	mu      sync.Mutex
	members map[int]*fleetcontrol.Member // running members by number
	stops   map[int]func()
	kills   map[int]func()
	log     *zap.Logger // of members that are started
}

func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), members: map[int]*fleetcontrol.Member{}, stops: map[int]func(){}, kills: map[int]func(){}, log: zap.NewNop()}
	for n := range size {
		s := fleetcontrol.DefaultSettings()
		host := c.ports.NextHost()
		s.Name, s.Region, s.DataCentre = fmt.Sprint("c", n), fmt.Sprint("r", n%3), fmt.Sprint("d", n)
		var err error
		s.ControlAddress, err = c.ports.ReserveTCP(host)
		require.NoError(t, err)
		s.PeerAddress, err = c.ports.ReserveTCP(host)
		require.NoError(t, err)
		s.DataFolder = filepath.Join(c.folder, s.Name)
		s.Grace = settings.Duration(5 * time.Second)
		c.all = append(c.all, s)
	}
	for _, s := range c.all {
		for _, seed := range c.all[:3] {
			s.Seeds = append(s.Seeds, seed.PeerAddress)
		}
	}
	c.ports.Release()
	t.Cleanup(func() {
		var stopped sync.WaitGroup
		for n := range c.all {
			stopped.Go(func() { c.kill(n) })
		}
		stopped.Wait()
	})
	return c
}

func (c *cluster) start(n int, bootstrap bool) {
	c.t.Helper()
	s := *c.all[n]
	s.Bootstrap = bootstrap
	api := func(m *fleetcontrol.Member) http.Handler {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.members[n] = m
		return http.NewServeMux()
	}
	p, err := fleetcontrol.NewProcess(&s, api, sys.RealClock{}, c.log)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[n] = func() { cancel(); <-done }
	c.kills[n] = func() { p.Kill(); cancel(); <-done }
}

func (c *cluster) stop(n int) { c.end(n, c.stops) }

// kill ends a member without notice.
func (c *cluster) kill(n int) { c.end(n, c.kills) }

func (c *cluster) end(n int, with map[int]func()) {
	c.mu.Lock()
	end := with[n]
	delete(c.stops, n)
	delete(c.kills, n)
	c.mu.Unlock()
	if end == nil {
		return
	}
	end()
	c.mu.Lock()
	delete(c.members, n)
	c.mu.Unlock()
}

func (c *cluster) member(n int) *fleetcontrol.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[n]
}

func document(version uint64) *routing.Document {
	return &routing.Document{
		Version: version, Services: []routing.Service{{Name: "s"}},
		Hosts: []routing.Host{{Name: "h", Routes: []routing.Route{{
			Name: "r", Kind: routing.Once, PathPrefix: "/", Timeout: time.Second, MaxAttempts: 1,
			Destinations: []routing.Destination{{Service: "s", Weight: 1}},
		}}}},
	}
}

func (c *cluster) mustPut(n int, version uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	held, err := c.member(n).PutDocument(ctx, document(version), []byte(fmt.Sprint("text ", version)))
	require.NoError(c.t, err)
	require.Equal(c.t, version, held)
}

func (c *cluster) mustRead(n int, version uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		held, err := c.member(n).Document(ctx)
		if err != nil {
			return false
		}
		assert.Equal(c.t, fmt.Sprint("text ", version), string(held.Text))
		return true
	}, stepTimeout, 50*time.Millisecond)
}

func (c *cluster) mustAnnounce(n int, target fleetstate.Target) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	require.NoError(c.t, c.member(n).Announce(ctx, target))
}

func target(state fleetstate.TargetState) fleetstate.Target {
	return fleetstate.Target{ID: "i", Service: "s", Address: "10.0.0.1:1", DataCentre: "d0", Slots: 1, State: state, StartedAtMS: 1, Sequence: 1}
}

func startAll(t *testing.T, size int) *cluster {
	c := newCluster(t, size)
	for n := range size {
		c.start(n, true)
	}
	return c
}

// startTolerant starts members of which as many may lose their disks at once.
func startTolerant(t *testing.T, size, faultTolerance int) *cluster {
	c := newCluster(t, size)
	for n := range size {
		c.all[n].FaultTolerance = faultTolerance
		c.start(n, true)
	}
	return c
}

// Guards against members that do not find each other, against a second group
// that forms after the loss of a disk, and against losing a document or target
// when all processes restart and one disk is lost.
func TestGroupFormsOnceAndKeepsState(t *testing.T) {
	c := startAll(t, 5)
	c.mustPut(4, 7)
	c.mustAnnounce(3, target(fleetstate.Ready))
	for n := range 5 {
		c.mustRead(n, 7)
	}
	for n := range 5 {
		c.stop(n)
	}
	c.all[1].DataFolder = filepath.Join(c.folder, "new disk")
	for n := range 5 {
		c.start(n, false)
	}
	for n := range 5 {
		c.mustRead(n, 7)
	}
	c.mustPut(1, 9)
	c.mustRead(0, 9)
}

// Guards against a document that is acknowledged by two of three seeds, while the third
// is late: once both are killed, one of them and the late seed are no majority. The
// settings state no tolerance, as those of earlier releases.
func TestFirstDocumentWaitsForLateSeed(t *testing.T) {
	c := newCluster(t, 3)
	c.start(0, true)
	c.start(2, true)
	started := make(chan struct{})
	time.AfterFunc(4*fleetcontrol.ElectionTimeout, func() {
		defer close(started)
		c.start(1, true)
	})
	c.mustPut(0, 3)
	c.kill(0)
	c.kill(2)
	<-started
	c.start(0, false)
	c.mustPut(0, 8)
}

// Guards against accepting or reading a document without a majority.
func TestMinorityRefusesDocuments(t *testing.T) {
	c := startAll(t, 5)
	c.mustPut(0, 3)
	require.Eventually(t, func() bool { return len(c.votingSlots()) == 5 }, stepTimeout, 20*time.Millisecond)
	var killed sync.WaitGroup
	for _, n := range []int{0, 1, 2} {
		killed.Go(func() { c.kill(n) })
	}
	killed.Wait()
	require.Eventually(t, func() bool { return !c.member(3).InContact() && !c.member(4).InContact() }, stepTimeout, 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := c.member(3).PutDocument(ctx, document(4), nil)
	require.ErrorIs(t, err, fleetcontrol.ErrUnavailable)
	_, err = c.member(4).Document(ctx)
	require.Error(t, err)
}

// Guards against a group that counts members which were stopped as planned: those
// that run are too few of the old group, but enough of what is left.
func TestPlannedStopsInSeries(t *testing.T) {
	c := startTolerant(t, 5, 1)
	c.mustPut(0, 3)
	require.Eventually(t, func() bool { return len(c.votingSlots()) == 5 }, stepTimeout, 20*time.Millisecond)
	for n, version := range []uint64{4, 5, 6} {
		c.stop(n)
		c.mustPut(3, version)
	}
	c.mustRead(4, 6)
}

// Guards against a group that shrinks by planned stops until the loss of two disks, which
// it is to bear, ends it with an accepted document. With two of five members it accepts
// nothing, since both could lose their disks.
func TestDisksLostAfterPlannedStops(t *testing.T) {
	c := startTolerant(t, 5, 2)
	c.mustPut(0, 3)
	for n := range 3 {
		c.stop(n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := c.member(3).PutDocument(ctx, document(4), nil)
	require.ErrorIs(t, err, fleetcontrol.ErrUnavailable)
	for _, n := range []int{3, 4} {
		c.kill(n)
		c.all[n].DataFolder = filepath.Join(c.folder, fmt.Sprint("new disk ", n))
	}
	for n := range 5 {
		c.start(n, false)
	}
	c.mustRead(0, 3)
	c.mustRead(4, 3)
}

// Guards against a control plane that ends for good when a member is lost some
// time after another one was replaced as planned, its successor first.
func TestLossAfterPlannedReplacement(t *testing.T) {
	c := newCluster(t, 5)
	for n := range 3 {
		c.start(n, true)
	}
	c.mustPut(0, 3)
	c.start(3, false)
	require.Eventually(t, func() bool { return len(c.votingSlots()) == 4 }, stepTimeout, 20*time.Millisecond)
	c.stop(0)
	c.kill(1)
	c.start(4, false)
	require.Eventually(t, func() bool { return len(c.member(4).Slots()) == 3 }, stepTimeout, 20*time.Millisecond)
	c.mustPut(4, 5)
	c.mustRead(2, 5)
}

// votingSlots returns the voting slots that member 3 knows.
func (c *cluster) votingSlots() []string { return c.member(3).Slots() }

// Guards against an entry that misses a change, whose view goes back to a lower
// index or that keeps polling a stopped member, and against a stopped entry
// that stays in the state as serving.
func TestFollowerTracksState(t *testing.T) {
	c := startAll(t, 3)
	c.mustPut(0, 3)
	views := make(chan *fleetview.View, 1024)
	f := fleetview.NewFollower(fleetview.Options{
		Self:  fleetstate.Entry{Name: "e", Region: "r1", DataCentre: "d1", CallerAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2", Incarnation: 5, State: fleetstate.Serving},
		Seeds: c.all[0].Seeds, Peers: peerhttp.New(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		OnChange: func(v *fleetview.View) { views <- v },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	require.Eventually(t, func() bool { return f.View().Version() == 3 && f.Fresh() }, stepTimeout, 10*time.Millisecond)
	c.mustAnnounce(1, target(fleetstate.Ready))
	require.Eventually(t, func() bool { return len(f.View().UsableTargets("s")) == 1 }, stepTimeout, 10*time.Millisecond)
	c.mustAnnounce(2, target(fleetstate.Draining))
	require.Eventually(t, func() bool { return len(f.View().UsableTargets("s")) == 0 }, stepTimeout, 10*time.Millisecond)
	c.stop(1) // the member in its data centre
	c.mustPut(0, 8)
	require.Eventually(t, func() bool { return f.View().Version() == 8 && len(f.View().Serving("r1")) == 1 }, stepTimeout, 10*time.Millisecond)
	f.SetState(fleetstate.Leaving)
	require.Eventually(t, func() bool { return len(f.View().Serving("r1")) == 0 }, stepTimeout, 10*time.Millisecond)
	cancel()
	<-done
	require.Eventually(t, func() bool { return c.entryState() == fleetstate.Lost }, stepTimeout, 10*time.Millisecond)
	close(views)
	index := uint64(0)
	for v := range views {
		assert.Greater(t, v.Index, index)
		index = v.Index
	}
}

// Guards against a proof of a recent copy that is missing while the group has a majority,
// or that is renewed while it has none.
func TestProofNeedsMajority(t *testing.T) {
	const limit = 3 * time.Second
	c := startAll(t, 3)
	c.mustPut(0, 3)
	f := fleetview.NewFollower(fleetview.Options{
		Self:  fleetstate.Entry{Name: "e", Region: "r1", DataCentre: "d1", CallerAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2", Incarnation: 5, State: fleetstate.Serving},
		Seeds: c.all[0].Seeds, Peers: peerhttp.NewCompressed(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		Boot: sys.RealBootClock{}, RevocationLimit: limit, OnChange: func(*fleetview.View) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { return f.ConfirmedWithin(limit) && f.View().Version() == 3 }, stepTimeout, 10*time.Millisecond)
	c.kill(0)
	c.kill(2)
	require.Eventually(t, func() bool { return !f.ConfirmedWithin(limit) }, stepTimeout, 10*time.Millisecond)
	c.start(0, false)
	require.Eventually(t, func() bool { return f.ConfirmedWithin(limit) }, stepTimeout, 10*time.Millisecond)
}

// Guards against an entry that cannot read a large copy of the state, which is
// sent compressed.
func TestLargeCopyIsCompressed(t *testing.T) {
	c := startAll(t, 3)
	c.mustPut(0, 3)
	const count = 60
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			announced := target(fleetstate.Ready)
			announced.ID, announced.Address = fmt.Sprint("i-", n), fmt.Sprint("10.0.1.1:", n+1)
			c.mustAnnounce(n%3, announced)
		})
	}
	wg.Wait()
	f := fleetview.NewFollower(fleetview.Options{
		Self:  fleetstate.Entry{Name: "e", Region: "r1", DataCentre: "d1", CallerAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2", Incarnation: 5, State: fleetstate.Serving},
		Seeds: c.all[0].Seeds, Peers: peerhttp.NewCompressed(nil), Clock: sys.RealClock{}, Log: zap.NewNop(),
		OnChange: func(*fleetview.View) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { return len(f.View().UsableTargets("s")) == count && f.Fresh() }, stepTimeout, 10*time.Millisecond)
}

func (c *cluster) entryState() fleetstate.EntryState {
	entry, _ := c.member(0).Entry("e")
	return entry.State
}

// Guards against accepting an announcement for a service that the routing
// document does not list.
func TestUnknownServiceIsRefused(t *testing.T) {
	c := startAll(t, 3)
	c.mustPut(0, 3)
	other := target(fleetstate.Ready)
	other.Service = "nobody's"
	c.mustRead(0, 3)
	assert.ErrorIs(t, c.member(0).Announce(context.Background(), other), fleetcontrol.ErrUnknownService)
}
