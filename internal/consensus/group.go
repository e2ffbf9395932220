package consensus

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/sys"
)

// Limits of the queues and of the event loop of a Group.
const (
	inboxLength         = 256
	requestQueueLength  = 1024
	maxPendingProposals = 16_384 // proposals without a result
	maxEventsPerRound   = 512    // queued events handled in one iteration of the loop
)

// Group runs one member of a group. Its methods are safe for concurrent use.
type Group struct {
	config    Config
	core      *core
	transport *transport

	inbox           chan []message
	proposals       chan *proposal
	reads           chan *readCall
	transfers       chan chan error
	leaves          chan chan error
	seeds           chan []string
	failedSnapshots chan MemberID // recipients of snapshots that could not be sent
	stop            chan struct{}
	done            chan struct{}
	stopOnce        sync.Once
	status          atomic.Pointer[Status]
	forwarded       *forwardTable
	counters        counters

	pendingProposals map[uint64]*proposal // by log index
	unconfirmedReads map[uint64]*readCall // by read ID
	confirmedReads   []*readCall          // waiting until their index is applied
	lastReadID       uint64
	failure          error

	pendingTransfers []chan error // calls of TransferLeadership without a result
	pendingLeaves    []chan error // calls of Leave without a result

	slotsMismatchLogged bool
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
		config:           config,
		inbox:            make(chan []message, inboxLength),
		proposals:        make(chan *proposal, requestQueueLength),
		reads:            make(chan *readCall, requestQueueLength),
		transfers:        make(chan chan error),
		leaves:           make(chan chan error),
		seeds:            make(chan []string),
		failedSnapshots:  make(chan MemberID, maxMembers),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		forwarded:        newForwardTable(),
		counters:         newCounters(config.Group),
		pendingProposals: map[uint64]*proposal{},
		unconfirmedReads: map[uint64]*readCall{},
	}
	if err := g.restoreStoredState(stored); err != nil {
		_ = config.Storage.close()
		return nil, err
	}
	g.transport = newTransport(config, g.failedSnapshots, g.counters)
	g.publishStatus(false)
	go g.run()
	return g, nil
}

func (g *Group) restoreStoredState(stored storedState) error {
	options := coreOptions{
		self:               MemberID{Slot: g.config.Self, Incarnation: g.newIncarnation()},
		slots:              g.config.slots(),
		dynamic:            g.config.Dynamic,
		bootstrap:          g.config.Bootstrap,
		faultTolerance:     cmp.Or(g.config.FaultTolerance, DefaultFaultTolerance),
		awaitedTolerance:   g.config.awaitedTolerance(),
		shortFirstElection: g.config.Dynamic && !g.config.LeaseReads,
		durable:            g.config.Storage.durable(),
		heartbeatInterval:  g.config.HeartbeatInterval,
		electionTimeout:    g.config.ElectionTimeout,
		learnerTimeout:     g.config.LearnerTimeout,
		snapshotTimeout:    g.config.SnapshotTimeout,
		snapshotEvery:      uint64(g.config.SnapshotEvery),
		snapshotBytes:      g.config.SnapshotBytes,
		random:             g.config.Rand,
		newIncarnation:     g.newIncarnation,
	}
	g.core = newCore(options, stored.hardState, stored.snapshot, stored.entries, g.config.Clock.Now())
	if stored.snapshot.Index == 0 {
		return nil
	}
	if !g.config.Dynamic && !g.core.hasSameSlots(stored.snapshot.Config) {
		return trace.BadParameter("consensus: stored slots of group %s are %v, configured slots are %v", g.config.Group, stored.snapshot.Config, options.slots)
	}
	return g.restoreStateMachine(stored.snapshot)
}

// newIncarnation returns a number that this slot has not used before. The low
// bits are random and distinguish restarts within a millisecond. The number is
// below 2^53, so that JSON readers do not round it.
func (g *Group) newIncarnation() uint64 {
	const randomBits = 10
	milliseconds := uint64(max(g.config.Clock.Now().UnixMilli(), 1))
	return milliseconds<<randomBits | g.config.Rand.Uint64N(1<<randomBits)
}

// Stop stops the member and waits until it has stopped. It does not transfer
// leadership; call TransferLeadership or Leave first.
func (g *Group) Stop() {
	g.stopOnce.Do(func() { close(g.stop) })
	<-g.done
}

// Done returns a channel that is closed when the member has stopped, by Stop or
// by a storage error.
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
		if err := g.processReady(); err != nil {
			g.failure = err
			g.counters.storageFailures.Inc()
			g.config.Logger.Error("consensus member stopped: storage failed", zap.String("group", g.config.Group), zap.Error(err))
			return
		}
		if !g.waitForEvent(ticker) {
			return
		}
	}
}

