package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/httpserver"
)

// GossipDriver runs the gossip of an entry.
type GossipDriver interface {
	Gossip
	Stop()
}

// Follower keeps the catalog copy up to date until ctx ends.
type Follower interface {
	Run(ctx context.Context)
}

// ClaimMembers are the claim group members of this entry.
type ClaimMembers interface {
	// Ready returns a channel that is closed once each member of this entry
	// holds its group's state.
	Ready() <-chan struct{}
	// TransferLeadership transfers the leadership of the groups that this entry
	// leads. The peer port must still be served, since the replies of the other
	// members arrive there.
	TransferLeadership(ctx context.Context) error
	Stop()
}

// Process runs an entry with its servers.
type Process struct {
	Entry      *Entry
	Callers    *httpserver.Server
	Peers      *httpserver.Server
	Gossip     GossipDriver
	Follower   Follower
	Claims     ClaimMembers
	Dispatcher Drainer
	Draining   chan struct{} // closed by Run to end the long polls of peers
	DrainLimit time.Duration
	Log        *zap.Logger
}

// Run serves until ctx ends, then drains. It returns nil if no request in flight
// was aborted.
func (p *Process) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { p.Follower.Run(workCtx) })
	p.Peers.Start()
	p.Callers.Start()
	p.Entry.StartJobs()
	background.Go(func() { p.setReadyWhenStarted(workCtx) })
	err := p.serve(ctx)
	stop()
	p.Claims.Stop()
	p.Entry.workers.Stop()
	p.Gossip.Stop()
	background.Wait()
	return err
}

func (p *Process) serve(ctx context.Context) error {
	select {
	case err := <-p.Callers.Errors():
		return trace.Wrap(err, "caller port")
	case err := <-p.Peers.Errors():
		return trace.Wrap(err, "peer port")
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), p.DrainLimit)
	defer cancel()
	return p.Entry.Shutdown(drainCtx, p.Callers, drainingPeerServer{p.Peers, p}, p.Dispatcher)
}

// setReadyWhenStarted marks the servers as ready once the entry serves and its
// claim group members hold their state, so that a rolling restart never leaves a
// group without a majority.
func (p *Process) setReadyWhenStarted(ctx context.Context) {
	for _, ready := range []<-chan struct{}{p.Entry.Ready(), p.Claims.Ready()} {
		select {
		case <-ready:
		case <-ctx.Done():
			return
		}
	}
	p.Callers.SetReady(true)
	p.Peers.SetReady(true)
	p.Log.Info("ready")
}

// drainingPeerServer is a peer server whose Shutdown ends long polls and
// transfers the leadership of claim groups before it waits for the requests in
// flight.
type drainingPeerServer struct {
	*httpserver.Server
	process *Process
}

// Shutdown implements Servers.
func (d drainingPeerServer) Shutdown(ctx context.Context) error {
	close(d.process.Draining)
	if err := d.process.Claims.TransferLeadership(ctx); err != nil {
		d.process.Log.Warn("leadership transfer of claim groups failed", zap.Error(err))
	}
	return d.Server.Shutdown(ctx)
}

// NewTransport returns a transport for connections within the fleet. It closes a
// connection whose bytes are not acknowledged within 700 ms.
func NewTransport() *http.Transport { return newPeerTransport(dialPeer) }
