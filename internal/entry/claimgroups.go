package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

const (
	consensusPath  = "/peer/v1/consensus/"
	claimsPath     = "/peer/v1/claims/"
	claimReadyPoll = 50 * time.Millisecond
)

// ClaimOptions are the parts of Claims.
type ClaimOptions struct {
	Groups []claims.GroupSettings
	Self   membership.Member
	Token  string // fleet token
	Limits claims.Limits
	Clock  sys.Clock
	Pool   *workerpool.Pool
	Log    *zap.Logger
}

// Claims is the claims client of an entry and its members of claim groups.
type Claims struct {
	Client   claims.Client
	Leases   claims.Leases
	Handlers map[string]http.Handler // of the peer port, by pattern; the fleet token is checked

	groups []*consensus.Group
	ready  chan struct{}
	cancel context.CancelFunc
}

// StartClaims starts the group members of this entry. A fleet without claim
// groups has one entry, which keeps claims in its memory.
func StartClaims(o ClaimOptions) (*Claims, error) {
	c := &Claims{Handlers: map[string]http.Handler{}, ready: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if len(o.Groups) == 0 {
		memory := claims.NewMemory(o.Clock, o.Limits)
		c.Client, c.Leases = memory, memory
		close(c.ready)
		return c, nil
	}
	server := claims.NewServer()
	for _, settings := range o.Groups {
		if !settings.Has(o.Self.Name) {
			continue
		}
		if err := c.startGroup(o, settings, server); err != nil {
			c.Stop()
			return nil, trace.Wrap(err)
		}
	}
	c.Handlers["POST "+claimsPath] = requireToken(o.Token, server.Handler())
	client := claims.NewClient(claims.ClientConfig{
		Groups:    o.Groups,
		Self:      o.Self.Name,
		Local:     server,
		Transport: tokenTransport{token: o.Token, next: NewTransport()},
		Clock:     o.Clock,
		Pool:      o.Pool,
		Limits:    o.Limits,
	})
	c.Client, c.Leases = client, client
	go c.watchReady(ctx, o.Clock)
	return c, nil
}

func (c *Claims) startGroup(o ClaimOptions, settings claims.GroupSettings, server *claims.Server) error {
	table := claims.NewTable(o.Limits)
	group, err := consensus.Start(consensus.Config{
		Group: settings.Name,
		Self:  o.Self.Name,
		Members: lo.Map(settings.Members, func(m claims.MemberSettings, _ int) consensus.Member {
			return consensus.Member{Slot: m.Name, Address: m.Address}
		}),
		Storage:      consensus.MemoryStorage(),
		StateMachine: table,
		Clock:        o.Clock,
		Logger:       o.Log,
		Token:        o.Token,
		PathPrefix:   consensusPath + settings.Name,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.groups = append(c.groups, group)
	server.Add(settings.Name, claims.NewMember(table, claimGroup{group}, o.Clock, incarnationName(o.Self)))
	c.Handlers[consensusPath+settings.Name+"/"] = group.Handler()
	return nil
}

// watchReady closes ready once each group counts this member among its voters.
func (c *Claims) watchReady(ctx context.Context, clock sys.Clock) {
	for !lo.EveryBy(c.groups, votes) {
		if clock.Sleep(ctx, claimReadyPoll) != nil {
			return
		}
	}
	close(c.ready)
}

func votes(g *consensus.Group) bool {
	status := g.Status()
	return lo.SomeBy(status.Members, func(m consensus.MemberStatus) bool {
		return m.Slot == status.Self.Slot && m.Incarnation == status.Self.Incarnation
	})
}

// Ready is closed once each member of this entry holds its group's state.
func (c *Claims) Ready() <-chan struct{} { return c.ready }

// Stop ends the members.
func (c *Claims) Stop() {
	c.cancel()
	for _, g := range c.groups {
		g.Stop()
	}
}

// claimGroup is a consensus group as claims need it.
type claimGroup struct{ *consensus.Group }

// Leader returns the name of the leading member and whether it is this one.
func (g claimGroup) Leader() (name string, self bool) {
	status := g.Status()
	return status.Leader.Slot, status.Leader != (consensus.MemberID{}) && status.Leader == status.Self
}

// tokenTransport adds the fleet token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(r)
}
