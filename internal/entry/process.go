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

// GossipDriver is the running gossip of an entry.
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
	// Ready is closed once each member of this entry holds its group's state.
	Ready() <-chan struct{}
	// TransferLeadership hands over the groups that this entry leads. The peer
	// port must still be served.
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
	Draining   chan struct{} // closed when long polls of peers shall end
	DrainLimit time.Duration
	Log        *zap.Logger
}

// Run serves until ctx ends, then drains and returns nil if no request in
// flight was cut.
func (p *Process) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { p.Follower.Run(work) })
	p.Peers.Start()
	p.Callers.Start()
	p.Entry.StartJobs()
	background.Go(func() { p.announceReady(work) })
	err := p.serve(ctx)
	stop()
	p.Claims.Stop()
	p.Entry.pool.Stop()
	p.Gossip.Stop()
	background.Wait()
	return err
}

func (p *Process) serve(ctx context.Context) error {
	select {
	case err := <-p.Callers.Failed():
		return trace.Wrap(err, "caller port")
	case err := <-p.Peers.Failed():
		return trace.Wrap(err, "peer port")
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), p.DrainLimit)
	defer cancel()
	return p.Entry.Shutdown(drain, p.Callers, drainingPeers{p.Peers, p}, p.Dispatcher)
}

// announceReady makes the process ready once it serves and its claim group
// members hold their state, so that a rolling restart never leaves a group
// without a majority.
func (p *Process) announceReady(ctx context.Context) {
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

// drainingPeers ends long polls and hands over the claim groups before it waits
// for the requests in flight.
type drainingPeers struct {
	*httpserver.Server
	process *Process
}

// Shutdown implements Servers.
func (d drainingPeers) Shutdown(ctx context.Context) error {
	close(d.process.Draining)
	if err := d.process.Claims.TransferLeadership(ctx); err != nil {
		d.process.Log.Warn("a claim group was not handed over", zap.Error(err))
	}
	return d.Server.Shutdown(ctx)
}

// NewTransport returns a transport for the system's own links: it notices
// bytes that are not acknowledged within 700 ms.
func NewTransport() *http.Transport { return newPeerTransport(dialPeer) }
