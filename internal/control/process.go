package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const readinessInterval = 200 * time.Millisecond

// Process serves a control member on its API and peer addresses.
type Process struct {
	api          *httpserver.Server
	peer         *httpserver.Server
	contact      *ContactMonitor
	catalog      Catalog
	clock        sys.Clock
	log          *zap.Logger
	groupStopped <-chan struct{}
	done         chan struct{}
	drainTimeout time.Duration

	transferLeadership func(context.Context) error
}

// ProcessOptions configures a Process.
type ProcessOptions struct {
	Settings     *Settings
	Group        Group
	GroupHandler http.Handler    // handles messages of the consensus group
	GroupStopped <-chan struct{} // closed when the consensus member has stopped by itself
	// TransferLeadership transfers the leadership of the group at shutdown; nil:
	// no transfer.
	TransferLeadership func(ctx context.Context) error

	Catalog       Catalog
	OperatorToken string
	FleetToken    string
	Clock         sys.Clock
	Log           *zap.Logger
}

// NewProcess opens both listeners. No request is served before Run.
func NewProcess(options ProcessOptions) (*Process, error) {
	self, found := options.Settings.Self()
	if !found {
		return nil, trace.BadParameter("member %q is not in the settings", options.Settings.Name)
	}
	p := &Process{
		contact:      NewContactMonitor(options.Group, options.Clock),
		catalog:      options.Catalog,
		clock:        options.Clock,
		log:          options.Log,
		groupStopped: options.GroupStopped,
		done:         make(chan struct{}),
		drainTimeout: options.Settings.DrainTimeout.Std(),

		transferLeadership: options.TransferLeadership,
	}
	submitter := NewSubmitter(options.Group, options.Catalog, options.Clock, options.Log)
	handler := NewHandler(Options{
		Group:         options.Group,
		Catalog:       options.Catalog,
		Submitter:     submitter,
		InContact:     p.contact.InContact,
		APIAddresses:  options.Settings.APIAddresses(),
		OperatorToken: options.OperatorToken,
		FleetToken:    options.FleetToken,
		Clock:         options.Clock,
		Done:          p.done,
	})
	var err error
	if p.peer, err = httpserver.Listen(self.PeerAddress, options.GroupHandler); err != nil {
		return nil, trace.Wrap(err)
	}
	guard := callerconn.NewGuard(options.Settings.Callers, int64(options.Settings.MemoryMB)<<20, callerconn.Shares{Bodies: bodyMemoryDivisor, Responses: responseMemoryDivisor, Requests: requestMemoryDivisor}, options.Log)
	if p.api, err = httpserver.ListenCallers(self.APIAddress, handler, guard, 0); err != nil {
		_ = p.peer.Close()
		return nil, trace.Wrap(err)
	}
	return p, nil
}

// ErrGroupStopped reports that the consensus member stopped because of a
// storage error, which its log line and status name.
var ErrGroupStopped = errors.New("control: the consensus member has stopped")

// APIAddress returns the address of the administration API.
func (p *Process) APIAddress() string { return p.api.Address() }

// Run serves until ctx ends, and then drains. It returns an error if a
// listener fails or the consensus member stops by itself.
func (p *Process) Run(ctx context.Context) error {
	p.peer.Start()
	p.api.Start()
	p.log.Info("control member started", zap.String("api_address", p.api.Address()), zap.String("peer_address", p.peer.Address()))
	monitorCtx, stopMonitor := context.WithCancel(context.Background())
	defer stopMonitor()
	go p.contact.Run(monitorCtx)
	ticker := p.clock.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		p.updateStatus()
		select {
		case <-ticker.C():
		case err := <-p.api.Errors():
			return trace.Wrap(err)
		case err := <-p.peer.Errors():
			return trace.Wrap(err)
		case <-p.groupStopped:
			_ = p.shutdown()
			return ErrGroupStopped
		case <-ctx.Done():
			return p.shutdown()
		}
	}
}

// updateStatus updates readiness and gauges.
func (p *Process) updateStatus() {
	ready := p.contact.InContact()
	p.api.SetReady(ready)
	p.peer.SetReady(ready)
	current := p.catalog.Current()
	metrics.GetOrCreateGauge("sequoialane_control_in_contact", nil).Set(lo.Ternary(ready, 1.0, 0.0))
	metrics.GetOrCreateGauge("sequoialane_control_catalog_version", nil).Set(float64(current.Version()))
	metrics.GetOrCreateGauge("sequoialane_control_plans", nil).Set(float64(current.PlanCount()))
}

// shutdown ends waiting polls and waits for requests in flight, up to the drain
// timeout. The peer address is served until the end, since those requests may
// need the group.
func (p *Process) shutdown() error {
	p.log.Info("control member draining")
	ctx, cancel := context.WithTimeout(context.Background(), p.drainTimeout)
	defer cancel()
	close(p.done)
	if err := p.api.Shutdown(ctx); err != nil {
		p.log.Warn("requests in flight aborted at shutdown", zap.Error(err))
		_ = p.api.Close()
	}
	p.handOverLeadership(ctx)
	if err := p.peer.Shutdown(ctx); err != nil {
		_ = p.peer.Close()
	}
	return nil
}

// handOverLeadership transfers leadership, which saves the group an election
// timeout. Responses of the other members arrive at the peer address, so it must
// still be served.
func (p *Process) handOverLeadership(ctx context.Context) {
	if p.transferLeadership == nil {
		return
	}
	if err := p.transferLeadership(ctx); err != nil {
		p.log.Warn("leadership transfer at shutdown failed", zap.Error(err))
	}
}
