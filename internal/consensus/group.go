package consensus

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Sizes of the queues of a Group.
const (
	inboxBatches    = 256
	queuedProposals = 1024
	maxWaiting      = 16_384 // proposals without a result
	maxRound        = 512    // requests taken in one round of the loop
)

// Group is a running member of a group. Its methods are safe for concurrent
// use.
type Group struct {
	config    Config
	core      *core
	transport *transport

	inbox     chan []message
	proposals chan *proposal
	reads     chan *read
	transfers chan chan error
	failed    chan MemberID // snapshots that could not be sent
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	status    atomic.Pointer[Status]
	forwarded *forwardTable
	counters  counters

	waiting    map[uint64]*proposal // by log index
	openReads  map[uint64]*read     // by read id, until confirmed
	laterReads []*read              // confirmed, until applied
	nextRead   uint64
	failure    error

	openTransfers []chan error // calls of TransferLeadership without a result

	slotsLogged bool
}

// Start reads the stored state and runs the member until Stop. The caller must
// serve Handler at PathPrefix on the member's address.
func Start(config Config) (*Group, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	stored, err := config.Storage.open()
	if err != nil {
		return nil, trace.Wrap(err, "group %s", config.Group)
	}
	g := &Group{
		config:    config,
		inbox:     make(chan []message, inboxBatches),
		proposals: make(chan *proposal, queuedProposals),
		reads:     make(chan *read, queuedProposals),
		transfers: make(chan chan error),
		failed:    make(chan MemberID, maxMembers),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		forwarded: newForwardTable(),
		counters:  newCounters(config.Group),
		waiting:   map[uint64]*proposal{},
		openReads: map[uint64]*read{},
	}
	if err := g.restoreStored(stored); err != nil {
		_ = config.Storage.close()
		return nil, err
	}
	g.transport = newTransport(config, g.failed, g.counters)
	g.publishStatus(false)
	go g.run()
	return g, nil
}

func (g *Group) restoreStored(stored storedState) error {
	options := coreOptions{
		self:              MemberID{Slot: g.config.Self, Incarnation: g.newIncarnation()},
		slots:             g.config.slots(),
		dynamic:           g.config.Dynamic,
		mayForm:           g.config.Bootstrap,
		quickStart:        g.config.Dynamic && !g.config.LeaseReads,
		durable:           g.config.Storage.durable(),
		heartbeatInterval: g.config.HeartbeatInterval,
		electionTimeout:   g.config.ElectionTimeout,
		learnerTimeout:    g.config.LearnerTimeout,
		snapshotTimeout:   g.config.SnapshotTimeout,
		snapshotEvery:     uint64(g.config.SnapshotEvery),
		snapshotBytes:     g.config.SnapshotBytes,
		random:            g.config.Rand,
		newIncarnation:    g.newIncarnation,
	}
	g.core = newCore(options, stored.hard, stored.snapshot, stored.entries, g.config.Clock.Now())
	if stored.snapshot.Index == 0 {
		return nil
	}
	if !g.config.Dynamic && !g.core.sameSlots(stored.snapshot.Config) {
		return trace.BadParameter("consensus: group %s has the slots %v, the settings list %v", g.config.Group, stored.snapshot.Config, options.slots)
	}
	return g.restoreMachine(stored.snapshot)
}

// newIncarnation returns a number that this slot has not used before. The low
// bits tell apart restarts within a millisecond. It stays below 2^53, so that
// JSON readers do not round it.
func (g *Group) newIncarnation() uint64 {
	const randomBits = 10
	milliseconds := uint64(max(g.config.Clock.Now().UnixMilli(), 1))
	return milliseconds<<randomBits | g.config.Rand.Uint64N(1<<randomBits)
}

// Stop ends the member and waits for it. It does not hand over leadership;
// TransferLeadership does.
func (g *Group) Stop() {
	g.stopOnce.Do(func() { close(g.stop) })
	<-g.done
}

// Done is closed when the member has stopped, by Stop or by a storage error.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns the storage error that has stopped the member, once Done is
// closed.
func (g *Group) Err() error {
	select {
	case <-g.done:
		return g.failure
	default:
		return nil
	}
}

func (g *Group) run() {
	defer close(g.done)
	defer g.shutDown()
	ticker := g.config.Clock.NewTicker(g.config.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		if err := g.work(); err != nil {
			g.failure = err
			g.counters.storageFailures.Inc()
			g.config.Logger.Error("consensus member stopped: storage failed", zap.String("group", g.config.Group), zap.Error(err))
			return
		}
		if !g.wait(ticker) {
			return
		}
	}
}

