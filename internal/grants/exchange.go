package grants

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// EvidencePath is the path of the call by which owners of other regions hear
// what a pool knows of its targets.
const EvidencePath = "/fleet/v1/evidence"

const (
	evidenceInterval = 2 * time.Second
	evidenceDelay    = 15 * time.Millisecond // joins changes that come together
	evidenceTimeout  = 500 * time.Millisecond
	evidenceAge      = 3 * time.Second // older outcomes are not passed on
)

// EvidenceRequest passes on what the pool of a region knows.
type EvidenceRequest struct {
	Group  Group       `json:"group"`
	Report pool.Report `json:"report"`
}

// Run exchanges evidence with other regions until ctx ends: regularly, and at
// once where an estimate has changed much. A few bytes about suspects are all
// that crosses regions for it.
func (b *Broker) Run(ctx context.Context) {
	ticker := b.options.Clock.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		var only *Group
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		case changed := <-b.notable:
			only = &changed
			_ = b.options.Clock.Sleep(ctx, evidenceDelay)
		}
		for group, p := range b.ownPools() {
			if only == nil || *only == group {
				b.sendEvidence(ctx, group, p.Report(evidenceAge))
			}
		}
	}
}

// ownPools returns the pools of the groups that this entry owns.
func (b *Broker) ownPools() map[Group]*pool.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.PickBy(b.pools, func(group Group, _ *pool.Pool) bool {
		ranked := b.rank(group, b.options.Self.Region)
		return len(ranked) > 0 && ranked[0].Name == b.options.Self.Name
	})
}

func (b *Broker) sendEvidence(ctx context.Context, group Group, report pool.Report) {
	if len(report.Targets) == 0 {
		return
	}
	for _, region := range lo.Uniq(lo.Values(b.options.Regions)) {
		ranked := b.rank(group, region)
		if region != b.options.Self.Region && len(ranked) > 0 {
			go b.sendEvidenceTo(ctx, ranked[0], EvidenceRequest{Group: group, Report: report})
		}
	}
}

func (b *Broker) sendEvidenceTo(ctx context.Context, owner fleetstate.Entry, request EvidenceRequest) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if err := b.options.Peers.Post(ctx, owner.PeerAddress, EvidencePath, request, nil); err != nil {
		b.options.Log.Debug("evidence did not arrive", zap.String("owner", owner.Name), zap.String("group", request.Group.key()), zap.Error(err))
	}
}

func (b *Broker) serveEvidence(w http.ResponseWriter, r *http.Request) {
	var request EvidenceRequest
	if !peerhttp.Decode(w, r, &request) {
		return
	}
	b.pool(request.Group).Merge(request.Report)
	w.WriteHeader(http.StatusNoContent)
}
