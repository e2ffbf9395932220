package main

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/catalogfeed"
	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/disk"
	"github.com/sequoialane/sequoialane/internal/dispatch"
	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/httpserver"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

const (
	processName       = "sequoialane-entry"
	traceFlushTimeout = 2 * time.Second
	backgroundWorkers = 32
	backgroundQueue   = 4096 // maximum number of queued jobs
)

// serve builds the process and runs it until ctx ends.
func serve(ctx context.Context, cfg config) error {
	flush, err := telemetry.SetupTracing(ctx, cfg.settings.Telemetry, processName)
	if err != nil {
		return trace.Wrap(err)
	}
	defer flushTraces(flush)
	debug.SetMemoryLimit(callerconn.HeapLimit(cfg.settings.MemoryMB))
	process, err := do.Invoke[*entry.Process](newInjector(cfg))
	if err != nil {
		return trace.Wrap(err)
	}
	return process.Run(ctx)
}

func flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = flush(ctx)
}

// drainSignal is closed when the process starts to drain, which ends long polls
// of peers.
type drainSignal chan struct{}

func newInjector(cfg config) do.Injector {
	i := do.New()
	do.ProvideValue(i, cfg)
	do.ProvideValue[sys.Clock](i, sys.RealClock{})
	do.ProvideValue(i, drainSignal(make(chan struct{})))
	do.ProvideValue(i, workerpool.New(backgroundWorkers, backgroundQueue))
	do.ProvideValue(i, &http.Client{Transport: entry.NewTransport()})
	do.Provide(i, newLogger)
	do.Provide(i, newGuard)
	do.Provide(i, newTable)
	do.Provide(i, newGossip)
	do.Provide(i, newFollower)
	do.Provide(i, newDispatcher)
	do.Provide(i, newClaims)
	do.Provide(i, newEntry)
	do.Provide(i, newProcess)
	return i
}

