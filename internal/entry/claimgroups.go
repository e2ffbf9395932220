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

	members *claims.Members // nil without claim groups
	ready   chan struct{}
	cancel  context.CancelFunc
}

// StartClaims starts the group members of this entry. A fleet without claim
// groups has one entry, which keeps claims in its memory.
func StartClaims(o ClaimOptions) (*Claims, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{Handlers: map[string]http.Handler{}, ready: make(chan struct{}), cancel: cancel}
	if len(o.Groups) == 0 {
		memory := claims.NewMemory(o.Clock, o.Limits)
		memory.Fence(o.Clock.Now()) // an earlier run of this entry may have made claims
		c.Client, c.Leases = memory, memory
		close(c.ready)
		return c, nil
	}
	members, err := claims.StartMembers(claims.MembersConfig{
		Groups: o.Groups, Self: o.Self.Name, Incarnation: o.Self.Incarnation,
		Limits: o.Limits, Clock: o.Clock, Log: o.Log, Token: o.Token,
	})
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	c.members = members
	c.Handlers[claimsPath] = requireToken(o.Token, members.Handler())
	client := claims.NewClient(claims.ClientConfig{
		Groups:    o.Groups,
		Self:      o.Self.Name,
		Local:     members.Server(),
		Transport: tokenTransport{token: o.Token, next: NewTransport()},
		Clock:     o.Clock,
		Pool:      o.Pool,
		Limits:    o.Limits,
	})
	c.Client, c.Leases = client, client
	go c.watchReady(ctx, o.Clock)
	return c, nil
}

// watchReady closes ready once each group counts this member among its voters.
func (c *Claims) watchReady(ctx context.Context, clock sys.Clock) {
	for !lo.EveryBy(c.members.Status(), votes) {
		if clock.Sleep(ctx, claimReadyPoll) != nil {
			return
		}
	}
	close(c.ready)
}

func votes(status consensus.Status) bool {
	return lo.SomeBy(status.Members, func(m consensus.MemberStatus) bool {
		return m.Slot == status.Self.Slot && m.Incarnation == status.Self.Incarnation
	})
}

// Ready is closed once each member of this entry holds its group's state.
func (c *Claims) Ready() <-chan struct{} { return c.ready }

// TransferLeadership hands over the groups that a member of this entry leads.
func (c *Claims) TransferLeadership(ctx context.Context) error {
	if c.members == nil {
		return nil
	}
	return c.members.TransferLeadership(ctx)
}

// Stop ends the members.
func (c *Claims) Stop() {
	c.cancel()
	if c.members != nil {
		c.members.Stop()
	}
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
