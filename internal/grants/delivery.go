package grants

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	deliveryTimeout    = time.Second
	firstDeliveryDelay = 200 * time.Millisecond // before a call is sent again; doubled each time
	maxDeliveryDelay   = time.Second
)

// releaseRemote reports the outcome to the owner that made the grant, and to this
// entry's own pool, which is the fallback when no owner responds.
func (b *Broker) releaseRemote(owner fleetstate.Entry, group Group, r pool.Request, g pool.Grant, o pool.Outcome) {
	if o.Kind != pool.Unsent {
		b.pool(group).Observe(g.Target, r, o)
	}
	go b.deliver(owner, ReleasePath, ReleaseRequest{Group: group, LeaseID: g.LeaseID, Outcome: o}, r.LeaseTime())
}

// withdraw ends what a call for a grant may have led to at the owner. The call
// failed with err, so its result is unknown.
func (b *Broker) withdraw(owner fleetstate.Entry, group Group, r pool.Request, err error) {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return // the call was not sent
	}
	go b.deliver(owner, WithdrawPath, WithdrawRequest{Group: group, Sender: r.Sender, Call: r.Call}, r.LeaseTime())
}

// deliver tells the owner about the end of a grant. It repeats the call until the
// owner has responded or has been restarted, or maxTime has passed, after which the
// grant has expired: until then the owner keeps the slot for it.
func (b *Broker) deliver(owner fleetstate.Entry, path string, call any, maxTime time.Duration) {
	end := b.options.Clock.Now().Add(maxTime)
	for delay := firstDeliveryDelay; ; delay = min(2*delay, maxDeliveryDelay) {
		err := b.deliverOnce(owner, path, call)
		var responded *peerhttp.StatusError
		if err == nil || errors.As(err, &responded) {
			return
		}
		if b.options.Clock.Now().Add(delay).After(end) || !b.isRunning(owner) {
			b.options.Log.Debug("owner not told of the end of a grant; the grant expires", zap.String("owner", owner.Name), zap.String("path", path), zap.Error(err))
			return
		}
		_ = b.options.Clock.Sleep(context.Background(), delay)
	}
}

func (b *Broker) deliverOnce(owner fleetstate.Entry, path string, call any) error {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	return b.options.Peers.Post(ctx, traffic.Release, owner.PeerAddress, path, call, nil)
}

// isRunning reports whether the incarnation of the entry may still run. An entry
// that is lost may be paused.
func (b *Broker) isRunning(entry fleetstate.Entry) bool {
	return lo.ContainsBy(b.options.View().Entries, func(e fleetstate.Entry) bool {
		return e.Name == entry.Name && e.Incarnation == entry.Incarnation
	})
}
