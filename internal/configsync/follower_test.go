package configsync

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	testToken     = "fleet"
	operatorToken = "operator"
	waitLimit     = 20 * time.Second
	pollStep      = 10 * time.Millisecond
)

// controlServer is the only control member of its group.
type controlServer struct {
	*httptest.Server
	stateMachine *plan.StateMachine
	noContact    atomic.Bool // reports that it is not in contact with a leader
}

func (s *controlServer) contact() bool { return !s.noContact.Load() }

func newControlServer(t *testing.T) *controlServer {
	t.Helper()
	stateMachine := plan.NewStateMachine()
	group := startGroup(t, stateMachine)
	submitter := control.NewSubmitter(group, stateMachine, sys.RealClock{}, zap.NewNop())
	done := make(chan struct{})
	s := &controlServer{stateMachine: stateMachine}
	handler := control.NewHandler(control.Options{
		Group: group, Catalog: stateMachine, Submitter: submitter, OperatorToken: operatorToken, InContact: s.contact,
		FleetToken: testToken, Clock: sys.RealClock{}, Done: done,
	})
	s.Server = httptest.NewServer(handler)
	t.Cleanup(func() {
		close(done)
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// addPlan submits a change that adds plan n, and returns the new version.
func (s *controlServer) addPlan(t *testing.T, n int) uint64 {
	t.Helper()
	ch := plan.Change{
		ID: fmt.Sprintf("change-%d", n), BaseVersion: s.stateMachine.Current().Version(),
		SetPlans: []plan.Plan{{ID: fmt.Sprintf("plan-%d", n), Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", n)}}},
	}
	request, err := http.NewRequest(http.MethodPost, s.URL+"/v1/changes", bytes.NewReader(ch.Encode()))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var result plan.Result
	require.NoError(t, json.NewDecoder(response.Body).Decode(&result))
	return result.Version
}

func (s *controlServer) address() string { return s.Listener.Addr().String() }

func runFollower(t *testing.T, options Options) *Follower {
	t.Helper()
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	options.HTTP = &http.Client{Transport: &http.Transport{}}
	options.FleetToken = testToken
	options.Clock = sys.RealClock{}
	options.Log = zap.NewNop()
	f := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return f
}

func waitForVersion(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		current := f.Current()
		return current != nil && current.Version() >= version
	}, waitLimit, pollStep)
}

// Guards against an accepted change that does not reach an entry.
func TestFollowerReceivesAnAcceptedChange(t *testing.T) {
	server := newControlServer(t)
	f := runFollower(t, Options{Name: "e1", DataCentre: "a1", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	waitForVersion(t, f, 0)
	version := server.addPlan(t, 1)
	waitForVersion(t, f, version)
	_, found := f.Current().Plan("plan-1")
	assert.True(t, found)
	assert.Equal(t, Fresh, f.Freshness())
}

// peerList is the membership that a test sets.
type peerList struct {
	mu    sync.Mutex
	peers []Peer
}

func (f *peerList) list() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.peers)
	for i := range list {
		list[i].LastContact = time.Now()
	}
	return list
}

func (f *peerList) set(peers ...Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

// servePeer serves the follower's copy and returns the peer to poll it from.
func servePeer(t *testing.T, name, dataCentre string, f *Follower) Peer {
	t.Helper()
	done := make(chan struct{})
	server := httptest.NewServer(f.PeerHandler(done))
	t.Cleanup(func() {
		close(done)
		server.CloseClientConnections()
		server.Close()
	})
	return Peer{Member: membership.Member{
		Name: name, DataCentre: dataCentre, PeerAddress: server.Listener.Addr().String(),
		State: membership.Alive, CatalogVersion: f.Version(),
	}}
}

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	return address
}

// Guards against an entry that cannot start while control is unavailable for
// hours, and against a copy that stays behind the versions that peers hold.
func TestFollowerStartsFromPeersWhileControlIsUnavailable(t *testing.T) {
	server := newControlServer(t)
	first := runFollower(t, Options{Name: "e1", DataCentre: "a", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	waitForVersion(t, first, server.addPlan(t, 1))
	peer := servePeer(t, "e1", "a", first)
	var known peerList
	known.set(peer)
	second := runFollower(t, Options{
		Name: "e2", DataCentre: "b", Peers: known.list,
		Control: []ControlMember{{Name: "c1", Address: closedAddress(t)}},
	})
	waitForVersion(t, second, 1)
	assert.Equal(t, Fresh, second.Freshness())
	waitForVersion(t, first, server.addPlan(t, 2))
	peer.CatalogVersion = 2
	known.set(peer)
	waitForVersion(t, second, 2)
}

// Guards against an entry that starts to serve while it is in contact with less
// than a majority of the data centres.
func TestFollowerWaitsForAMajorityOfDataCentres(t *testing.T) {
	server := newControlServer(t)
	first := runFollower(t, Options{Name: "e1", DataCentre: "a", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	waitForVersion(t, first, server.addPlan(t, 1))
	var known peerList
	known.set(servePeer(t, "e1", "a", first))
	second := runFollower(t, Options{Name: "e2", DataCentre: "b", DataCentres: []string{"a", "b", "c", "d"}, Peers: known.list})
	require.Eventually(t, func() bool { return second.Version() == 1 }, waitLimit, pollStep)
	require.Eventually(t, func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.controlTried
	}, waitLimit, pollStep)
	second.updateFreshness()
	assert.Nil(t, second.Current())
	assert.Equal(t, Isolated, second.Freshness())
	known.set(append(known.list(), Peer{Member: membership.Member{Name: "e3", DataCentre: "c", State: membership.Alive, CatalogVersion: 1}})...)
	waitForVersion(t, second, 1)
}

// Guards against a follower that keeps polling a control member without contact
// to a leader, and against one that counts its responses as contact with control.
func TestFollowerSwitchesFromControlMemberWithoutLeader(t *testing.T) {
	withoutLeader, withLeader := newControlServer(t), newControlServer(t)
	withoutLeader.noContact.Store(true)
	version := withLeader.addPlan(t, 1)
	members := []ControlMember{{Name: "c1", Region: "near", Address: withoutLeader.address()}, {Name: "c2", Region: "far", Address: withLeader.address()}}
	f := runFollower(t, Options{Name: "e1", Region: "near", DataCentre: "a", DataCentres: []string{"a", "b"}, Control: members})
	waitForVersion(t, f, version)
	assert.Equal(t, Fresh, f.Freshness())
	single := runFollower(t, Options{Name: "e2", DataCentre: "a", DataCentres: []string{"a", "b"}, Control: members[:1]})
	require.Eventually(t, func() bool {
		single.mu.Lock()
		defer single.mu.Unlock()
		return single.controlTried
	}, waitLimit, pollStep)
	assert.Nil(t, single.Current())
	assert.Equal(t, Isolated, single.Freshness())
}

// Guards against a follower that waits for a control member that accepts
// connections but never responds, as behind a firewall or NAT device
// that lost their state.
func TestFollowerSwitchesFromSilentControlMember(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	require.NoError(t, err)
	defer listener.Close()
	good := newControlServer(t)
	version := good.addPlan(t, 1)
	f := runFollower(t, Options{Name: "e1", Region: "near", DataCentre: "a", Control: []ControlMember{
		{Name: "c1", Region: "near", Address: listener.Addr().String()}, {Name: "c2", Region: "far", Address: good.address()},
	}})
	waitForVersion(t, f, version)
	waitForVersion(t, f, good.addPlan(t, 2))
}

// Guards against a copy that goes back to a lower version because its source
// lags or was restored from an older state.
func TestFollowerNeverGoesToALowerVersion(t *testing.T) {
	ahead, behind := newControlServer(t), newControlServer(t)
	for n := range 3 {
		ahead.addPlan(t, n)
	}
	behind.addPlan(t, 9)
	f := runFollower(t, Options{Name: "e1", DataCentre: "a", Control: []ControlMember{
		{Name: "c1", Region: "", Address: ahead.address()}, {Name: "c2", Region: "far", Address: behind.address()},
	}})
	waitForVersion(t, f, 3)
	ahead.noContact.Store(true)
	ahead.CloseClientConnections()
	f.mu.Lock()
	f.needFull = true
	f.mu.Unlock()
	refused := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.backoffs[behind.address()].delay > 0
	}
	require.Eventually(t, refused, waitLimit, pollStep)
	assert.Equal(t, uint64(3), f.Version())
	_, found := f.Current().Plan("plan-9")
	assert.False(t, found)
}

// Guards against changes that are lost when a follower is hundreds of versions
// behind, whether it gets a partial or a full delta.
func TestFollowerCatchesUpAfterHundredsOfChanges(t *testing.T) {
	server := newControlServer(t)
	f := runFollower(t, Options{Name: "e1", DataCentre: "a", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	waitForVersion(t, f, server.addPlan(t, 0))
	held := f.replica.Current()
	for n := range 400 {
		ch := plan.Change{ID: fmt.Sprintf("c-%d", n), BaseVersion: uint64(n + 1), SetPlans: []plan.Plan{{ID: fmt.Sprintf("plan-%d", n%150+1), Weight: n + 1, TokenSHA256: []string{fmt.Sprintf("%064x", n+1)}}}}
		server.stateMachine.Apply(uint64(n+2), ch.Encode())
	}
	require.Equal(t, uint64(401), server.stateMachine.Current().Version())
	waitForVersion(t, f, 401)
	assert.Equal(t, server.stateMachine.Current().Records(), f.Current().Records())
	assert.Equal(t, 1, held.PlanCount(), "a snapshot in use must not change")
	late := runFollower(t, Options{Name: "e2", DataCentre: "a", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	waitForVersion(t, late, 401)
	assert.Equal(t, f.Current().Digest(), late.Current().Digest())
}

// Guards against a follower that keeps a wrong copy: after a delta whose digest
// differs it must request a full delta.
func TestFollowerReplacesAWrongCopy(t *testing.T) {
	server, wrong := newControlServer(t), newControlServer(t)
	wrong.addPlan(t, 5)
	server.addPlan(t, 1)
	f := New(Options{Name: "e1", DataCentre: "a", Peers: func() []Peer { return nil }, Clock: sys.RealClock{}, Log: zap.NewNop()})
	require.NoError(t, f.replica.Apply(wrong.stateMachine.Current().FullDelta()))
	server.addPlan(t, 2)
	d := server.stateMachine.DeltaSince(1)
	require.ErrorIs(t, f.applyDelta(&d), plan.ErrDeltaDigest)
	require.True(t, f.needFull)
	full := server.stateMachine.Current().FullDelta()
	require.NoError(t, f.applyDelta(&full))
	assert.False(t, f.needFull)
	assert.Equal(t, server.stateMachine.Current().Digest(), f.replica.Current().Digest())
}

// startGroup starts a consensus group of one member.
func startGroup(t *testing.T, stateMachine *plan.StateMachine) control.Group {
	t.Helper()
	settings := control.DefaultSettings()
	settings.Name = "c1"
	settings.Members = []control.MemberSettings{{Name: "c1"}}
	group, err := control.StartGroup(control.GroupOptions{
		Settings: settings, Storage: consensus.DiskStorage(fakedisk.New()), StateMachine: stateMachine, Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(group.Stop)
	return control.NewGroup(group)
}
