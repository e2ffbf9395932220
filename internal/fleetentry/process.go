package fleetentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
	"github.com/sequoialane/sequoialane/internal/gateway"
	"github.com/sequoialane/sequoialane/internal/grants"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	// callerIdle is longer than any idle time that a routing document allows, so
	// that this side never closes a connection on which a request is coming.
	callerIdle     = 5 * time.Minute
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 256 << 10
	// acceptPart of the grace time passes after SIGTERM before the listener for
	// callers closes, since callers keep answers of the directory for a while.
	acceptPart = 0.5
	// endPart of the grace time is when the process ends at the latest.
	endPart = 0.93
)

// Handlers are the parts of the outside interface that translate.
type Handlers struct {
	// Ready answers readiness checks.
	Ready func(ready func() bool) http.Handler
	// Directory answers questions where to connect.
	Directory func(*Directory) http.Handler
	Names     targetconn.HeaderNames
}

// Process is an entry.
type Process struct {
	settings *Settings
	log      *zap.Logger
	clock    sys.Clock
	follower *fleetview.Follower
	broker   *grants.Broker
	gateway  *gateway.Gateway
	client   *targetconn.Client
	servers  []*server
	callers  *server
	draining chan struct{}
}

type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// New opens the listeners and wires the entry.
func New(s *Settings, h Handlers, clock sys.Clock, log *zap.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, clock: clock, draining: make(chan struct{})}
	self := fleetstate.Entry{
		Name: s.Name, Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		Incarnation: uint64(clock.Now().UnixMilli()), State: fleetstate.Serving,
	}
	peers := peerhttp.New()
	p.client = targetconn.New(clock, h.Names)
	var broker *grants.Broker
	p.follower = fleetview.NewFollower(fleetview.Options{
		Self: self, Seeds: s.seedPeers(), Peers: peerhttp.NewCompressed(), Clock: clock, Log: log,
		OnChange: func(v *fleetview.View) {
			broker.ViewChanged(v)
			p.retainConnections(v)
		},
	})
	broker = grants.New(grants.Options{
		Self: self, Settings: s.poolSettings(), Regions: s.DataCentres, Thin: s.thin(), View: p.follower.View,
		Peers: peers, Clock: clock, Log: log,
	})
	p.broker = broker
	p.gateway = gateway.New(gateway.Options{
		Name: s.Name, DataCentre: s.DataCentre, HeaderNames: h.Names, View: p.follower.View, Broker: broker,
		Sender: p.client, Clock: clock, Log: log, BodyMemory: s.bodyMemory(),
	})
	directory := &Directory{follower: p.follower, thin: s.thin(), ttl: s.AddressTTL.Std()}
	p.callers = &server{name: "callers", http: &http.Server{Handler: p.gateway}}
	p.servers = []*server{
		p.callers,
		{name: "ready", http: &http.Server{Handler: h.Ready(p.Ready)}},
		{name: "directory", http: &http.Server{Handler: h.Directory(directory)}},
		{name: "peers", http: &http.Server{Handler: peerHandler(broker)}},
	}
	return p, p.listen([]string{s.CallerAddress, s.ReadyAddress, s.DirectoryAddress, s.PeerAddress})
}

func peerHandler(broker *grants.Broker) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/fleet/v1/", broker.Handler())
	mux.HandleFunc("GET /fleet/v1/pools", func(w http.ResponseWriter, _ *http.Request) { peerhttp.Answer(w, broker.Status()) })
	mux.Handle("GET /metrics", telemetry.MetricsHandler())
	return mux
}

func (p *Process) listen(addresses []string) error {
	for i, s := range p.servers {
		listener, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return trace.Wrap(err, "listener for %s", s.name)
		}
		s.listener = listener
		s.http.ReadHeaderTimeout = headerTimeout
		s.http.IdleTimeout = callerIdle
		s.http.MaxHeaderBytes = maxHeaderBytes
		s.http.ErrorLog = zap.NewStdLog(p.log.Named(s.name))
	}
	return nil
}

// Ready reports whether the entry should get requests.
func (p *Process) Ready() bool {
	select {
	case <-p.draining:
		return false
	default:
		return p.follower.View().Routes != nil
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (p *Process) SetSeeds(s *Settings) {
	p.follower.SetSeeds(s.seedPeers())
	p.log.Info("settings reloaded", zap.Strings("seeds", s.Seeds))
}

// retainConnections closes idle connections to targets that are gone.
func (p *Process) retainConnections(v *fleetview.View) {
	targets := make(map[targetconn.Target]bool, len(v.Targets))
	for _, t := range v.Targets {
		targets[targetconn.Target{ID: t.ID, Address: t.Address}] = true
	}
	p.client.Retain(targets)
}

// Run serves until ctx ends, then finishes what is in flight.
func (p *Process) Run(ctx context.Context) error {
	failed := make(chan error, len(p.servers))
	for _, s := range p.servers {
		go func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- trace.Wrap(err, "server for %s", s.name)
			}
		}()
	}
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go p.follower.Run(following)
	go p.broker.Run(following)
	p.log.Info("entry started", zap.String("callers", p.settings.CallerAddress), zap.String("peers", p.settings.PeerAddress))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// drain leaves the directory and readiness first, goes on accepting for a
// while, and ends once all requests are answered.
func (p *Process) drain() {
	started := p.clock.Now()
	grace := float64(p.settings.Grace.Std())
	close(p.draining)
	p.follower.SetState(fleetstate.Leaving)
	p.gateway.Drain()
	p.log.Info("entry draining", zap.Int64("in_flight", p.gateway.InFlight()))
	time.Sleep(time.Duration(acceptPart * grace))
	end := started.Add(time.Duration(endPart * grace))
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(p.clock.Now()))
	defer cancel()
	if err := p.callers.http.Shutdown(ctx); err != nil {
		p.log.Warn("requests cut by the end of the grace time", zap.Int64("in_flight", p.gateway.InFlight()), zap.Error(err))
	}
	p.log.Info("entry stopped", zap.Duration("took", p.clock.Now().Sub(started)))
}
