package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

// realGroup is a claim group of five members over consensus.
type realGroup struct {
	t      *testing.T
	limits claims.Limits
	list   claims.GroupSettings

	mu          sync.Mutex
	members     [5]*claims.Members
	incarnation uint64
}

func newRealGroup(t *testing.T) *realGroup {
	g := &realGroup{t: t, limits: claims.DefaultLimits()}
	g.limits.ClockError = 20 * time.Millisecond
	g.list = claims.GroupSettings{Name: "g", Region: "r"}
	for n := range g.members {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			m := g.member(n)
			if m == nil {
				panic(http.ErrAbortHandler)
			}
			m.Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(web.Close)
		address := strings.TrimPrefix(web.URL, "http://")
		g.list.Members = append(g.list.Members, claims.MemberSettings{Name: fmt.Sprintf("m%d", n), Address: address})
	}
	g.restart(0, 1, 2, 3, 4)
	t.Cleanup(func() { g.stop(0, 1, 2, 3, 4) })
	g.awaitVotes()
	return g
}

func (g *realGroup) member(n int) *claims.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[n]
}

func (g *realGroup) stop(numbers ...int) {
	for _, n := range numbers {
		g.mu.Lock()
		m := g.members[n]
		g.members[n] = nil
		g.mu.Unlock()
		if m != nil {
			m.Stop()
		}
	}
}

func (g *realGroup) restart(numbers ...int) {
	g.stop(numbers...)
	for _, n := range numbers {
		g.mu.Lock()
		g.incarnation++
		m, err := claims.StartMembers(claims.MembersConfig{
			Groups: []claims.GroupSettings{g.list}, Self: g.list.Members[n].Name, Incarnation: g.incarnation,
			Limits: g.limits, Clock: sys.RealClock{}, SnapshotEvery: 100,
			ElectionTimeout: 200 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond,
			LearnerTimeout: time.Second,
		})
		g.members[n] = m
		g.mu.Unlock()
		require.NoError(g.t, err)
	}
}

func (g *realGroup) votes() bool {
	for n := range g.members {
		role := g.member(n).Status()[0].Role
		if role != consensus.RoleLeader && role != consensus.RoleFollower {
			return false
		}
	}
	return true
}

// awaitVotes returns when all members vote and new keys are newer than the
// fence.
func (g *realGroup) awaitVotes() {
	require.Eventually(g.t, g.votes, time.Minute, 5*time.Millisecond)
	time.Sleep(2*g.limits.ClockError + 5*time.Millisecond)
}

func (g *realGroup) client(int) claims.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	pool := workerpool.New(1, 1)
	g.t.Cleanup(func() {
		pool.Stop()
		transport.CloseIdleConnections()
	})
	return claims.NewClient(claims.ClientConfig{
		Groups: []claims.GroupSettings{g.list}, Self: "outside", Transport: transport,
		Clock: sys.RealClock{}, Pool: pool, Limits: g.limits,
	})
}

// Guards against a key that runs twice, and against a not-run answer to a
// request that ran, while members of the claim group restart.
func TestRandomFaultsWithRealGroups(t *testing.T) {
	cases := []struct {
		desc    string
		disturb func(g *realGroup, turn int)
	}{
		{"in turn", func(g *realGroup, turn int) { g.restart(turn % 5) }},
		{"all together", func(g *realGroup, _ int) { g.restart(0, 1, 2, 3, 4) }},
		{"a majority", func(g *realGroup, turn int) { g.restart(turn%5, (turn+1)%5, (turn+2)%5) }},
	}
	for seed, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			g := newRealGroup(t)
			c := newChaos(t, uint64(seed), g.limits, g.client)
			c.slack = 500 * time.Millisecond
			turn := 0
			c.load(60, 10, func() {
				tc.disturb(g, turn)
				turn++
				g.awaitVotes()
			})
		})
	}
}

// Guards against a resend that is called not-run when no member of the group
// answers.
func TestNoMemberAnswers(t *testing.T) {
	u := newUpstream(t, nil)
	g := newRealGroup(t)
	f := newFixture(t, newMemory(), "a/1")
	f.cfg.Claims = g.client(0)
	f.cfg.Limits = g.limits
	s := &fakeScheduler{targets: []string{u.address()}}
	key := newKey(0)
	require.Equal(t, "done", bodyOf(t, f.Run(context.Background(), s, post(key))))
	g.stop(0, 1, 2, 3, 4)
	r := post(key)
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	result := f.Run(context.Background(), s, r)
	require.NotNil(t, result.Err)
	require.Equal(t, fault.Unknown, result.Err.Effect)
	require.Equal(t, 1, u.runsOf(key))
}
