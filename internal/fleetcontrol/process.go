package fleetcontrol

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

const (
	groupName      = "fleet"
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second // for a whole request; every call is answered long before
	idleTimeout    = time.Minute
	leaveTimeout   = 5 * ElectionTimeout // for an election and the removal of a lost member, on which the group may depend
	leaveShare     = 0.75                // share of the grace period that leaving the group may take at most
	callShare      = 0.85                // share of the grace period after which open calls of operators and targets are aborted
	drainShare     = 0.9                 // share of the grace period after which open calls of peers are aborted
	maxHeaderBytes = 64 << 10
	// bodyMemoryDivisor is the part of the memory for documents that are being
	// received; responseMemoryDivisor that for responses, which are small copies of
	// the state.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 16
	requestMemoryDivisor  = 16 // for the heads and handlers of requests
)

// Process runs a control member with its servers.
type Process struct {
	settings *Settings
	log      *zap.Logger
	group    *consensus.Group
	member   *Member
	peers    *callerconn.Server
	control  *callerconn.Server
}

// NewProcess opens the data folder and the listeners. Api makes the handler for
// operators and targets.
func NewProcess(s *Settings, api func(*Member) http.Handler, clock sys.Clock, log *zap.Logger) (*Process, error) {
	dir, err := disk.Open(s.DataFolder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stateMachine := fleetstate.NewStateMachine()
	locations := traffic.NewLocations(s.DataCentre, s.DataCentres)
	group, err := consensus.Start(consensus.Config{
		Group: groupName, Self: s.PeerAddress, Dynamic: true, Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance,
		Members: lo.Map(s.seedPeers(), func(address string, _ int) consensus.Member {
			return consensus.Member{Slot: address, Address: address}
		}),
		Locations: locations, Storage: consensus.DiskStorage(dir), StateMachine: stateMachine, Clock: clock, Logger: log,
		HeartbeatInterval: HeartbeatInterval, ElectionTimeout: ElectionTimeout,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	member := New(Options{
		Self: fleetstate.Member{
			PeerAddress: s.PeerAddress, ControlAddress: s.ControlAddress, Region: s.Region, DataCentre: s.DataCentre,
		},
		Group: group, StateMachine: stateMachine, Locations: locations, Clock: clock, Boot: sys.RealBootClock{}, Log: log,
	})
	mux := http.NewServeMux()
	mux.Handle("/fleet/v1/", member.Handler())
	mux.Handle(group.PathPrefix()+"/", group.Handler())
	mux.Handle("GET /metrics", telemetry.MetricsHandler())
	mux.HandleFunc("GET /fleet/v1/group", func(w http.ResponseWriter, _ *http.Request) { peerhttp.WriteJSON(w, group.Status()) })
	p := &Process{
		settings: s, log: log, group: group, member: member,
	}
	if err := p.listen(mux, api(member)); err != nil {
		group.Stop()
		return nil, trace.Wrap(err)
	}
	return p, nil
}

// listen opens the listeners of both servers.
func (p *Process) listen(peers, control http.Handler) error {
	peerListener, err := net.Listen("tcp", p.settings.PeerAddress)
	if err != nil {
		return err
	}
	controlListener, err := net.Listen("tcp", p.settings.ControlAddress)
	if err != nil {
		_ = peerListener.Close()
		return err
	}
	guard := callerconn.NewGuard(p.settings.Callers, int64(p.settings.MemoryMB)<<20, callerconn.Shares{Bodies: bodyMemoryDivisor, Responses: responseMemoryDivisor, Requests: requestMemoryDivisor}, p.log)
	p.peers = callerconn.NewServer(newServer(peers, p.log), peerListener)
	p.control = guard.NewServer(newServer(control, p.log), controlListener, callerconn.Options{
		Name: "control", HeadBytes: func() int64 { return maxHeaderBytes }, IdleTime: func() time.Duration { return idleTimeout },
	})
	return nil
}

func newServer(handler http.Handler, log *zap.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(log),
	}
}

// Run serves until ctx is done, then drains. It returns an error if a server or
// the consensus member fails.
func (p *Process) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	for _, server := range []*callerconn.Server{p.peers, p.control} {
		go func() {
			if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
				failed <- trace.Wrap(err)
			}
		}()
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go p.member.Run(background)
	p.log.Info("control member started", zap.String("peers", p.settings.PeerAddress), zap.Bool("bootstrap", p.settings.Bootstrap), zap.Int("fault_tolerance", p.settings.FaultTolerance), zap.Strings("seeds", p.settings.Seeds))
	select {
	case err := <-failed:
		p.group.Stop()
		return err
	case <-p.group.Done():
		return trace.Wrap(p.group.Err(), "consensus member stopped")
	case <-ctx.Done():
	}
	p.drain()
	return nil
}

// SetSeeds replaces the seeds after a reload of the settings.
func (p *Process) SetSeeds(s *Settings) {
	seeds := s.seedPeers()
	p.group.SetSeeds(seeds)
	p.log.Info("seeds updated", zap.Strings("seeds", seeds))
}

// drain leaves the consensus group, finishes open calls and stops. Calls of operators
// and targets may need those of peers, which are finished last.
func (p *Process) drain() {
	p.log.Info("control member draining", zap.String("role", string(p.group.Status().Role)))
	p.member.Drain()
	started := time.Now()
	until := func(share float64) (context.Context, context.CancelFunc) {
		return context.WithDeadline(context.Background(), started.Add(time.Duration(share*float64(p.settings.Grace.Std()))))
	}
	leaving, cancel := until(leaveShare)
	defer cancel()
	p.leaveGroup(leaving)
	calls, cancel := until(callShare)
	defer cancel()
	if err := p.control.Drain(calls); err != nil {
		p.log.Warn("calls of operators and targets aborted", zap.Error(err))
	}
	peers, cancel := until(drainShare)
	defer cancel()
	if err := p.peers.Drain(peers); err != nil {
		p.log.Warn("calls of peers aborted", zap.Error(err))
	}
	p.group.Stop()
	p.log.Info("control member stopped")
}

// leaveGroup waits until the consensus group no longer depends on this member,
// for at most leaveTimeout.
func (p *Process) leaveGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := p.group.Leave(ctx); err != nil {
		p.log.Warn("stopping although the consensus group may depend on this member", zap.Error(err))
	}
}