func newLogger(i do.Injector) (*zap.Logger, error) {
	cfg := do.MustInvoke[config](i)
	log, err := telemetry.NewLogger(cfg.settings.Telemetry, processName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return log.With(zap.String("entry", cfg.settings.Name)), nil
}

func newGuard(i do.Injector) (*callerconn.Guard, error) {
	return do.MustInvoke[config](i).settings.NewGuard(do.MustInvoke[*zap.Logger](i)), nil
}

func seededRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newTable(i do.Injector) (*membership.Table, error) {
	cfg := do.MustInvoke[config](i)
	now := do.MustInvoke[sys.Clock](i).Now()
	self := membership.Member{
		Name:          cfg.settings.Name,
		Region:        cfg.settings.Region,
		DataCentre:    cfg.settings.DataCentre,
		CallerAddress: cfg.settings.CallerAddress,
		PeerAddress:   cfg.settings.PeerAddress,
		GossipAddress: cfg.settings.GossipAddress,
		Incarnation:   uint64(now.UnixMilli()),
		State:         membership.Alive,
		Isolated:      true, // until the catalog copy is fresh
	}
	return membership.NewTable(self, []byte(cfg.tokens.Fleet), seededRand(), now), nil
}

func newGossip(i do.Injector) (*membership.Driver, error) {
	cfg := do.MustInvoke[config](i)
	conn, err := net.ListenPacket("udp", cfg.settings.GossipAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return membership.StartDriver(membership.DriverOptions{
		Table:  do.MustInvoke[*membership.Table](i),
		Conn:   conn,
		Client: do.MustInvoke[*http.Client](i),
		Token:  cfg.tokens.Fleet,
		Seeds:  cfg.settings.Seeds,
		Clock:  do.MustInvoke[sys.Clock](i),
		Rand:   seededRand(),
		Log:    do.MustInvoke[*zap.Logger](i),
	}), nil
}

func newFollower(i do.Injector) (*configsync.Follower, error) {
	cfg := do.MustInvoke[config](i)
	table := do.MustInvoke[*membership.Table](i)
	options := configsync.Options{
		Name:           cfg.settings.Name,
		Region:         cfg.settings.Region,
		DataCentre:     cfg.settings.DataCentre,
		Control:        cfg.settings.Control,
		DataCentres:    cfg.settings.DataCentres,
		Peers:          func() []configsync.Peer { return followedPeers(table) },
		HTTP:           do.MustInvoke[*http.Client](i),
		FleetToken:     cfg.tokens.Fleet,
		RegionCutGrace: cfg.settings.RegionCutGrace.Std(),
		Clock:          do.MustInvoke[sys.Clock](i),
		Log:            do.MustInvoke[*zap.Logger](i),
	}
	if cfg.settings.DataFolder == "" {
		return configsync.New(options), nil
	}
	dir, err := disk.Open(cfg.settings.DataFolder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options.Dir = dir
	return configsync.New(options), nil
}

func followedPeers(table *membership.Table) []configsync.Peer {
	return lo.Map(table.Others(), func(c membership.MemberContact, _ int) configsync.Peer {
		return configsync.Peer{Member: c.Member, LastContact: c.LastContact}
	})
}

func newDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	cfg := do.MustInvoke[config](i)
	table := do.MustInvoke[*membership.Table](i)
	clock := do.MustInvoke[sys.Clock](i)
	return dispatch.New(dispatch.Config{
		Claims:       do.MustInvoke[*entry.Claims](i).Client,
		Sender:       upstreamclient.New(clock),
		Clock:        clock,
		Log:          do.MustInvoke[*zap.Logger](i),
		Holder:       claims.HolderName(table.Self().Name, table.Self().Incarnation),
		HolderDead:   func(holder string) bool { return claims.HolderDead(table.Members(), holder) },
		NewAttemptID: func() string { return uuid.NewString() },
		Limits:       limits(cfg),
	}), nil
}

func newEntry(i do.Injector) (*entry.Entry, error) {
	cfg := do.MustInvoke[config](i)
	return entry.New(entry.Options{
		Table:        do.MustInvoke[*membership.Table](i),
		Gossip:       do.MustInvoke[*membership.Driver](i),
		Catalog:      do.MustInvoke[*configsync.Follower](i),
		Runner:       do.MustInvoke[*dispatch.Dispatcher](i),
		Leases:       do.MustInvoke[*entry.Claims](i).Leases,
		Tokens:       cfg.tokens,
		Clock:        do.MustInvoke[sys.Clock](i),
		Workers:      do.MustInvoke[*workerpool.Pool](i),
		Log:          do.MustInvoke[*zap.Logger](i),
		TimeToLive:   cfg.settings.TimeToLive.Std(),
		FloorPercent: cfg.settings.FloorPercent,
		Version:      version,
		Guard:        do.MustInvoke[*callerconn.Guard](i),
	}), nil
}

func newProcess(i do.Injector) (*entry.Process, error) {
	cfg := do.MustInvoke[config](i)
	e := do.MustInvoke[*entry.Entry](i)
	entryClaims := do.MustInvoke[*entry.Claims](i)
	done := do.MustInvoke[drainSignal](i)
	extraHandlers := map[string]http.Handler{"GET " + catalogfeed.PeerPath: do.MustInvoke[*configsync.Follower](i).PeerHandler(done)}
	maps.Copy(extraHandlers, entryClaims.Handlers)
	peers, err := httpserver.Listen(cfg.settings.PeerAddress, e.PeerHandler(extraHandlers))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callers, err := httpserver.ListenCallers(cfg.settings.CallerAddress, e.CallerHandler(), do.MustInvoke[*callerconn.Guard](i), entry.RequestBytes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &entry.Process{
		Entry:      e,
		Callers:    callers,
		Peers:      peers,
		Gossip:     do.MustInvoke[*membership.Driver](i),
		Follower:   do.MustInvoke[*configsync.Follower](i),
		Claims:     entryClaims,
		Dispatcher: do.MustInvoke[*dispatch.Dispatcher](i),
		Draining:   done,
		DrainLimit: cfg.settings.DrainLimit.Std(),
		Log:        do.MustInvoke[*zap.Logger](i),
	}, nil
}
