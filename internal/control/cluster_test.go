package control

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	clusterSize          = 3
	clusterSnapshotEvery = 50
	clusterTimeout       = 30 * time.Second
	clusterPollInterval  = 20 * time.Millisecond
)

// testMember is a control member that can be stopped and restarted with the
// synced content of its disk.
type testMember struct {
	name         string
	disk         *fakedisk.Dir
	peer         *httptest.Server
	mu           sync.Mutex
	group        *consensus.Group // nil while stopped
	stateMachine *plan.StateMachine
	api          http.Handler
	contact      *ContactMonitor
}

func (m *testMember) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	group := m.group
	m.mu.Unlock()
	if group == nil {
		panic(http.ErrAbortHandler)
	}
	group.Handler().ServeHTTP(w, r)
}

type cluster struct {
	t       *testing.T
	members []*testMember
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t}
	for n := range clusterSize {
		m := &testMember{name: fmt.Sprintf("c%d", n+1), disk: fakedisk.New()}
		m.peer = httptest.NewServer(m)
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
			m.peer.CloseClientConnections()
			m.peer.Close()
		}
	})
	return c
}

func (c *cluster) settings(name string) *Settings {
	s := DefaultSettings()
	s.Name = name
	for _, m := range c.members {
		s.Members = append(s.Members, MemberSettings{Name: m.name, PeerAddress: m.peer.Listener.Addr().String()})
	}
	return s
}