// waitForEvent waits for one event and handles it together with other queued
// events. It reports false if the member is to stop.
func (g *Group) waitForEvent(ticker sys.Ticker) bool {
	select {
	case <-g.stop:
		return false
	case <-ticker.C():
		g.core.tick(g.config.Clock.Now())
	case messages := <-g.inbox:
		g.step(messages)
	case p := <-g.proposals:
		g.core.tick(g.config.Clock.Now())
		g.handleProposal(p)
	case r := <-g.reads:
		g.core.tick(g.config.Clock.Now())
		g.handleRead(r)
	case done := <-g.transfers:
		g.core.tick(g.config.Clock.Now())
		g.handleTransfer(done)
	case done := <-g.leaves:
		g.core.tick(g.config.Clock.Now())
		g.handleLeave(done)
	case slots := <-g.seeds:
		g.core.seeds = slots
	case id := <-g.failedSnapshots:
		g.core.snapshotFailed(id)
	}
	for range maxEventsPerRound {
		select {
		case messages := <-g.inbox:
			g.step(messages)
		case p := <-g.proposals:
			g.handleProposal(p)
		case r := <-g.reads:
			g.handleRead(r)
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

// processReady does the pending work of the core until there is none.
func (g *Group) processReady() error {
	if g.core.role == leader {
		g.core.broadcastAppend()
	}
	for {
		g.core.tick(g.config.Clock.Now())
		r, ok := g.core.ready()
		if !ok {
			break
		}
		if err := g.handleReady(r); err != nil {
			return err
		}
		g.core.advance(r)
		if err := g.compact(); err != nil {
			return err
		}
	}
	g.finishAppliedReads()
	g.publishStatus(false)
	g.finishTransfers()
	g.finishLeaves()
	return nil
}

func (g *Group) handleReady(r ready) error {
	if r.discarded {
		if err := g.resetStateMachine(); err != nil {
			return err
		}
	}
	if err := g.persist(r); err != nil {
		return err
	}
	g.transport.send(r.messages)
	if r.snapshot != nil {
		if err := g.restoreStateMachine(*r.snapshot); err != nil {
			return err
		}
		g.failPendingProposals(ErrUnknownOutcome)
	}
	for _, entry := range r.committed {
		g.applyEntry(entry)
	}
	g.handleConfirmedReads(r)
	g.logRemovals(r.removals)
	return nil
}

func (g *Group) persist(r ready) error {
	if r.snapshot != nil {
		return g.config.Storage.saveSnapshot(r.hardState, *r.snapshot, r.entries)
	}
	if r.mustSave {
		return g.config.Storage.save(r.hardState, r.entries)
	}
	return nil
}

// resetStateMachine restores the initial state of the state machine after the
// core has discarded its state.
func (g *Group) resetStateMachine() error {
	g.counters.stateDiscards.Inc()
	g.config.Logger.Warn("consensus member discarded its state",
		zap.String("group", g.config.Group), zap.Uint64("incarnation", g.core.id.Incarnation))
	g.failPendingProposals(ErrUnknownOutcome)
	return trace.Wrap(g.config.StateMachine.Restore(nil))
}

func (g *Group) restoreStateMachine(s snapshot) error {
	if err := g.config.StateMachine.Restore(s.Data); err != nil {
		return trace.Wrap(err, "state machine of group %s cannot restore snapshot %d", g.config.Group, s.Index)
	}
	if setter, ok := g.config.StateMachine.(FenceSetter); ok && s.Fence != 0 {
		setter.SetFence(time.Unix(0, s.Fence))
	}
	return nil
}

func (g *Group) applyEntry(entry Entry) {
	var result []byte
	if entry.Kind == entryCommand {
		result = g.config.StateMachine.Apply(entry.Index, entry.Data)
	}
	p := g.pendingProposals[entry.Index]
	if p == nil {
		return
	}
	delete(g.pendingProposals, entry.Index)
	if p.term != entry.Term {
		// Another entry was committed at this index, so the command never is.
		p.finish(nil, ErrNotLeader)
		return
	}
	p.finish(result, nil)
}

func (g *Group) compact() error {
	if !g.core.isSnapshotDue() {
		return nil
	}
	data, err := g.config.StateMachine.Snapshot()
	if err != nil {
		return trace.Wrap(err, "state machine of group %s cannot make a snapshot", g.config.Group)
	}
	s := g.core.compact(data)
	log := &g.core.log
	return g.config.Storage.saveSnapshot(g.core.hardState(), s, log.slice(s.Index+1, log.lastIndex()))
}

func (g *Group) shutDown() {
	g.transport.stop()
	g.failPendingProposals(ErrUnknownOutcome)
	for _, r := range g.unconfirmedReads {
		r.finish(ErrStopped)
	}
	for _, r := range g.confirmedReads {
		r.finish(ErrStopped)
	}
	if err := g.config.Storage.close(); err != nil && g.failure == nil {
		g.failure = err
	}
	g.publishStatus(true)
}
