package quota

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/peerhttp"
)

const (
	exchangeTimeout = 100 * time.Millisecond // within a region, until another one is asked
	remoteTimeout   = 200 * time.Millisecond // to another region
	// maxPatience limits these times if the last response was late, and lateTimeout is the
	// time in which a response counts. A packet that is lost takes 200 ms more.
	maxPatience    = 300 * time.Millisecond
	lateTimeout    = 450 * time.Millisecond
	releaseTimeout = 300 * time.Millisecond
	// unusableTime is how long the holder of a region is not asked after it did not
	// respond, and notHoldingTime after it did not hold, as while the holder changes.
	unusableTime   = 500 * time.Millisecond
	notHoldingTime = 100 * time.Millisecond

	// minQuiet and maxQuiet are the times without a grant between which a new holder
	// asks all entries whether they have credit of former holders. That adds tokens of
	// creditLifetime at most; beyond maxQuiet the buckets are about full without it.
	minQuiet = lateTimeout
	maxQuiet = 10 * time.Second
	// ageTime is the time for these calls, agesAtATime how many run at a time, and
	// maxAgesAsked the number of entries beyond which there are none. A call has 84 bytes
	// and its response 45, without TCP and IP.
	ageTime      = time.Second
	agesAtATime  = 32
	maxAgesAsked = 150

	logLinesPerSecond = 1
	maxLogLines       = 20
)

// Handler returns the handler for calls of other entries.
func (l *Limiter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ExchangePath, l.serveExchange)
	mux.HandleFunc("POST "+ReleasePath, l.serveRelease)
	mux.HandleFunc("POST "+AgePath, l.serveAge)
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

func (l *Limiter) serveAge(w http.ResponseWriter, r *http.Request) {
	var request AgeRequest
	if call, ok := peerhttp.Decode(w, r, &request); ok {
		call.Respond(l.age(request))
	}
}

func (l *Limiter) age(r AgeRequest) AgeResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	response := AgeResponse{Age: now - l.started}
	if first, ok := l.credited[r.Region]; ok {
		response.Credited, response.Holder = max(now-first.at, 1), first.holder
	}
	return response
}

// release ceases to hold a shard for an entry that takes over. It returns false if
// this entry holds it by a newer view.
func (l *Limiter) release(r ReleaseRequest) ReleaseResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if l.index == nil {
		return ReleaseResponse{Released: true, Quiet: now - l.unheld}
	}
	l.look(now)
	v := l.options.View()
	quiet := now - l.quietSince(r.Shard, r.Shards, now)
	if r.Shards != l.index.shards {
		if r.Index < v.Index {
			return ReleaseResponse{Released: len(l.holdings) == 0, Quiet: quiet}
		}
		l.dropHoldings("another entry takes over with another number of shards", func(*holding) bool { return true })
		for shard := range l.index.shards {
			l.yielded[shard] = max(l.yielded[shard], r.Index)
		}
		return ReleaseResponse{Released: true, Quiet: quiet}
	}
	h := l.holdings[r.Shard]
	if h != nil && r.Index < v.Index {
		return ReleaseResponse{}
	}
	response := ReleaseResponse{Released: true, Quiet: quiet}
	if h != nil && h.ledger != nil {
		response.Held, response.Levels = now-h.ledger.since, encodeLevels(h.ledger.Levels(now))
	}
	l.dropHoldings("another entry takes over", func(h *holding) bool { return h.shard == r.Shard })
	if r.Shard >= 0 && r.Shard < l.index.shards {
		l.yielded[r.Shard] = max(l.yielded[r.Shard], r.Index)
	}
	return response
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
