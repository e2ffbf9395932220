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

// Reasons to switch to another source.
var (
	errNoLeaderContact = errors.New("configsync: control member is not in contact with a leader")
	errSourceBehind    = errors.New("configsync: source is behind a known version")
)

// pollSources polls control members, or an entry while none of them responds,
// until ctx ends.
func (f *Follower) pollSources(ctx context.Context) {
	for ctx.Err() == nil {
		if f.pollControl(ctx) {
			continue
		}
		f.markControlTried(ctx)
		if !f.pollBestPeer(ctx) {
			_ = f.options.Clock.Sleep(ctx, noSourceDelay)
		}
	}
}

// pollControl polls control members in order until one responds. It reports
// false if none does.
func (f *Follower) pollControl(ctx context.Context) bool {
	for _, member := range orderControl(f.options.Name, f.options.Region, f.options.Control, f.inBackoff) {
		poll := catalogfeed.Poll{Address: member.Address, Path: catalogfeed.ControlPath, Wait: controlPollWait}
		err := f.poll(ctx, poll, f.handleControl)
		if err == nil {
			f.clearSourceFailure(member.Address)
			_ = f.options.Clock.Sleep(ctx, pollDelay)
			return true
		}
		if ctx.Err() != nil {
			return true
		}
		f.recordSourceFailure(member.Address, err)
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

// pollBestPeer polls the best peer. It reports false if there is none or it does
// not respond.
func (f *Follower) pollBestPeer(ctx context.Context) bool {
	peers := orderPeers(&f.options, f.peers(), f.Version(), f.inBackoff)
	if len(peers) == 0 {
		return false
	}
	return f.pollPeer(ctx, peers[0], peerPollWait)
}

// pollPeer polls the peer and reports whether it responded.
func (f *Follower) pollPeer(ctx context.Context, peer Peer, wait time.Duration) bool {
	poll := catalogfeed.Poll{Address: peer.PeerAddress, Path: catalogfeed.PeerPath, Wait: wait}
	err := f.poll(ctx, poll, func(m catalogfeed.Message) error { return f.handlePeer(peer.Name, m) })
	if err == nil {
		f.clearSourceFailure(peer.PeerAddress)
		return true
	}
	if ctx.Err() == nil {
		f.recordSourceFailure(peer.PeerAddress, err)
	}
	return false
}

// beginCatchUp marks a catch-up from peers as running. It reports false if one is
// running already or no version is missing.
func (f *Follower) beginCatchUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catchingUp || f.missing.since().IsZero() {
		return false
	}
	f.catchingUp = true
	return true
}

// catchUpFromPeers polls the peers that hold a higher version until one responds.
// It runs concurrently with the long poll.
func (f *Follower) catchUpFromPeers(ctx context.Context) {
	defer func() {
		f.mu.Lock()
		f.catchingUp = false
		f.mu.Unlock()
	}()
	for _, peer := range orderPeers(&f.options, f.peers(), f.Version()+1, f.inBackoff) {
		if ctx.Err() != nil {
			return
		}
		if f.pollPeer(ctx, peer, 0) {
			return
		}
	}
}

// poll adds the version of the copy, and whether a full catalog is needed, to the
// given poll and runs it.
func (f *Follower) poll(ctx context.Context, poll catalogfeed.Poll, handle func(catalogfeed.Message) error) error {
	poll.After = f.Version()
	f.mu.Lock()
	poll.Full = f.needFull
	f.mu.Unlock()
	return f.client.Do(ctx, poll, handle)
}

func (f *Follower) handleControl(m catalogfeed.Message) error {
	if err := f.applyDelta(m.Delta); err != nil {
		return err
	}
	held := f.Version()
	now := f.options.Clock.Now()
	f.mu.Lock()
	if m.InContact {
		f.lastControlContact = now
	}
	f.missing.markKnown(m.Version, now)
	since := f.missing.since()
	behind := !since.IsZero() && now.Sub(since) > maxSourceLag && m.Version < f.missing.highest
	f.mu.Unlock()
	f.updateFreshness()
	if m.Version > held {
		return nil // the delta follows in a later message
	}
	if !m.InContact {
		return errNoLeaderContact
	}
	if behind {
		return errSourceBehind
	}
	return nil
}

func (f *Follower) handlePeer(name string, m catalogfeed.Message) error {
	if err := f.applyDelta(m.Delta); err != nil {
		return err
	}
	f.mu.Lock()
	now := f.options.Clock.Now()
	f.lastFetches[name] = now
	f.missing.markKnown(m.Version, now)
	f.mu.Unlock()
	f.updateFreshness()
	return nil
}

// applyDelta applies a delta. A delta to a lower version is ignored, because a
// concurrent poll was faster. After any other error the next poll requests a
// full delta.
func (f *Follower) applyDelta(d *plan.Delta) error {
	if d == nil {
		return nil
	}
	before := f.Version()
	err := f.replica.Apply(*d)
	if errors.Is(err, plan.ErrLowerVersion) && d.Full {
		return errSourceBehind // each further poll of this source would transfer the whole catalog
	}
	if errors.Is(err, plan.ErrLowerVersion) {
		return nil
	}
	f.mu.Lock()
	f.needFull = err != nil
	f.mu.Unlock()
	if err != nil {
		metrics.GetOrCreateCounter(`sequoialane_catalog_deltas_refused_total`).Inc()
		f.options.Log.Error("catalog delta rejected", zap.Uint64("version", before), zap.Uint64("to", d.To), zap.Error(err))
		return err
	}
	return nil
}

func (f *Follower) recordSourceFailure(address string, err error) {
	metrics.GetOrCreateCounter(`sequoialane_catalog_source_failures_total`).Inc()
	f.options.Log.Debug("poll of catalog source failed", zap.String("address", address), zap.Error(err))
	f.mu.Lock()
	f.backoffs.add(address, f.options.Clock.Now())
	f.mu.Unlock()
}

func (f *Follower) clearSourceFailure(address string) {
	f.mu.Lock()
	f.backoffs.clear(address)
	f.mu.Unlock()
}

func (f *Follower) inBackoff(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backoffs.inBackoff(address, f.options.Clock.Now())
}
