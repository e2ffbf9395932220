package quota

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/traffic"
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

// takeOver makes this entry the holder once all entries that may have been it before
// have confirmed that they do not grant, have ended, or must have stopped. Its buckets
// get tokens for the time since quiet, in which nobody has granted; quiet is a time for
// entries other than the former holders.
func (l *Limiter) takeOver(ctx context.Context, h *holding, quiet time.Duration, former []fleetstate.Entry) {
	var asking sync.WaitGroup
	responses := make([]ReleaseResponse, len(former))
	quietSince := make([]time.Duration, len(former))
	for i, e := range former {
		asking.Go(func() {
			responses[i] = l.awaitRelease(ctx, h, e)
			quietSince[i] = l.options.Now() - max(responses[i].Quiet, 0)
		})
	}
	asking.Wait()
	began, ok := l.begin(ctx, h, responses, slices.Max(append(quietSince, quiet)))
	if !ok || began.quiet < minQuiet || began.quiet > maxQuiet {
		return
	}
	l.addProvenQuiet(ctx, h, began)
}

// beginning tells for how long nobody had granted when a holder began.
type beginning struct {
	at    time.Duration
	quiet time.Duration // nobody had granted for this time
	added time.Duration // the buckets have got tokens for this time
}

// begin makes this entry the holder. It returns false if it does not rank first any
// more.
func (l *Limiter) begin(ctx context.Context, h *holding, responses []ReleaseResponse, quiet time.Duration) (beginning, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look(l.options.Now())
	if l.holdings[h.shard] != h || ctx.Err() != nil {
		return beginning{}, false
	}
	now := l.options.Now()
	began := beginning{at: now, quiet: now - max(quiet, l.quietSince(h.shard, h.shards, now))}
	began.added = max(began.quiet-creditLifetime, 0)
	h.ledger = NewLedger(h.shard, now)
	h.ledger.AddQuiet(began.added)
	for _, r := range responses {
		if levels, err := decodeLevels(r.Levels); r.Held > 0 && err == nil {
			h.ledger.Continue(r.Held, levels)
		}
	}
	l.options.Log.Info("quota shard held", zap.Int("shard", h.shard), zap.Int("shards", h.shards), zap.Duration("took", now-h.since), zap.Int("asked", len(responses)), zap.Duration("quiet", began.quiet))
	return began, true
}

// addProvenQuiet adds tokens for the time in which owners may have used credit of the
// former holders, if no process has got any of it.
func (l *Limiter) addProvenQuiet(ctx context.Context, h *holding, began beginning) {
	free, ok := l.awaitFree(ctx, h)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first, credited := l.credited[l.options.Self.Region]
	if l.holdings[h.shard] != h || credited && !l.isOwnCredit(first.at, first.holder) || len(l.ceased) > 0 || l.unheld > l.started {
		return
	}
	proven := min(began.quiet, began.at-max(free, l.started))
	if proven > began.added {
		h.ledger.AddQuiet(proven - began.added)
		l.options.Log.Info("no entry has credit of former holders", zap.Int("shard", h.shard), zap.Duration("quiet", proven))
	}
}

// awaitFree returns a time since when no other entry has had credit that a holder of the
// region granted before this one began. It returns false if one does not prove this.
func (l *Limiter) awaitFree(ctx context.Context, h *holding) (time.Duration, bool) {
	others := lo.Reject(l.options.View().Entries, func(e fleetstate.Entry, _ int) bool { return e.Name == l.options.Self.Name })
	if len(others) > maxAgesAsked {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, ageTime)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(agesAtATime)
	free := make([]time.Duration, len(others))
	for i, e := range others {
		group.Go(func() (err error) {
			free[i], err = l.awaitAge(ctx, h, e)
			return err
		})
	}
	err := group.Wait()
	return slices.Max(append(free, 0)), err == nil
}

// isOwnCredit reports whether the first credit that an entry has got of this region, and
// all other, is known to be of this process. Credit of the former process of this entry
// arrives at most lateTimeout after that has ended.
func (l *Limiter) isOwnCredit(first time.Duration, holder string) bool {
	return holder == l.options.Self.Name && first >= l.started+lateTimeout
}

// awaitAge returns a time at which the process of the entry had started, or an error if
// it may have got credit of another holder of the region.
func (l *Limiter) awaitAge(ctx context.Context, h *holding, e fleetstate.Entry) (time.Duration, error) {
	for {
		var response AgeResponse
		asked := l.options.Now()
		err := l.askAge(ctx, e, &response)
		switch {
		case err == nil && response.Credited > 0 && !l.isOwnCredit(asked-response.Credited, response.Holder):
			return 0, errCredited
		case err == nil:
			return l.options.Now() - max(response.Age, 0), nil
		}
		if ctx.Err() != nil || isUnknownCall(err) || !l.wants(h) {
			return 0, err
		}
		sleep(ctx, tickInterval)
	}
}

