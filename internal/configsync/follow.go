package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/catalogfeed"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Reasons to leave a source.
var (
	errNoContact = errors.New("configsync: control member is not in contact with a leader")
	errBehind    = errors.New("configsync: source lacks a known version")
)

// follow polls control members, and an entry while none of them answers.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if f.followControl(ctx) {
			continue
		}
		f.markControlTried(ctx)
		if !f.followPeer(ctx) {
			_ = f.options.Clock.Sleep(ctx, idlePause)
		}
	}
}

// followControl polls the first control member that answers. It reports false
// if none does.
func (f *Follower) followControl(ctx context.Context) bool {
	for _, member := range orderControl(f.options.Name, f.options.Region, f.options.Control, f.cooling) {
		poll := catalogfeed.Poll{Address: member.Address, Path: catalogfeed.ControlPath, Wait: controlWait}
		err := f.poll(ctx, poll, f.handleControl)
		if err == nil {
			f.sourceAnswered(member.Address)
			_ = f.options.Clock.Sleep(ctx, pollPause)
			return true
		}
		if ctx.Err() != nil {
			return true
		}
		f.sourceFailed(member.Address, err)
	}
	return false
}

func (f *Follower) markControlTried(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.controlTried = true
	f.mu.Unlock()
}

// followPeer polls the best entry. It reports false if there is none.
func (f *Follower) followPeer(ctx context.Context) bool {
	peers := orderPeers(&f.options, f.peers(), f.Version(), f.cooling)
	if len(peers) == 0 {
		return false
	}
	return f.pollPeer(ctx, peers[0], peerWait)
}

// pollPeer reports whether the peer answered.
func (f *Follower) pollPeer(ctx context.Context, peer Peer, wait time.Duration) bool {
	poll := catalogfeed.Poll{Address: peer.PeerAddress, Path: catalogfeed.PeerPath, Wait: wait}
	err := f.poll(ctx, poll, func(m catalogfeed.Message) error { return f.handlePeer(peer.Name, m) })
	if err == nil {
		f.sourceAnswered(peer.PeerAddress)
		return true
	}
	if ctx.Err() == nil {
		f.sourceFailed(peer.PeerAddress, err)
	}
	return false
}

// beginFetchHigher reports whether a fetch of a higher version should start.
// At most one runs at a time.
func (f *Follower) beginFetchHigher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetchingHigher || f.missing.since().IsZero() {
		return false
	}
	f.fetchingHigher = true
	return true
}

// fetchHigher fetches from the first peer that holds a higher version and
// answers, beside the long poll.
func (f *Follower) fetchHigher(ctx context.Context) {
	defer func() {
		f.mu.Lock()
		f.fetchingHigher = false
		f.mu.Unlock()
	}()
	for _, peer := range orderPeers(&f.options, f.peers(), f.Version()+1, f.cooling) {
		if ctx.Err() != nil {
			return
		}
		if f.pollPeer(ctx, peer, 0) {
			return
		}
	}
}

// poll completes the poll with the version held and runs it.
func (f *Follower) poll(ctx context.Context, poll catalogfeed.Poll, handle func(catalogfeed.Message) error) error {
	poll.After = f.Version()
	f.mu.Lock()
	poll.Full = f.needFull
	f.mu.Unlock()
	return f.client.Do(ctx, poll, handle)
}

func (f *Follower) handleControl(m catalogfeed.Message) error {
	if err := f.absorb(m.Delta); err != nil {
		return err
	}
	held := f.Version()
	now := f.options.Clock.Now()
	f.mu.Lock()
	if m.Contact {
		f.controlHeard = now
	}
	f.missing.hear(m.Version, now)
	since := f.missing.since()
	behind := !since.IsZero() && now.Sub(since) > behindLimit && m.Version < f.missing.highest
	f.mu.Unlock()
	f.evaluate()
	if m.Version > held {
		return nil // the delta follows
	}
	if !m.Contact {
		return errNoContact
	}
	if behind {
		return errBehind
	}
	return nil
}

func (f *Follower) handlePeer(name string, m catalogfeed.Message) error {
	if err := f.absorb(m.Delta); err != nil {
		return err
	}
	f.mu.Lock()
	now := f.options.Clock.Now()
	f.fetchedFrom[name] = now
	f.missing.hear(m.Version, now)
	f.mu.Unlock()
	f.evaluate()
	return nil
}

// absorb applies a delta. A delta to a lower version is ignored: another poll
// was faster. After any other fault the next poll asks for a full copy.
func (f *Follower) absorb(d *plan.Delta) error {
	if d == nil {
		return nil
	}
	before := f.Version()
	err := f.replica.Apply(*d)
	if errors.Is(err, plan.ErrLowerVersion) && d.Full {
		return errBehind // asking it again would transfer the whole copy each time
	}
	if errors.Is(err, plan.ErrLowerVersion) {
		return nil
	}
	f.mu.Lock()
	f.needFull = err != nil
	f.mu.Unlock()
	if err != nil {
		metrics.GetOrCreateCounter(`sequoialane_catalog_deltas_refused_total`).Inc()
		f.options.Log.Error("delta of the catalog was refused", zap.Uint64("version", before), zap.Uint64("to", d.To), zap.Error(err))
		return err
	}
	return nil
}

func (f *Follower) sourceFailed(address string, err error) {
	metrics.GetOrCreateCounter(`sequoialane_catalog_source_failures_total`).Inc()
	f.options.Log.Debug("source of the catalog failed", zap.String("address", address), zap.Error(err))
	f.mu.Lock()
	f.failed.add(address, f.options.Clock.Now())
	f.mu.Unlock()
}

func (f *Follower) sourceAnswered(address string) {
	f.mu.Lock()
	f.failed.clear(address)
	f.mu.Unlock()
}

func (f *Follower) cooling(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed.cooling(address, f.options.Clock.Now())
}
