package quota

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// startTransfers asks other regions for tokens in the background if requests lack
// credit or buckets run low. The caller holds mu.
func (l *Limiter) startTransfers(h *holding, now time.Duration) {
	if len(l.regions) < 2 || l.ctx == nil {
		return
	}
	for _, kind := range []Kind{UrgentTransfer, FillTransfer} {
		t := h.transfers[kind]
		if t.inFlight {
			continue
		}
		if n := h.ledger.TransferNeeds(kind, now); len(n) > 0 {
			t.inFlight = true
			go l.transfer(l.ctx, h, kind, t, n)
		}
	}
}

// transfer asks the other regions for tokens, beginning with the one that last gave
// some, and the next ones for what the first did not give.
func (l *Limiter) transfer(ctx context.Context, h *holding, kind Kind, t *transfers, needs []Need) {
	others := l.regions[1:]
	first, sum := t.region, 0
	for i := 0; i < len(others) && len(needs) > 0; i++ {
		at := (first + i) % len(others)
		grants, asked := l.askTransfer(ctx, others[at], h, kind, needs)
		l.mu.Lock()
		added := h.ledger.AddTransfers(l.options.Now(), asked, grants)
		l.mu.Unlock()
		if added > 0 {
			t.region = at
		}
		sum += added
		needs = remainingNeeds(needs, grants)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved.Add(sum)
	t.inFlight = false
}

func (l *Limiter) askTransfer(ctx context.Context, region string, h *holding, kind Kind, needs []Need) ([]Grant, time.Duration) {
	asked := l.options.Now()
	request := ExchangeRequest{Shard: h.shard, Shards: h.shards, Sender: l.options.Self.Name, Incarnation: l.options.Self.Incarnation, Kind: kind, Needs: encodeNeeds(needs)}
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	l.mu.Lock()
	l.number(region, &request)
	l.mu.Unlock()
	grants, _, err := l.send(ctx, region, request, needs)
	if err != nil {
		l.failures.Inc()
		l.options.Log.Debug("quota holder of another region gave no tokens", zap.String("region", region), zap.Error(err))
	}
	return grants, asked
}

// remainingNeeds returns the needs that the grants do not meet: those of requests that
// wait still, and those of buckets that got less than half of what they need.
func remainingNeeds(needs []Need, grants []Grant) []Need {
	granted := map[uint32]int{}
	for _, g := range grants {
		granted[g.ID] += g.Granted
	}
	var remaining []Need
	for _, n := range needs {
		g := granted[n.ID]
		n.Wanted -= g
		if n.Waiting > g || g < n.Wanted {
			n.Waiting = max(n.Waiting-g, 0)
			remaining = append(remaining, n)
		}
	}
	return remaining
}
