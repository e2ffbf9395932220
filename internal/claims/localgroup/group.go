// Package localgroup runs the members of one claim group in this process, for
// tests and benchmarks. The members listen on loopback ports chosen by the kernel.
package localgroup

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

// Region is the home region of the group.
const Region = "r"

// The time limits are short, so that a group recovers within a second.
const (
	heartbeatInterval = 20 * time.Millisecond
	electionTimeout   = 200 * time.Millisecond
	learnerTimeout    = time.Second
	pollInterval      = 5 * time.Millisecond
)

// Group is a claim group. The server of a stopped member closes each connection
// without a response.
type Group struct {
	limits        claims.Limits
	snapshotEvery int // commands
	settings      claims.GroupSettings
	servers       []*httpserver.Server
	pool          *workerpool.Pool

	mu          sync.Mutex
	members     []*claims.Members // by index; nil if stopped
	incarnation uint64
}

// Start starts a group with the given number of members. snapshotEvery is that of
// claims.MembersConfig.
func Start(size int, limits claims.Limits, snapshotEvery int) (*Group, error) {
	g := &Group{
		limits:        limits,
		snapshotEvery: snapshotEvery,
		settings:      claims.GroupSettings{Name: "g", Region: Region},
		pool:          workerpool.New(1, 8),
		members:       make([]*claims.Members, size),
	}
	for n := range size {
		serve := func(w http.ResponseWriter, r *http.Request) { g.serve(n, w, r) }
		server, err := httpserver.Listen("127.0.0.1:0", http.HandlerFunc(serve))
		if err != nil {
			g.Close()
			return nil, err
		}
		server.Start()
		g.servers = append(g.servers, server)
		member := claims.MemberSettings{Name: fmt.Sprintf("m%d", n), Address: server.Address()}
		g.settings.Members = append(g.settings.Members, member)
	}
	for n := range size {
		if err := g.Restart(n); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// Close stops the members, their servers and the worker pool.
func (g *Group) Close() {
	g.pool.Stop()
	for n := range g.members {
		g.Stop(n)
	}
	for _, server := range g.servers {
		_ = server.Close()
	}
}

func (g *Group) member(n int) *claims.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[n]
}

func (g *Group) serve(n int, w http.ResponseWriter, r *http.Request) {
	m := g.member(n)
	if m == nil {
		panic(http.ErrAbortHandler)
	}
	m.Handler().ServeHTTP(w, r)
}

// TransferLeadership transfers the leadership of the group if member n is the
// leader.
func (g *Group) TransferLeadership(ctx context.Context, n int) error {
	return g.member(n).TransferLeadership(ctx)
}

// Status returns the consensus status of the running member n.
func (g *Group) Status(n int) consensus.Status { return g.member(n).Status()[0] }

// Stop stops members, which lose their state.
func (g *Group) Stop(indexes ...int) {
	for _, n := range indexes {
		g.mu.Lock()
		m := g.members[n]
		g.members[n] = nil
		g.mu.Unlock()
		if m != nil {
			m.Stop()
		}
	}
}

// Restart stops members and starts them again without state.
func (g *Group) Restart(indexes ...int) error {
	g.Stop(indexes...)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range indexes {
		g.incarnation++
		m, err := claims.StartMembers(claims.MembersConfig{
			Groups:            []claims.GroupSettings{g.settings},
			Self:              g.settings.Members[n].Name,
			Incarnation:       g.incarnation,
			Limits:            g.limits,
			Clock:             sys.RealClock{},
			SnapshotEvery:     g.snapshotEvery,
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: heartbeatInterval,
			LearnerTimeout:    learnerTimeout,
		})
		if err != nil {
			return err
		}
		g.members[n] = m
	}
	return nil
}

// Await waits until all members are voters of one epoch and until keys that are
// created from then on are newer than the fence.
func (g *Group) Await(ctx context.Context) error {
	clock := sys.RealClock{}
	for !g.allVoting() {
		if err := clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return clock.Sleep(ctx, 2*g.limits.ClockError+pollInterval)
}

func (g *Group) allVoting() bool {
	var statuses []consensus.Status
	for n := range g.members {
		m := g.member(n)
		if m == nil {
			return false
		}
		statuses = append(statuses, m.Status()[0])
	}
	return voteTogether(statuses)
}

// voteTogether reports whether all members are voters of the same epoch. A member
// may still follow an epoch that another one has replaced; the group counts its
// slot as vacant then.
func voteTogether(statuses []consensus.Status) bool {
	for _, s := range statuses {
		votes := s.Role == consensus.RoleLeader || s.Role == consensus.RoleFollower
		if !votes || s.Epoch != statuses[0].Epoch {
			return false
		}
	}
	return true
}

// Client returns the client of an entry that is not a member of the group.
func (g *Group) Client(transport http.RoundTripper) *claims.GroupClient {
	return claims.NewClient(claims.ClientConfig{
		Groups:    []claims.GroupSettings{g.settings},
		Self:      "outside",
		Transport: transport,
		Clock:     sys.RealClock{},
		Workers:   g.pool,
		Limits:    g.limits,
	})
}
