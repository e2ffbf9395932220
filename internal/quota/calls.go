package quota

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	exchangeTimeout = 100 * time.Millisecond // within a region
	remoteTimeout   = 200 * time.Millisecond // to another region
	releaseTimeout  = 300 * time.Millisecond
	// unusableTime is how long the holder of a region is not asked after it did not
	// respond, and notHoldingTime after it did not hold, as while the holder changes.
	unusableTime   = 500 * time.Millisecond
	notHoldingTime = 100 * time.Millisecond

	logLinesPerSecond = 1
	maxLogLines       = 20
)

// Handler returns the handler for calls of other entries.
func (l *Limiter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ExchangePath, l.serveExchange)
	mux.HandleFunc("POST "+ReleasePath, l.serveRelease)
	return mux
}

func (l *Limiter) serveExchange(w http.ResponseWriter, r *http.Request) {
	var request ExchangeRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	needs, err := decodeNeeds(request.Needs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	grants, holding := l.exchangeHere(request, needs)
	call.Respond(ExchangeResponse{Holding: holding, Grants: encodeGrants(grants)})
}

// exchangeHere applies a message to the ledger of this entry. It reports false if this
// entry does not hold the shard.
func (l *Limiter) exchangeHere(r ExchangeRequest, needs []Need) ([]Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ledger := l.ledger(r.Shard, r.Shards)
	if ledger == nil {
		return nil, false
	}
	now := l.options.Now()
	grants := ledger.Exchange(now, l.index, r, needs)
	l.startTransfers(h, now)
	return grants, true
}

func (l *Limiter) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request ReleaseRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	call.Respond(l.release(request))
}

// release ceases to hold a shard for an entry that takes over. It returns false if
// this entry holds it by a newer view.
func (l *Limiter) release(r ReleaseRequest) ReleaseResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.index == nil {
		return ReleaseResponse{Released: true}
	}
	l.look(l.options.Now())
	v := l.options.View()
	if r.Shards != l.index.shards {
		if r.Index < v.Index {
			return ReleaseResponse{Released: len(l.holdings) == 0}
		}
		l.dropHoldings("another entry takes over with another number of shards", func(*holding) bool { return true })
		for shard := range l.index.shards {
			l.yielded[shard] = max(l.yielded[shard], r.Index)
		}
		return ReleaseResponse{Released: true}
	}
	h := l.holdings[r.Shard]
	if h != nil && r.Index < v.Index {
		return ReleaseResponse{}
	}
	response := ReleaseResponse{Released: true}
	if h != nil && h.ledger != nil {
		now := l.options.Now()
		response.Held, response.Levels = now-h.ledger.since, encodeLevels(h.ledger.Levels(now))
	}
	l.dropHoldings("another entry takes over", func(h *holding) bool { return h.shard == r.Shard })
	if r.Shard >= 0 && r.Shard < l.index.shards {
		l.yielded[r.Shard] = max(l.yielded[r.Shard], r.Index)
	}
	return response
}

// takeOver makes this entry the holder once all entries that may have been it before
// have confirmed that they do not grant, have ended, or must have stopped.
func (l *Limiter) takeOver(ctx context.Context, h *holding, former []fleetstate.Entry) {
	var asking sync.WaitGroup
	responses := make([]ReleaseResponse, len(former))
	for i, e := range former {
		asking.Go(func() { responses[i] = l.awaitRelease(ctx, h, e) })
	}
	asking.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(l.options.Now())
	if l.holdings[h.shard] != h || ctx.Err() != nil {
		return
	}
	now := l.options.Now()
	h.ledger = NewLedger(h.shard, now)
	for _, r := range responses {
		if levels, err := decodeLevels(r.Levels); r.Held > 0 && err == nil {
			h.ledger.Continue(r.Held, levels)
		}
	}
	l.options.Log.Info("quota shard held", zap.Int("shard", h.shard), zap.Int("shards", h.shards), zap.Duration("took", now-h.since), zap.Int("asked", len(former)))
}

// awaitRelease returns once the entry does not grant as holder of the shard, or this
// entry does not want to hold it any more. It returns the response of the entry.
func (l *Limiter) awaitRelease(ctx context.Context, h *holding, e fleetstate.Entry) ReleaseResponse {
	for ctx.Err() == nil && l.wants(h) {
		var response ReleaseResponse
		err := l.askRelease(ctx, h, e, &response)
		switch {
		case err == nil && response.Released:
			return response
		case errors.Is(err, syscall.ECONNREFUSED), isUnknownCall(err):
			return ReleaseResponse{} // the process has ended, or is of a release without quotas
		case err != nil && l.options.Now()-h.since >= takeoverWait:
			l.options.Log.Warn("former holder of quota shard did not respond and counts as stopped", zap.Int("shard", h.shard), zap.String("entry", e.Name), zap.Error(err))
			return ReleaseResponse{}
		}
		sleep(ctx, tickInterval)
	}
	return ReleaseResponse{}
}

func isUnknownCall(err error) bool {
	var responded *peerhttp.StatusError
	return errors.As(err, &responded) && responded.Code == http.StatusNotFound
}

