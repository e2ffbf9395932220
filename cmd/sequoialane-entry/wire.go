package main

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

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
	backgroundQueue   = 4096
)

// serve wires the process and runs it until ctx ends.
func serve(ctx context.Context, l loaded) error {
	flush, err := telemetry.SetupTracing(ctx, l.settings.Telemetry, processName)
	if err != nil {
		return trace.Wrap(err)
	}
	defer flushTraces(flush)
	process, err := do.Invoke[*entry.Process](newInjector(l))
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

// draining is closed when long polls of peers shall end.
type draining chan struct{}

func newInjector(l loaded) do.Injector {
	i := do.New()
	do.ProvideValue(i, l)
	do.ProvideValue[sys.Clock](i, sys.RealClock{})
	do.ProvideValue(i, draining(make(chan struct{})))
	do.ProvideValue(i, workerpool.New(backgroundWorkers, backgroundQueue))
	do.ProvideValue(i, &http.Client{Transport: entry.NewTransport()})
	do.Provide(i, newLogger)
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
	l := do.MustInvoke[loaded](i)
	log, err := telemetry.NewLogger(l.settings.Telemetry, processName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return log.With(zap.String("entry", l.settings.Name)), nil
}

func seededRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newTable(i do.Injector) (*membership.Table, error) {
	l := do.MustInvoke[loaded](i)
	now := do.MustInvoke[sys.Clock](i).Now()
	self := membership.Member{
		Name:          l.settings.Name,
		Region:        l.settings.Region,
		DataCentre:    l.settings.DataCentre,
		CallerAddress: l.settings.CallerAddress,
		PeerAddress:   l.settings.PeerAddress,
		GossipAddress: l.settings.GossipAddress,
		Incarnation:   uint64(now.UnixMilli()),
		State:         membership.Alive,
		Isolated:      true, // until the catalog copy is fresh
	}
	return membership.NewTable(self, []byte(l.tokens.Fleet), seededRand(), now), nil
}

func newGossip(i do.Injector) (*membership.Driver, error) {
	l := do.MustInvoke[loaded](i)
	conn, err := net.ListenPacket("udp", l.settings.GossipAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return membership.StartDriver(membership.DriverOptions{
		Table:  do.MustInvoke[*membership.Table](i),
		Conn:   conn,
		Client: do.MustInvoke[*http.Client](i),
		Token:  l.tokens.Fleet,
		Seeds:  l.settings.Seeds,
		Clock:  do.MustInvoke[sys.Clock](i),
		Rand:   seededRand(),
		Log:    do.MustInvoke[*zap.Logger](i),
	}), nil
}

func newFollower(i do.Injector) (*configsync.Follower, error) {
	l := do.MustInvoke[loaded](i)
	table := do.MustInvoke[*membership.Table](i)
	options := configsync.Options{
		Name:          l.settings.Name,
		Region:        l.settings.Region,
		DataCentre:    l.settings.DataCentre,
		Control:       l.settings.Control,
		DataCentres:   l.settings.DataCentres,
		Peers:         func() []configsync.Peer { return followedPeers(table) },
		HTTP:          do.MustInvoke[*http.Client](i),
		FleetToken:    l.tokens.Fleet,
		RegionCutTime: l.settings.RegionCutGrace.Std(),
		Clock:         do.MustInvoke[sys.Clock](i),
		Log:           do.MustInvoke[*zap.Logger](i),
	}
	if l.settings.DataFolder == "" {
		return configsync.New(options), nil
	}
	dir, err := disk.Open(l.settings.DataFolder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options.Dir = dir
	return configsync.New(options), nil
}

func followedPeers(table *membership.Table) []configsync.Peer {
	return lo.Map(table.Others(), func(s membership.Seen, _ int) configsync.Peer {
		return configsync.Peer{Member: s.Member, LastHeard: s.LastHeard}
	})
}

func newDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	l := do.MustInvoke[loaded](i)
	table := do.MustInvoke[*membership.Table](i)
	clock := do.MustInvoke[sys.Clock](i)
	return dispatch.New(dispatch.Config{
		Claims:     do.MustInvoke[*entry.Claims](i).Client,
		Sender:     upstreamclient.New(clock),
		Clock:      clock,
		Log:        do.MustInvoke[*zap.Logger](i),
		Holder:     claims.HolderName(table.Self().Name, table.Self().Incarnation),
		HolderDead: func(holder string) bool { return claims.HolderDead(table.Members(), holder) },
		NewAttempt: func() string { return uuid.NewString() },
		Limits:     limits(l),
	}), nil
}

func newEntry(i do.Injector) (*entry.Entry, error) {
	l := do.MustInvoke[loaded](i)
	return entry.New(entry.Options{
		Table:        do.MustInvoke[*membership.Table](i),
		Gossip:       do.MustInvoke[*membership.Driver](i),
		Catalog:      do.MustInvoke[*configsync.Follower](i),
		Runner:       do.MustInvoke[*dispatch.Dispatcher](i),
		Leases:       do.MustInvoke[*entry.Claims](i).Leases,
		Tokens:       l.tokens,
		Clock:        do.MustInvoke[sys.Clock](i),
		Pool:         do.MustInvoke[*workerpool.Pool](i),
		Log:          do.MustInvoke[*zap.Logger](i),
		TimeToLive:   l.settings.TimeToLive.Std(),
		FloorPercent: l.settings.FloorPercent,
		Version:      version,
	}), nil
}

func newProcess(i do.Injector) (*entry.Process, error) {
	l := do.MustInvoke[loaded](i)
	e := do.MustInvoke[*entry.Entry](i)
	parts := do.MustInvoke[*entry.Claims](i)
	done := do.MustInvoke[draining](i)
	further := map[string]http.Handler{"GET " + catalogfeed.PeerPath: do.MustInvoke[*configsync.Follower](i).PeerHandler(done)}
	maps.Copy(further, parts.Handlers)
	peers, err := httpserver.Listen(l.settings.PeerAddress, e.PeerHandler(further))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callers, err := httpserver.Listen(l.settings.CallerAddress, e.CallerHandler())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &entry.Process{
		Entry:      e,
		Callers:    callers,
		Peers:      peers,
		Gossip:     do.MustInvoke[*membership.Driver](i),
		Follower:   do.MustInvoke[*configsync.Follower](i),
		Claims:     parts,
		Dispatcher: do.MustInvoke[*dispatch.Dispatcher](i),
		Draining:   done,
		DrainLimit: l.settings.DrainLimit.Std(),
		Log:        do.MustInvoke[*zap.Logger](i),
	}, nil
}