func (c *cluster) start(m *testMember) {
	c.t.Helper()
	stateMachine := plan.NewStateMachine()
	group, err := StartGroup(GroupOptions{
		Settings: c.settings(m.name), Storage: consensus.DiskStorage(m.disk), StateMachine: stateMachine, FleetToken: "fleet",
		Clock: sys.RealClock{}, Log: zap.NewNop(), SnapshotEvery: clusterSnapshotEvery,
	})
	require.NoError(c.t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.group, m.stateMachine = group, stateMachine
	m.contact = NewContactMonitor(NewGroup(group), sys.RealClock{})
	m.api = newTestHandler(c.t, NewGroup(group), stateMachine)
}

// stop ends the member; writes that were not synced are lost.
func (c *cluster) stop(m *testMember) {
	m.mu.Lock()
	group := m.group
	m.group = nil
	m.mu.Unlock()
	if group == nil {
		return
	}
	group.Stop()
	m.disk.Crash(rand.New(rand.NewPCG(1, 2)))
}

// leader waits for a leader that all running members agree on.
func (c *cluster) leader() *testMember {
	c.t.Helper()
	var found *testMember
	require.Eventually(c.t, func() bool {
		found = nil
		for _, m := range c.members {
			if m.group != nil && m.group.Status().Role == consensus.RoleLeader {
				found = m
			}
		}
		if found == nil {
			return false
		}
		for _, m := range c.members {
			if m.group != nil && m.group.Status().Leader.Slot != found.name {
				return false
			}
		}
		return true
	}, clusterTimeout, clusterPollInterval)
	return found
}

// others returns the members other than m.
func (c *cluster) others(m *testMember) []*testMember {
	var others []*testMember
	for _, other := range c.members {
		if other != m {
			others = append(others, other)
		}
	}
	return others
}

func (c *cluster) submit(m *testMember, body string, out any) int {
	c.t.Helper()
	return call(c.t, m.api, "POST", "/v1/changes", body, out)
}

// mustSubmit submits a change of one plan and requires that it is accepted.
func (c *cluster) mustSubmit(m *testMember, id string, base uint64, n int) plan.Result {
	c.t.Helper()
	var result plan.Result
	require.Equal(c.t, http.StatusOK, c.submit(m, changeBody(id, base, testPlan(n)), &result))
	require.Equal(c.t, base+1, result.Version)
	return result
}

// Guards against a follower rejecting a request that only the leader can carry
// out, and against a read through another member missing an accepted change.
func TestEachMemberServesEveryRequest(t *testing.T) {
	c := newCluster(t)
	c.leader()
	version := uint64(0)
	for n, m := range c.members {
		result := c.mustSubmit(m, fmt.Sprintf("by-%s", m.name), version, n)
		version = result.Version
		for _, reader := range c.members {
			var detail controlapi.PlanDetail
			require.Equal(t, http.StatusOK, call(t, reader.api, "GET", "/v1/plans/"+testPlan(n).ID, "", &detail))
			assert.Equal(t, version, detail.Version)
		}
	}
	var status controlapi.Status
	require.Equal(t, http.StatusOK, call(t, c.members[0].api, "GET", "/v1/status", "", &status))
	assert.Len(t, status.Members, clusterSize)
	assert.Equal(t, version, status.CatalogVersion)
}

// Guards against accepting two changes with the same base version when operators
// send them through different members.
func TestOneOfManyEqualBaseVersionsIsAccepted(t *testing.T) {
	c := newCluster(t)
	c.leader()
	const operators = 12
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for n := range operators {
		wg.Go(func() {
			codes[n] = c.submit(c.members[n%clusterSize], changeBody(fmt.Sprintf("operator-%d", n), 0, testPlan(n)), nil)
		})
	}
	wg.Wait()
	count := map[int]int{}
	for _, code := range codes {
		count[code]++
	}
	assert.Equal(t, map[int]int{http.StatusOK: 1, http.StatusConflict: operators - 1}, count)
	assert.Equal(t, uint64(1), c.leader().stateMachine.Current().Version())
}

// Guards against a resent change being applied again, or returning another
// result, after a leader change, after snapshots, and after all members lost
// power.
func TestResendAfterLeaderChangeAndRestart(t *testing.T) {
	c := newCluster(t)
	first := c.leader()
	const changes = 3 * clusterSnapshotEvery
	for n := range changes {
		c.mustSubmit(first, fmt.Sprintf("change-%d", n), uint64(n), n)
	}
	resend := func(m *testMember) {
		t.Helper()
		for _, n := range []int{0, changes / 2, changes - 1} {
			var result plan.Result
			require.Equal(t, http.StatusOK, c.submit(m, changeBody(fmt.Sprintf("change-%d", n), uint64(n), testPlan(n)), &result))
			assert.Equal(t, plan.Result{Outcome: plan.Accepted, Version: uint64(n + 1)}, result)
		}
	}
	c.stop(first)
	second := c.leader()
	require.NotEqual(t, first.name, second.name)
	resend(second)
	for _, m := range c.others(first) {
		c.stop(m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	c.leader()
	for _, m := range c.members {
		resend(m)
		assert.Equal(t, uint64(changes), m.stateMachine.Current().Version())
	}
}

// Guards against a member missing changes made while it was down, whether it
// receives them from the log or as a snapshot, and against losing them when a
// second member stops right after.
func TestMemberCatchesUpAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t)
	leader := c.leader()
	down := c.others(leader)[0]
	c.stop(down)
	const changes = 300
	for n := range changes {
		c.mustSubmit(leader, fmt.Sprintf("change-%d", n), uint64(n), n)
	}
	c.start(down)
	require.Eventually(t, func() bool { return down.stateMachine.Current().Version() == changes }, clusterTimeout, clusterPollInterval)
	assert.Equal(t, leader.stateMachine.Current().Digest(), down.stateMachine.Current().Digest())
	c.stop(c.others(leader)[1])
	c.leader()
	c.mustSubmit(down, "after", changes, changes)
}

// Guards against a change reported as not run although it is in the log, and
// against applying it twice when it is resent.
func TestResendResolvesCommitUnknown(t *testing.T) {
	c := newCluster(t)
	leader := c.leader()
	c.mustSubmit(leader, "before", 0, 0)
	for _, m := range c.others(leader) {
		c.stop(m)
	}
	body := changeBody("uncertain", 1, testPlan(1))
	var apiErr controlapi.Error
	status := c.submit(leader, body, &apiErr)
	assert.Equal(t, http.StatusGatewayTimeout, status)
	assert.Equal(t, fault.CommitUnknown, apiErr.Kind)
	assert.Equal(t, fault.Unknown, apiErr.Effect)
	for _, m := range c.others(leader) {
		c.start(m)
	}
	c.leader()
	for _, m := range c.members {
		var result plan.Result
		require.Equal(t, http.StatusOK, c.submit(m, body, &result))
		assert.Equal(t, plan.Result{Outcome: plan.Accepted, Version: 2}, result)
	}
}

// Guards against a member without a majority presenting stale state as current,
// to operators or to the entries that follow it.
func TestMemberWithoutMajorityServesNoCurrentState(t *testing.T) {
	c := newCluster(t)
	leader := c.leader()
	c.mustSubmit(leader, "before", 0, 0)
	leader.contact.confirm(t.Context())
	require.True(t, leader.contact.InContact())
	for _, m := range c.others(leader) {
		c.stop(m)
	}
	require.Eventually(t, func() bool {
		leader.contact.confirm(t.Context())
		return !leader.contact.InContact()
	}, clusterTimeout, clusterPollInterval)
	var apiErr controlapi.Error
	assert.Equal(t, http.StatusServiceUnavailable, call(t, leader.api, "GET", "/v1/plans", "", &apiErr))
	assert.Equal(t, fault.ControlUnavailable, apiErr.Kind)
	assert.Equal(t, fault.NotRun, apiErr.Effect)
}