func (l *Limiter) askRelease(ctx context.Context, h *holding, e fleetstate.Entry, response *ReleaseResponse) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := ReleaseRequest{Shard: h.shard, Shards: h.shards, Index: l.options.View().Index}
	return l.options.Peers.Post(ctx, traffic.Quota, e.PeerAddress, ReleasePath, request, response)
}

// wants reports whether the holding is still one of this entry.
func (l *Limiter) wants(h *holding) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings[h.shard] == h
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runShard sends the messages of this entry as an owner.
func (l *Limiter) runShard(ctx context.Context, n int, s *ownedShard) {
	for ctx.Err() == nil {
		l.mu.Lock()
		due, any := s.credit.Due()
		wait := due - l.options.Now()
		l.mu.Unlock()
		if !any {
			wait = time.Hour
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.exchange(ctx, n, s)
	}
}

// exchange sends a message to the holder of the own region, or to that of another
// region if that one does not grant.
func (l *Limiter) exchange(ctx context.Context, n int, s *ownedShard) {
	l.mu.Lock()
	now := l.options.Now()
	needs := s.credit.Needs(now, l.index)
	request := ExchangeRequest{Shard: n, Shards: l.index.shards, Sender: l.options.Self.Name, Incarnation: l.options.Self.Incarnation, Needs: encodeNeeds(needs)}
	usable := l.usableRegions(now)
	l.mu.Unlock()
	if len(needs) == 0 {
		l.finish(s, now, nil, nil, true)
		return
	}
	for _, region := range usable {
		sent := l.options.Now()
		grants, err := l.send(ctx, region, request, needs)
		if err == nil {
			l.finish(s, sent, needs, grants, true)
			return
		}
		l.markUnusable(region, err)
		request.Needs = encodeNeeds(withoutReturns(needs))
	}
	l.finish(s, now, nil, nil, false)
}

// withoutReturns returns the needs for another holder after a message without a response:
// the first one may have added the returned credit to its bucket. The credit counts as used.
func withoutReturns(needs []Need) []Need {
	return lo.Map(needs, func(n Need, _ int) Need {
		n.Returned = 0
		return n
	})
}

// finish ends a message of this entry as an owner.
func (l *Limiter) finish(s *ownedShard, sent time.Duration, needs []Need, grants []Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		s.credit.Apply(l.options.Now(), sent, needs, grants)
		return
	}
	s.credit.Failed(l.options.Now())
}

// usableRegions returns the regions whose holder may be asked, the own one first. The
// caller holds mu.
func (l *Limiter) usableRegions(now time.Duration) []string {
	var usable []string
	for _, r := range l.regions {
		if now >= l.unusable[r] {
			usable = append(usable, r)
		}
	}
	return usable
}

func (l *Limiter) markUnusable(region string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures.Inc()
	duration := unusableTime
	if errors.Is(err, errNotHolding) {
		duration = notHoldingTime
	}
	l.unusable[region] = l.options.Now() + duration
	l.options.Log.Debug("quota holder of a region did not grant", zap.String("region", region), zap.Error(err))
}

var (
	errNoHolder   = errors.New("quota: the region has no holder")
	errNotHolding = errors.New("quota: the entry does not hold the shard")
)

// send sends a message to the holder of a region, and returns what it grants.
func (l *Limiter) send(ctx context.Context, region string, r ExchangeRequest, needs []Need) ([]Grant, error) {
	holders := ranked(l.options.View(), l.options.LowBandwidth, r.Shard, r.Shards, region)
	if len(holders) == 0 {
		return nil, errNoHolder
	}
	r.Sequence = l.sequence.Add(1)
	if holders[0].Name == l.options.Self.Name {
		grants, holding := l.exchangeHere(r, needs)
		if !holding {
			return nil, errNotHolding
		}
		return grants, nil
	}
	timeout := exchangeTimeout
	if region != l.options.Self.Region {
		timeout = remoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.exchanges.Inc()
	var response ExchangeResponse
	if err := l.options.Peers.Post(ctx, traffic.Quota, holders[0].PeerAddress, ExchangePath, r, &response); err != nil {
		return nil, err
	}
	if !response.Holding {
		return nil, errNotHolding
	}
	return decodeGrants(response.Grants)
}

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
	grants, err := l.send(ctx, region, request, needs)
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

// logChanges logs tenants that begin or cease to exceed their limit in this region, a
// limited number of them. The caller holds mu.
func (l *Limiter) logChanges(now time.Duration) {
	l.logLines.refill(now, 0)
	for _, h := range l.holdings {
		if h.ledger == nil {
			continue
		}
		for _, c := range h.ledger.Changes(now) {
			if c.Exceeded {
				l.limits.Inc()
			}
			e := l.index.byID[c.ID]
			if e == nil || l.logLines.Take(1) == 0 {
				continue
			}
			l.options.Log.Info("tenant began or ceased to exceed its limit", zap.String("tenant", e.Name), zap.Bool("exceeded", c.Exceeded), zap.Float64("rate_in_region", e.Limit.Rate))
		}
	}
}