func (l *Limiter) askAge(ctx context.Context, e fleetstate.Entry, response *AgeResponse) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	return l.options.Peers.Post(ctx, traffic.Quota, e.PeerAddress, AgePath, AgeRequest{Region: l.options.Self.Region}, response)
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
	usable := l.usableRegions(l.options.Now())
	if len(usable) == 0 {
		s.credit.Needs(l.options.Now(), l.index) // so that the next message is due later
	}
	l.mu.Unlock()
	for _, region := range usable {
		err := l.exchangeWith(ctx, region, n, s)
		if err == nil {
			return
		}
		l.markUnusable(region, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.credit.Failed(l.options.Now())
}

// exchangeWith sends a message to the holder of a region. If the response is late, an
// error is returned, and its credit is added when it arrives.
func (l *Limiter) exchangeWith(ctx context.Context, region string, n int, s *ownedShard) error {
	l.mu.Lock()
	// No response may be applied between the calculation of the needs and the numbering:
	// its credit would be confirmed as received, but not be named.
	now := l.options.Now()
	needs := s.credit.Needs(now, l.index)
	if len(needs) == 0 {
		s.credit.Apply(now, now, nil, nil)
		l.mu.Unlock()
		return nil
	}
	r := ExchangeRequest{Shard: n, Shards: l.index.shards, Sender: l.options.Self.Name, Incarnation: l.options.Self.Incarnation, Needs: encodeNeeds(needs)}
	m, patience := l.number(region, &r), l.patienceWith(region)
	l.mu.Unlock()
	responses := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lateTimeout)
		defer cancel()
		var err error
		m.grants, m.holder, err = l.send(ctx, region, r, needs)
		responses <- err
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-responses:
		return l.apply(s, m, needs, err, false)
	case <-timer.C:
	}
	go func() { _ = l.apply(s, m, needs, <-responses, true) }()
	return errLate
}

// sentMessage is a message to the holder of a region, and its response.
type sentMessage struct {
	key      messageKey
	sequence uint64
	at       time.Duration

	grants []Grant
	holder string
}

// number gives a message its numbers. The caller holds mu.
func (l *Limiter) number(region string, r *ExchangeRequest) *sentMessage {
	key := messageKey{r.Shard, region, r.Kind}
	l.lastSequence++
	r.Sequence, r.Received = l.lastSequence, l.received[key]
	l.sent[key] = r.Sequence
	return &sentMessage{key: key, sequence: r.Sequence, at: l.options.Now()}
}

// patienceWith returns how long to wait for the holder of a region before another one is
// asked. The caller holds mu.
func (l *Limiter) patienceWith(region string) time.Duration {
	least := exchangeTimeout
	if region != l.options.Self.Region {
		least = remoteTimeout
	}
	return min(max(least, l.patience[region]), maxPatience)
}

// apply adds the credit of the response to a message. A later message to the region has
// not named that credit, so that its holder counts it as used or gives it to others. The
// same holds for a response that was late because this process was paused.
func (l *Limiter) apply(s *ownedShard, m *sentMessage, needs []Need, err error, late bool) error {
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if now-m.at > lateTimeout || l.sent[m.key] != m.sequence {
		return errLate
	}
	l.received[m.key] = m.sequence
	l.patience[m.key.region] = (now - m.at) * 3 / 2
	l.noteCredit(m.key.region, m.holder, m.grants)
	if late {
		l.unusable[m.key.region] = 0
		s.credit.ApplyLate(now, m.at, m.grants)
	} else {
		s.credit.Apply(now, m.at, needs, m.grants)
	}
	return nil
}

// noteCredit notes the first credit that this process gets of a region. The caller holds
// mu.
func (l *Limiter) noteCredit(region, holder string, grants []Grant) {
	if len(grants) == 0 {
		return
	}
	first, any := l.credited[region]
	switch {
	case !any:
		l.credited[region] = firstCredit{at: l.options.Now(), holder: holder}
	case first.holder != holder:
		l.credited[region] = firstCredit{at: first.at}
	}
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
	errCredited   = errors.New("quota: the entry may have credit of a former holder")
	errLate       = errors.New("quota: the holder's response was late")
	errNotHolding = errors.New("quota: the entry does not hold the shard")
)

// send sends a numbered message to the holder of a region, and returns what it grants
// and its name.
func (l *Limiter) send(ctx context.Context, region string, r ExchangeRequest, needs []Need) ([]Grant, string, error) {
	holders := ranked(l.options.View(), l.options.LowBandwidth, r.Shard, r.Shards, region)
	if len(holders) == 0 {
		return nil, "", errNoHolder
	}
	if holders[0].Name == l.options.Self.Name {
		grants, holding := l.exchangeHere(r, needs)
		if !holding {
			return nil, "", errNotHolding
		}
		return grants, holders[0].Name, nil
	}
	l.exchanges.Inc()
	var response ExchangeResponse
	if err := l.options.Peers.Post(ctx, traffic.Quota, holders[0].PeerAddress, ExchangePath, r, &response); err != nil {
		return nil, "", err
	}
	if !response.Holding {
		return nil, "", errNotHolding
	}
	grants, err := decodeGrants(response.Grants)
	return grants, holders[0].Name, err
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
