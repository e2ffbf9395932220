package fleetentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/gateway"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetadvice"
	"github.com/sequoialane/sequoialane/internal/targetconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	// callerIdleTimeout is longer than any idle timeout that a routing document
	// allows, so that the entry never closes a connection on which a request is
	// arriving.
	callerIdleTimeout = 5 * time.Minute
	headerTimeout     = 10 * time.Second
	// readTimeout limits the reading of a whole request, except from callers, whose
	// bodies have the deadline of their request.
	readTimeout    = 10 * time.Second
	maxHeaderBytes = 256 << 10
	headMargin     = 4 << 10
	// acceptShare is the share of the grace period after which the listener for
	// callers closes and new requests are rejected. Callers cache responses of the
	// directory for a while, so new connections still arrive after SIGTERM.
	acceptShare = 0.5
	// waitShare is the share of the grace period after which no request waits for a
	// target any more.
	waitShare = 0.85
	// drainShare is the share of the grace period after which open requests are
	// aborted.
	drainShare = 0.93
	// exitShare is the share of the grace period after which the process ends.
	exitShare = 0.97
)

// Handlers are the HTTP handlers and header names of the platform's interface.
type Handlers struct {
	// Ready makes the handler of readiness checks.
	Ready func(ready func() bool) http.Handler
	// Directory makes the handler that tells callers where to connect.
	Directory   func(*Directory) http.Handler
	HeaderNames targetconn.HeaderNames
}

// Process runs an entry: its servers, its copy of the fleet state and its
// gateway.
type Process struct {
	settings  *Settings
	log       *zap.Logger
	clock     sys.Clock
	follower  *fleetview.Follower
	broker    *grants.Broker
	quota     *quota.Limiter
	gateway   *gateway.Gateway
	client    *targetconn.Client
	advice    *targetadvice.Table
	locations *traffic.Locations
	servers   []*server
	callers   *server
	guard     *callerconn.Guard
	draining  chan struct{}
}

// server is one of the servers of an entry.
type server struct {
	*callerconn.Server
	name    string
	address string
	handler http.Handler
	callers bool // serves callers' requests
	peers   bool // serves other processes of the fleet only
}

// limits returns the limits of the routing document.
func (p *Process) limits() routing.Limits {
	if v := p.follower.View(); v.Routes != nil {
		return v.Routes.Document.Limits
	}
	return routing.Limits{}
}

// headBytes returns the size of a head from which on it is not read further. Heads
// that are little over the limit of the document get their response from the
// gateway.
func (p *Process) headBytes() int64 {
	if limit := p.limits().MaxHeaderBytes; limit > 0 {
		return min(limit+headMargin, maxHeaderBytes)
	}
	return maxHeaderBytes
}

// New builds the entry and opens its listeners.
func New(s *Settings, h Handlers, clock sys.Clock, log *zap.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, clock: clock, draining: make(chan struct{})}
	self := fleetstate.Entry{
		Name: s.Name, Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		Incarnation: uint64(clock.Now().UnixMilli()), State: fleetstate.Serving,
	}
	p.guard = callerconn.NewGuard(s.Callers, int64(s.MemoryMB)<<20, callerconn.Shares{Bodies: bodyMemoryDivisor, Responses: responseMemoryDivisor, Requests: requestMemoryDivisor}, log)
	p.locations = traffic.NewLocations(s.DataCentre, s.DataCentres)
	peers := peerhttp.New(p.locations)
	p.client = targetconn.New(clock, h.HeaderNames, p.guard.Responses, p.locations)
	p.advice = targetadvice.New(clock, log)
	p.client.OnAdvice(p.advice.Record)
	var broker *grants.Broker
	p.follower = fleetview.NewFollower(fleetview.Options{
		Self: self, Seeds: s.seedPeers(), Peers: peerhttp.NewCompressed(p.locations), Clock: clock, Log: log,
		Boot: sys.RealBootClock{}, RevocationLimit: s.RevocationLimit.Std(),
		OnChange: func(v *fleetview.View) {
			p.locations.Update(v.Locations())
			broker.ViewChanged(v)
			p.quota.ViewChanged(v)
			p.closeStaleConnections(v)
			p.advice.Retain(v.Targets)
		},
	})
	p.quota = quota.New(quota.Options{
		Self: self, Settings: s.quotaSettings(), Regions: s.DataCentres, LowBandwidth: s.lowBandwidth(), View: p.follower.View,
		Fresh: func() bool { return p.follower.FreshWithin(quota.ContactLimit) }, Peers: peers, Now: sys.RealBootClock{}.SinceBoot, Log: log,
	})
	broker = grants.New(grants.Options{
		Self: self, Settings: s.poolSettings(), Regions: s.DataCentres, LowBandwidth: s.lowBandwidth(), View: p.follower.View, Fresh: p.follower.Fresh,
		Advice: p.advice, Quota: p.quota, Peers: peers, Clock: clock, Log: log,
	})
	p.broker = broker
	p.gateway = gateway.New(gateway.Options{
		Name: s.Name, DataCentre: s.DataCentre, HeaderNames: h.HeaderNames, View: p.follower.View, ViewChanged: p.follower.Changed, Confirmed: p.confirmed, Broker: broker,
		Sender: p.client, Advice: p.advice, Clock: clock, Log: log, BodyMemory: p.guard.Bodies,
	})
	directory := &Directory{follower: p.follower, lowBandwidth: s.lowBandwidth(), ttl: s.AddressTTL.Std()}
	p.callers = &server{name: "callers", address: s.CallerAddress, handler: p.gateway, callers: true}
	p.servers = []*server{
		p.callers,
		{name: "ready", address: s.ReadyAddress, handler: h.Ready(p.Ready)},
		{name: "directory", address: s.DirectoryAddress, handler: h.Directory(directory)},
		{name: "peers", address: s.PeerAddress, handler: peerHandler(broker, p.quota), peers: true},
	}
	return p, p.listen()
}

