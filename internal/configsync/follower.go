package configsync

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/catalogfeed"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Follower maintains an entry's copy of the catalog. It is safe for concurrent
// use.
type Follower struct {
	options Options
	client  catalogfeed.Client
	replica *plan.Replica
	store   *store // nil without a data folder

	mu                 sync.Mutex
	ready              bool
	startedAt          time.Time
	controlTried       bool
	lastControlContact time.Time
	missing            missingVersions
	lastFresh          time.Time
	freshness          Freshness
	freshnessAt        time.Time
	dataCentres        map[string]bool      // known data centres other than the entry's own
	lastFetches        map[string]time.Time // when a peer last sent a message in a poll, by name
	backoffs           sourceBackoffs
	needFull           bool
	catchingUp         bool
}

// New returns a follower that starts with the copy stored in the data folder, or
// with the empty catalog. It polls nothing until Run is called.
func New(options Options) *Follower {
	f := &Follower{
		options:     options,
		replica:     plan.NewReplica(),
		freshness:   Isolated,
		dataCentres: make(map[string]bool),
		lastFetches: make(map[string]time.Time),
		backoffs:    make(sourceBackoffs),
		startedAt:   options.Clock.Now(),
	}
	f.client = catalogfeed.Client{HTTP: options.HTTP, Clock: options.Clock, Token: options.FleetToken, IdleTimeout: responseIdleTimeout}
	for _, name := range options.DataCentres {
		f.addDataCentre(name)
	}
	if options.Dir != nil {
		f.store = &store{dir: options.Dir}
		f.loadStoredCopy()
	}
	return f
}

// Current returns the copy of the catalog, or nil until the follower is ready.
func (f *Follower) Current() *plan.Snapshot {
	f.mu.Lock()
	ready := f.ready
	f.mu.Unlock()
	if !ready {
		return nil
	}
	return f.replica.Current()
}

// Version returns the version of the copy, whether or not the follower is ready.
// It is the version that is announced to other entries.
func (f *Follower) Version() uint64 { return f.replica.Current().Version() }

// Freshness returns the current freshness. Run updates it periodically;
// Freshness updates it itself if the last update is too old, for example after
// the process was paused.
func (f *Follower) Freshness() Freshness {
	now := f.options.Clock.Now()
	f.mu.Lock()
	current, age := f.freshness, now.Sub(f.freshnessAt)
	f.mu.Unlock()
	if age <= maxFreshnessAge {
		return current
	}
	return f.updateFreshness()
}

// PeerHandler returns the handler for catalogfeed.PeerPath, which serves the copy
// to other entries. Closing done ends waiting requests on shutdown.
func (f *Follower) PeerHandler(done <-chan struct{}) http.Handler {
	return catalogfeed.NewServer(catalogfeed.ServerOptions{
		Source:    f.replica,
		InContact: f.inContactWithControl,
		Done:      done,
		Clock:     f.options.Clock,
		Token:     f.options.FleetToken,
	})
}

func (f *Follower) inContactWithControl() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return View{Now: f.options.Clock.Now(), LastControlContact: f.lastControlContact}.inContactWithControl()
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.pollSources(ctx) })
	wg.Go(func() { f.updateFreshnessPeriodically(ctx, &wg) })
	if f.store != nil {
		wg.Go(func() { f.storeChanges(ctx) })
	}
	wg.Wait()
}

// updateFreshnessPeriodically updates the freshness at intervals, and starts
// catching up from peers when a higher version is known to exist.
func (f *Follower) updateFreshnessPeriodically(ctx context.Context, wg *sync.WaitGroup) {
	ticker := f.options.Clock.NewTicker(freshnessInterval)
	defer ticker.Stop()
	for {
		f.updateFreshness()
		if f.beginCatchUp() {
			wg.Go(func() { f.catchUpFromPeers(ctx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

// updateFreshness updates and returns the freshness.
func (f *Follower) updateFreshness() Freshness {
	peers := f.peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	f.updateMissing(peers, now)
	view := f.view(peers, now)
	next := DecideFreshness(view)
	if next == Fresh {
		f.lastFresh = now
	}
	if next != f.freshness {
		f.options.Log.Info("catalog freshness changed", zap.String("from", string(f.freshness)), zap.String("to", string(next)))
		f.freshness = next
	}
	f.freshnessAt = now
	metrics.GetOrCreateGauge("sequoialane_catalog_version", nil).Set(float64(f.replica.Current().Version()))
	f.updateReady(view)
	return next
}

func (f *Follower) updateReady(view View) {
	if f.ready {
		return
	}
	held := f.replica.Current().Version()
	state := StartState{Held: held, HighestKnown: f.missing.highest, ControlTried: f.controlTried, StartedAt: f.startedAt}
	if Ready(view, state) {
		f.ready = true
		f.options.Log.Info("catalog is ready", zap.Uint64("version", held))
	}
}

// updateMissing records the versions that peers hold, and removes those that
// this entry holds. The caller holds f.mu.
func (f *Follower) updateMissing(peers []Peer, now time.Time) {
	for _, p := range peers {
		f.missing.markKnown(p.CatalogVersion, now)
	}
	f.missing.markHeld(f.replica.Current().Version(), now)
}
