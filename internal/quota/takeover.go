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
