package consensus

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	simStep            = 5 * time.Millisecond
	simElectionTimeout = 500 * time.Millisecond
	simSnapshotEvery   = 12
)

// simNode is a core with its stored state.
type simNode struct {
	slot     string
	core     *core // nil: down
	paused   bool
	wiped    bool     // it lost its disk, so it must not bootstrap a group
	seeds    []string // slots that it is started with; nil: the initial ones
	stored   storedState
	commands []string // applied since the initial state
}

// delivery is a message in transit.
type delivery struct {
	at    time.Time
	order uint64
	m     message
}

// sim runs several cores over a simulated network that drops, delays and
// reorders messages and can be partitioned. A checker verifies the invariants.
type sim struct {
	*checker
	random           *rand.Rand
	durable          bool
	initial          int  // number of slots that form the group
	dynamic          bool // slots are added and removed
	tolerance        int  // members of a dynamic group that may lose their disks at once
	awaitedTolerance int  // see coreOptions
	now              time.Time
	nodes            []*simNode
	slots            []string
	network          []delivery
	order            uint64
	incarnation      uint64
	reads            uint64
	dropRate         float64            // probability that a message is lost
	maxDelay         time.Duration      // of a message
	crashRate        float64            // probability of a crash before and after each write to storage
	blockedLinks     map[[2]string]bool // by sender and recipient
	dropMessage      func(message) bool // reports messages to drop; nil: none
}

func newSim(seed uint64, size int, durable bool) *sim {
	return startSim(&sim{initial: size, durable: durable}, seed, size)
}

// newDynamicSim returns a group that is formed by its first slots; the members in
// the other slots join it.
func newDynamicSim(seed uint64, initial, size int, durable bool) *sim {
	return startSim(&sim{initial: initial, dynamic: true, tolerance: (size - 1) / 2, awaitedTolerance: (initial - 1) / 2, durable: durable}, seed, size)
}

// newTolerantSim is the same for a group that bears the loss of as many disks, and
// accepts no command before it does.
func newTolerantSim(seed uint64, initial, size, tolerance int) *sim {
	return startSim(&sim{initial: initial, dynamic: true, tolerance: tolerance, awaitedTolerance: tolerance, durable: true}, seed, size)
}

// startSim starts all members of a group.
func startSim(s *sim, seed uint64, size int) *sim {
	s.checker = newChecker()
	s.random = rand.New(rand.NewPCG(seed, 7))
	s.now = time.Unix(1_700_000_000, 0)
	s.blockedLinks = map[[2]string]bool{}
	s.maxDelay = 30 * time.Millisecond
	for i := range size {
		s.slots = append(s.slots, fmt.Sprintf("vm%d", i))
		s.nodes = append(s.nodes, &simNode{slot: s.slots[i]})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) nextIncarnation() uint64 {
	s.incarnation++
	return s.incarnation
}

// start starts a node from its stored state.
func (s *sim) start(n *simNode) {
	seeds := n.seeds
	if seeds == nil {
		seeds = s.slots[:s.initial]
	}
	options := coreOptions{
		self: MemberID{Slot: n.slot, Incarnation: s.nextIncarnation()}, slots: append([]string(nil), seeds...),
		dynamic: s.dynamic, bootstrap: !n.wiped, shortFirstElection: s.dynamic, faultTolerance: s.tolerance, awaitedTolerance: s.awaitedTolerance,
		durable: s.durable, heartbeatInterval: 50 * time.Millisecond, electionTimeout: simElectionTimeout,
		learnerTimeout: 10 * time.Second, snapshotTimeout: 2 * time.Second, snapshotEvery: simSnapshotEvery, snapshotBytes: 1 << 20,
		random:         rand.New(rand.NewPCG(s.random.Uint64(), 1)),
		newIncarnation: s.nextIncarnation,
	}
	n.restore(n.stored.snapshot.Data)
	n.core = newCore(options, n.stored.hardState, n.stored.snapshot, n.stored.entries, s.now)
	n.paused = false
}

func (n *simNode) restore(data []byte) {
	n.commands = nil
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &n.commands); err != nil {
			panic(err)
		}
	}
}

// crash stops a node. Unless keepState is set, its stored state is lost and it
// restarts as a blank member.
func (s *sim) crash(n *simNode, keepState bool) {
	n.core = nil
	if !keepState {
		n.stored = storedState{}
		n.wiped = true
	}
}

func (s *sim) slotIndex(slot string) int { return sort.SearchStrings(s.slots, slot) }

// run advances the time in steps and delivers the messages that are due.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.deliver()
		for _, n := range s.nodes {
			if n.core != nil && !n.paused {
				n.core.tick(s.now)
				s.processReady(n)
			}
		}
	}
}

// runUntil runs until the condition holds, for at most a minute.
func (s *sim) runUntil(condition func() bool) bool {
	for range 6000 {
		if condition() {
			return true
		}
		s.run(2 * simStep)
	}
	return false
}

func (s *sim) deliver() {
	var due []delivery
	var later []delivery
	for _, d := range s.network {
		n := s.nodes[s.slotIndex(d.m.To.Slot)]
		if d.at.After(s.now) || n.core != nil && n.paused {
			later = append(later, d)
			continue
		}
		due = append(due, d)
	}
	s.network = later
	sort.Slice(due, func(i, j int) bool {
		return due[i].at.Before(due[j].at) || due[i].at.Equal(due[j].at) && due[i].order < due[j].order
	})
	for _, d := range due {
		n := s.nodes[s.slotIndex(d.m.To.Slot)]
		if n.core == nil || s.blockedLinks[[2]string{d.m.From.Slot, d.m.To.Slot}] {
			continue
		}
		n.core.tick(s.now)
		n.core.step(d.m)
		s.processReady(n)
	}
}

