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
	claimsPath             = "/peer/v1/claims/"
	claimReadyPollInterval = 50 * time.Millisecond
)

// ClaimOptions configures StartClaims.
type ClaimOptions struct {
	Groups []claims.GroupSettings
	Self   membership.Member
	Token  string // fleet token
	Limits claims.Limits
	Clock  sys.Clock
	Pool   *workerpool.Pool
	Log    *zap.Logger
}

// Claims holds the claims client of an entry and the claim group members that
// run on it.
type Claims struct {
	Client   claims.Client
	Leases   claims.Leases
	Handlers map[string]http.Handler // handlers of the peer port by pattern; they check the fleet token

	members *claims.Members // nil without claim groups
	ready   chan struct{}
	cancel  context.CancelFunc
}

// StartClaims starts the claim group members of this entry. Without claim groups
// the fleet consists of this entry alone, which keeps the claims in memory.
func StartClaims(o ClaimOptions) (*Claims, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{Handlers: map[string]http.Handler{}, ready: make(chan struct{}), cancel: cancel}
	if len(o.Groups) == 0 {
		memory := claims.NewMemoryClient(o.Clock, o.Limits)
		memory.ResetWithFence(o.Clock.Now()) // an earlier run of this entry may have granted claims
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
		Workers:   o.Pool,
		Limits:    o.Limits,
	})
	c.Client, c.Leases = client, client
	go c.watchReady(ctx, o.Clock)
	return c, nil
}

// watchReady closes ready once this entry is a voter in each of its groups.
func (c *Claims) watchReady(ctx context.Context, clock sys.Clock) {
	for !lo.EveryBy(c.members.Status(), isVoter) {
		if clock.Sleep(ctx, claimReadyPollInterval) != nil {
			return
		}
	}
	close(c.ready)
}

func isVoter(status consensus.Status) bool {
	return lo.SomeBy(status.Members, func(m consensus.MemberStatus) bool {
		return m.Slot == status.Self.Slot && m.Incarnation == status.Self.Incarnation
	})
}

// Ready returns a channel that is closed once each member of this entry is a
// voter of its group and so holds the group's state.
func (c *Claims) Ready() <-chan struct{} { return c.ready }

// TransferLeadership transfers the leadership of the groups that members of
// this entry lead.
func (c *Claims) TransferLeadership(ctx context.Context) error {
	if c.members == nil {
		return nil
	}
	return c.members.TransferLeadership(ctx)
}

// Stop stops the claim group members.
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
