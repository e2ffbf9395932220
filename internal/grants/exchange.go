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
	"github.com/sequoialane/sequoialane/internal/traffic"
)

// EvidencePath is the path of the call that sends the estimates of a pool to the
// owners in other regions.
const EvidencePath = "/fleet/v1/evidence"

const (
	evidenceInterval   = 2 * time.Second
	evidenceBatchDelay = 15 * time.Millisecond // batches changes that occur together
	evidenceTimeout    = 500 * time.Millisecond
	maxEvidenceAge     = 3 * time.Second // estimates that rest on older outcomes are not sent
)

// EvidenceRequest carries the report of the pool of a region.
type EvidenceRequest struct {
	Group  Group       `json:"group" cbor:"1,keyasint"`
	Report pool.Report `json:"report" cbor:"2,keyasint"`
}

// Run sends evidence to other regions until ctx ends: periodically for all owned
// groups, and at once for a group with a notable change of an estimate. Only a
// few bytes about targets with recent outcomes cross regions.
func (b *Broker) Run(ctx context.Context) {
	ticker := b.options.Clock.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		var changedGroup *Group
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		case changed := <-b.changedGroups:
			changedGroup = &changed
			_ = b.options.Clock.Sleep(ctx, evidenceBatchDelay)
		}
		for group, p := range b.ownedPools() {
			if changedGroup == nil || *changedGroup == group {
				b.sendEvidence(ctx, group, p.Report(maxEvidenceAge))
			}
		}
	}
}

// ownedPools returns the pools of the groups that this entry owns.
func (b *Broker) ownedPools() map[Group]*pool.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.PickBy(b.pools, func(group Group, _ *pool.Pool) bool {
		ranked := b.rankedEntries(group, b.options.Self.Region)
		return len(ranked) > 0 && ranked[0].Name == b.options.Self.Name
	})
}

func (b *Broker) sendEvidence(ctx context.Context, group Group, report pool.Report) {
	if len(report.Targets)+len(report.Leaving) == 0 {
		return
	}
	for _, region := range lo.Uniq(lo.Values(b.options.Regions)) {
		ranked := b.rankedEntries(group, region)
		if region != b.options.Self.Region && len(ranked) > 0 {
			go b.sendEvidenceTo(ctx, ranked[0], EvidenceRequest{Group: group, Report: report})
		}
	}
}

func (b *Broker) sendEvidenceTo(ctx context.Context, owner fleetstate.Entry, request EvidenceRequest) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if err := b.options.Peers.Post(ctx, traffic.Evidence, owner.PeerAddress, EvidencePath, request, nil); err != nil {
		b.options.Log.Debug("sending evidence to owner failed", zap.String("owner", owner.Name), zap.String("group", request.Group.key()), zap.Error(err))
	}
}

func (b *Broker) serveEvidence(w http.ResponseWriter, r *http.Request) {
	var request EvidenceRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if request.Group.isKnown(b.options.View()) {
		b.pool(request.Group).Merge(request.Report)
	}
	call.RespondEmpty()
}