// processReady does the same as Group.processReady, with random crashes.
func (s *sim) processReady(n *simNode) {
	if n.core.role == leader {
		n.core.broadcastAppend()
	}
	for {
		n.core.tick(s.now)
		r, ok := n.core.ready()
		if !ok {
			return
		}
		if s.random.Float64() < s.crashRate {
			s.crash(n, s.durable)
			return
		}
		s.persist(n, r)
		if s.random.Float64() < s.crashRate {
			s.crash(n, s.durable)
			return
		}
		s.send(r.messages)
		s.apply(n, r)
		n.core.advance(r)
		s.compact(n)
		s.check(s, n)
	}
}

func (s *sim) persist(n *simNode, r ready) {
	if r.discarded {
		n.stored = storedState{}
		n.commands = nil
	}
	if r.snapshot != nil {
		n.stored = storedState{snapshot: *r.snapshot}
		n.restore(r.snapshot.Data)
	}
	if r.mustSave || r.snapshot != nil {
		n.stored.hardState = r.hardState
		n.stored.appendEntries(r.entries)
	}
}

func (st *storedState) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - st.snapshot.Index - 1
	st.entries = append(append([]Entry(nil), st.entries[:keep]...), entries...)
}

func (s *sim) send(messages []message) {
	for _, m := range messages {
		if s.random.Float64() < s.dropRate || s.dropMessage != nil && s.dropMessage(m) {
			continue
		}
		var copied message
		if err := cbor.Unmarshal(encode(m), &copied); err != nil {
			panic(err)
		}
		s.order++
		delay := time.Duration(1+s.random.IntN(int(s.maxDelay/time.Millisecond))) * time.Millisecond
		s.network = append(s.network, delivery{at: s.now.Add(delay), order: s.order, m: copied})
	}
}

func (s *sim) apply(n *simNode, r ready) {
	for _, entry := range r.committed {
		s.recordCommitted(time.Unix(0, n.core.log.snapshot.Fence), n.core.epoch, entry)
		if entry.Kind == entryCommand {
			n.commands = append(n.commands, string(entry.Data))
			s.recordApplied(n.core.epoch, len(n.commands), string(entry.Data))
		}
	}
	for _, state := range r.readStates {
		s.checkRead(n, state)
	}
}

func (s *sim) compact(n *simNode) {
	log := &n.core.log
	if log.snapshot.Index == 0 || !n.core.isSnapshotDue() {
		return
	}
	n.stored.snapshot = n.core.compact(encode(n.commands))
	n.stored.entries = append([]Entry(nil), log.slice(log.snapshot.Index+1, log.stored)...)
}

// propose proposes a unique command on a node. It reports false if the node does
// not accept it.
func (s *sim) propose(n *simNode) bool {
	if n.core == nil || n.paused {
		return false
	}
	n.core.tick(s.now)
	command := fmt.Sprint("command ", len(s.proposed))
	if _, _, ok := n.core.propose([]byte(command)); !ok {
		return false
	}
	s.proposed[command] = s.now
	s.processReady(n)
	return true
}

func (s *sim) read(n *simNode) {
	if n.core == nil || n.paused {
		return
	}
	n.core.tick(s.now)
	s.reads++
	s.recordReadStart(n, s.reads)
	read := n.core.readIndex
	if s.reads%3 == 0 {
		read = n.core.readIndexOnHeartbeat
	}
	read(s.reads, s.reads%2 == 0 && !n.core.shortFirstElection)
	s.processReady(n)
}

// leader returns a leader that is settled, or nil if there is none.
func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.core != nil && !n.paused && n.core.role == leader && n.core.isSettled() {
			return n
		}
	}
	return nil
}

// allAdmitted reports whether a leader has admitted all members.
func (s *sim) allAdmitted() bool {
	leaderNode := s.leader()
	if leaderNode == nil {
		return false
	}
	for _, n := range s.nodes {
		if n.core == nil || !leaderNode.core.config.contains(n.core.id) || n.core.epoch != leaderNode.core.epoch {
			return false
		}
	}
	return true
}

// isolate blocks or unblocks the messages from and to a node.
func (s *sim) isolate(n *simNode, from, to bool) {
	for _, other := range s.slots {
		s.blockedLinks[[2]string{n.slot, other}] = from
		s.blockedLinks[[2]string{other, n.slot}] = to
	}
}

func (s *sim) repairLinks() { s.blockedLinks = map[[2]string]bool{} }

func (s *sim) repairAll() {
	s.repairLinks()
	for _, n := range s.nodes {
		n.paused = false
		if n.core == nil {
			s.start(n)
		}
	}
}

func (s *sim) describe() string {
	text := ""
	for _, n := range s.nodes {
		if c := n.core; c != nil {
			text += fmt.Sprintf("\n%v %s epoch %d promised %d term %d commit %d last %d leader %v config %v",
				c.id, c.statusRole(), c.epoch, c.promised, c.term, c.log.commit, c.log.lastIndex(), c.leader, c.config)
			c.forEachProgress(func(p *progress) { text += fmt.Sprintf("\n  %+v", *p) })
		}
	}
	return text
}