func peerHandler(broker *grants.Broker, limiter *quota.Limiter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(quota.ExchangePath, limiter.Handler())
	mux.Handle(quota.ReleasePath, limiter.Handler())
	mux.Handle(quota.AgePath, limiter.Handler())
	mux.Handle("/fleet/v1/", broker.Handler())
	mux.HandleFunc("GET /fleet/v1/pools", func(w http.ResponseWriter, _ *http.Request) { peerhttp.WriteJSON(w, broker.Pools()) })
	mux.Handle("GET /metrics", telemetry.MetricsHandler())
	return mux
}

// listen opens the listeners of all servers.
func (p *Process) listen() error {
	for _, s := range p.servers {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return trace.Wrap(err, "listener for %s", s.name)
		}
		s.Server = p.newServer(s, listener)
	}
	return nil
}

// newServer returns a server on the listener. What clients other than the processes of
// the fleet may take is limited.
func (p *Process) newServer(s *server, listener net.Listener) *callerconn.Server {
	httpServer := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(p.log.Named(s.name)),
	}
	if !s.callers {
		httpServer.ReadTimeout = readTimeout
	}
	if s.peers {
		return callerconn.NewServer(httpServer, listener)
	}
	return p.guard.NewServer(httpServer, listener, callerconn.Options{
		Name: s.name, Side: !s.callers, HeadBytes: p.headBytes,
		HeadTime: func() time.Duration { return p.limits().HeaderTimeout },
		IdleTime: func() time.Duration { return p.limits().IdleTimeout },
	})
}

// confirmed reports whether the view that is loaded afterwards may decide about keys.
func (p *Process) confirmed() bool {
	limit := p.settings.RevocationLimit.Std()
	return limit == 0 || p.follower.ConfirmedWithin(limit)
}

// Ready reports whether the entry should get requests: it has a routing document, has
// had the proof that it needs for keys, and is not draining. It stays ready without
// contact, since it still serves requests without a key.
func (p *Process) Ready() bool {
	select {
	case <-p.draining:
		return false
	default:
		return canServe(p.follower.View().Routes, p.settings.RevocationLimit.Std(), p.follower.HasProof())
	}
}

// canServe reports whether an entry with the routes can serve requests: it has a proof if
// keys need one.
func canServe(routes *routing.Table, limit time.Duration, hasProof bool) bool {
	return routes != nil && (hasProof || limit == 0 || len(routes.Document.Tenants) == 0)
}

// SetSeeds replaces the seeds after a reload of the settings.
func (p *Process) SetSeeds(s *Settings) {
	p.follower.SetSeeds(s.seedPeers())
	p.log.Info("seeds updated", zap.Strings("seeds", s.Seeds))
}

// closeStaleConnections closes idle connections to targets that are not in the
// view.
func (p *Process) closeStaleConnections(v *fleetview.View) {
	targets := make(map[targetconn.Target]bool, len(v.Targets))
	for _, t := range v.Targets {
		targets[targetconn.Target{ID: t.ID, Address: t.Address, StartedAtMS: t.StartedAtMS}] = true
	}
	p.client.RetainTargets(targets)
}

// Run serves until ctx is done, then drains. It returns an error if a server
// fails.
func (p *Process) Run(ctx context.Context) error {
	failed := make(chan error, len(p.servers))
	for _, s := range p.servers {
		go func() {
			if err := s.Serve(); !errors.Is(err, http.ErrServerClosed) {
				failed <- trace.Wrap(err, "server for %s", s.name)
			}
		}()
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go p.follower.Run(background)
	go p.broker.Run(background)
	go p.quota.Run(background)
	p.log.Info("entry started", zap.String("callers", p.settings.CallerAddress), zap.String("peers", p.settings.PeerAddress))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// drain first withdraws the entry from the directory and fails readiness checks,
// continues to accept requests for a while, and returns once all requests are
// finished or the grace period is nearly over.
func (p *Process) drain() {
	started := p.clock.Now()
	grace := float64(p.settings.Grace.Std())
	after := func(share float64) time.Duration {
		return started.Add(time.Duration(share * grace)).Sub(p.clock.Now())
	}
	close(p.draining)
	p.quota.Drain()
	p.follower.SetState(fleetstate.Leaving)
	p.gateway.Drain()
	p.log.Info("entry draining", zap.Int64("in_flight", p.gateway.InFlight()))
	time.Sleep(after(acceptShare))
	p.gateway.RejectNew()
	p.log.Info("entry closes its callers' listener", zap.Int64("in_flight", p.gateway.InFlight()), zap.Duration("after", p.clock.Now().Sub(started)))
	defer time.AfterFunc(after(waitShare), p.gateway.EndWaits).Stop()
	ctx, cancel := context.WithTimeout(context.Background(), after(drainShare))
	defer cancel()
	if err := p.callers.Drain(ctx); err != nil {
		p.log.Warn("requests aborted at the end of the grace period", zap.Int64("in_flight", p.gateway.InFlight()), zap.Error(err))
	}
	p.drainOtherServers(after(exitShare))
	p.log.Info("entry stopped", zap.Duration("took", p.clock.Now().Sub(started)))
}

// drainOtherServers drains the servers that requests and other entries need until the
// end.
func (p *Process) drainOtherServers(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var drains sync.WaitGroup
	for _, s := range p.servers {
		if s == p.callers {
			continue
		}
		drains.Go(func() {
			if err := s.Drain(ctx); err != nil {
				p.log.Warn("calls aborted at the end of the grace period", zap.String("server", s.name), zap.Error(err))
			}
		})
	}
	drains.Wait()
}