// wait blocks for one event and then takes what else is queued.
func (g *Group) wait(ticker sys.Ticker) bool {
	select {
	case <-g.stop:
		return false
	case <-ticker.C():
		g.core.tick(g.config.Clock.Now())
	case messages := <-g.inbox:
		g.step(messages)
	case p := <-g.proposals:
		g.core.tick(g.config.Clock.Now())
		g.takeProposal(p)
	case r := <-g.reads:
		g.core.tick(g.config.Clock.Now())
		g.takeRead(r)
	case done := <-g.transfers:
		g.core.tick(g.config.Clock.Now())
		g.takeTransfer(done)
	case id := <-g.failed:
		g.core.snapshotFailed(id)
	}
	for range maxRound {
		select {
		case messages := <-g.inbox:
			g.step(messages)
		case p := <-g.proposals:
			g.takeProposal(p)
		case r := <-g.reads:
			g.takeRead(r)
		default:
			return true
		}
	}
	return true
}

func (g *Group) step(messages []message) {
	g.core.tick(g.config.Clock.Now())
	for _, m := range messages {
		g.core.step(m)
	}
}

// work does what the core asks for until it asks for nothing.
func (g *Group) work() error {
	if g.core.role == leader {
		g.core.broadcastAppend()
	}
	for {
		g.core.tick(g.config.Clock.Now())
		r, ok := g.core.ready()
		if !ok {
			break
		}
		if err := g.do(r); err != nil {
			return err
		}
		g.core.advance(r)
		if err := g.compact(); err != nil {
			return err
		}
	}
	g.finishReads()
	g.publishStatus(false)
	g.finishTransfers()
	return nil
}

func (g *Group) do(r ready) error {
	if r.discarded {
		if err := g.forget(); err != nil {
			return err
		}
	}
	if err := g.store(r); err != nil {
		return err
	}
	g.transport.send(r.messages)
	if r.snapshot != nil {
		if err := g.restoreMachine(*r.snapshot); err != nil {
			return err
		}
		g.failWaiting(ErrUnknownOutcome)
	}
	for _, entry := range r.committed {
		g.apply(entry)
	}
	g.confirmReads(r)
	return nil
}

func (g *Group) store(r ready) error {
	if r.snapshot != nil {
		return g.config.Storage.saveSnapshot(r.hard, *r.snapshot, r.entries)
	}
	if r.save {
		return g.config.Storage.save(r.hard, r.entries)
	}
	return nil
}

// forget returns the state machine to its initial state.
func (g *Group) forget() error {
	g.counters.discards.Inc()
	g.config.Logger.Warn("consensus member discarded its state",
		zap.String("group", g.config.Group), zap.Uint64("incarnation", g.core.id.Incarnation))
	g.failWaiting(ErrUnknownOutcome)
	return trace.Wrap(g.config.StateMachine.Restore(nil))
}

func (g *Group) restoreMachine(s snapshot) error {
	if err := g.config.StateMachine.Restore(s.Data); err != nil {
		return trace.Wrap(err, "state machine of group %s cannot restore snapshot %d", g.config.Group, s.Index)
	}
	if setter, ok := g.config.StateMachine.(FenceSetter); ok && s.Fence != 0 {
		setter.SetFence(time.Unix(0, s.Fence))
	}
	return nil
}

func (g *Group) apply(entry Entry) {
	var result []byte
	if entry.Kind == entryCommand {
		result = g.config.StateMachine.Apply(entry.Index, entry.Data)
	}
	p := g.waiting[entry.Index]
	if p == nil {
		return
	}
	delete(g.waiting, entry.Index)
	if p.term != entry.Term {
		// Another entry took the index, so the command is never committed.
		p.finish(nil, ErrNotLeader)
		return
	}
	p.finish(result, nil)
}

func (g *Group) compact() error {
	if !g.core.compactDue() {
		return nil
	}
	data, err := g.config.StateMachine.Snapshot()
	if err != nil {
		return trace.Wrap(err, "state machine of group %s cannot make a snapshot", g.config.Group)
	}
	s := g.core.compact(data)
	log := &g.core.log
	return g.config.Storage.saveSnapshot(g.core.hard(), s, log.slice(s.Index+1, log.lastIndex()))
}

func (g *Group) shutDown() {
	g.transport.stop()
	g.failWaiting(ErrUnknownOutcome)
	for _, r := range g.openReads {
		r.finish(ErrStopped)
	}
	for _, r := range g.laterReads {
		r.finish(ErrStopped)
	}
	if err := g.config.Storage.close(); err != nil && g.failure == nil {
		g.failure = err
	}
	g.publishStatus(true)
}
