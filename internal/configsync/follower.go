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

// Follower keeps the entry's copy of the catalog. It is safe for concurrent
// use.
type Follower struct {
	options Options
	client  catalogfeed.Client
	replica *plan.Replica
	store   *store // nil without a data folder

	mu             sync.Mutex
	ready          bool
	started        time.Time
	controlTried   bool
	controlHeard   time.Time
	missing        missing
	lastFresh      time.Time
	freshness      Freshness
	evaluated      time.Time
	dataCentres    map[string]bool      // known, other than the entry's own
	fetchedFrom    map[string]time.Time // when a peer last answered a fetch, by name
	failed         coolDown
	needFull       bool
	fetchingHigher bool
}

// New returns a follower that holds the copy stored in the data folder, or the
// empty catalog. It does nothing until Run is called.
func New(options Options) *Follower {
	f := &Follower{
		options:     options,
		replica:     plan.NewReplica(),
		freshness:   Isolated,
		dataCentres: make(map[string]bool),
		fetchedFrom: make(map[string]time.Time),
		failed:      make(coolDown),
		started:     options.Clock.Now(),
	}
	f.client = catalogfeed.Client{HTTP: options.HTTP, Clock: options.Clock, Token: options.FleetToken, Silence: silenceLimit}
	for _, name := range options.DataCentres {
		f.addDataCentre(name)
	}
	if options.Dir != nil {
		f.store = &store{dir: options.Dir}
		f.loadStored()
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

// Version returns the version of the copy, ready or not. It is the version to
// be announced to other entries.
func (f *Follower) Version() uint64 { return f.replica.Current().Version() }

// Freshness returns the state by which the entry serves or refuses. The state
// is evaluated at intervals; it is evaluated at once if the last evaluation
// is old, as after a pause of the process.
func (f *Follower) Freshness() Freshness {
	now := f.options.Clock.Now()
	f.mu.Lock()
	current, age := f.freshness, now.Sub(f.evaluated)
	f.mu.Unlock()
	if age <= evaluateMaxAge {
		return current
	}
	return f.evaluate()
}

// PeerHandler serves the copy to other entries at catalogfeed.PeerPath. done
// ends waiting requests on shutdown.
func (f *Follower) PeerHandler(done <-chan struct{}) http.Handler {
	return catalogfeed.NewServer(catalogfeed.ServerOptions{
		Source:  f.replica,
		Contact: f.hearsControl,
		Done:    done,
		Clock:   f.options.Clock,
		Token:   f.options.FleetToken,
	})
}

func (f *Follower) hearsControl() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return View{Now: f.options.Clock.Now(), ControlHeard: f.controlHeard}.hearsControl()
}

// Run follows the catalog until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx) })
	wg.Go(func() { f.watch(ctx, &wg) })
	if f.store != nil {
		wg.Go(func() { f.keepStored(ctx) })
	}
	wg.Wait()
}

// watch evaluates the state at intervals, and starts a fetch as soon as a peer
// is known to hold a higher version.
func (f *Follower) watch(ctx context.Context, wg *sync.WaitGroup) {
	ticker := f.options.Clock.NewTicker(evaluateEvery)
	defer ticker.Stop()
	for {
		f.evaluate()
		if f.beginFetchHigher() {
			wg.Go(func() { f.fetchHigher(ctx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

// evaluate brings the state up to date with what was heard.
func (f *Follower) evaluate() Freshness {
	peers := f.peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	f.noteVersions(peers, now)
	view := f.view(peers, now)
	next := Decide(view)
	if next == Fresh {
		f.lastFresh = now
	}
	if next != f.freshness {
		f.options.Log.Info("freshness of the catalog changed", zap.String("from", string(f.freshness)), zap.String("to", string(next)))
		f.freshness = next
	}
	f.evaluated = now
	metrics.GetOrCreateGauge("sequoialane_catalog_version", nil).Set(float64(f.replica.Current().Version()))
	f.updateReady(view)
	return next
}

func (f *Follower) updateReady(view View) {
	if f.ready {
		return
	}
	held := f.replica.Current().Version()
	versions := Versions{Held: held, Highest: f.missing.highest, ControlTried: f.controlTried, Started: f.started}
	if Ready(view, versions) {
		f.ready = true
		f.options.Log.Info("catalog is ready", zap.Uint64("version", held))
	}
}

// noteVersions records the versions that peers hold, and drops those that are
// held here. The caller holds the lock.
func (f *Follower) noteVersions(peers []Peer, now time.Time) {
	for _, p := range peers {
		f.missing.hear(p.CatalogVersion, now)
	}
	f.missing.hold(f.replica.Current().Version(), now)
}
