package consensus

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Start of an epoch, and limits of what a leader sends.
const (
	firstIndex       = 1 // index of the snapshot that starts an epoch
	firstTerm        = 1
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 4096
	maxInflight      = 32
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type coreOptions struct {
	self              MemberID
	slots             []string // fixed slots; with dynamic set: the slots that form the group
	dynamic           bool     // slots are added and removed through the log
	quickStart        bool     // no read relies on a lease, so a member votes and campaigns soon after its start
	mayForm           bool     // with dynamic set: this member may take part in forming the group
	durable           bool     // state survives restarts; false: the group may form again
	heartbeatInterval time.Duration
	electionTimeout   time.Duration
	learnerTimeout    time.Duration // silence of leaders after which a member of a memory group may start over
	snapshotTimeout   time.Duration // time to wait for the acknowledgement of a snapshot
	snapshotEvery     uint64        // applied entries between snapshots, at least
	snapshotBytes     int           // bytes of applied entries between snapshots, at most for a small state
	random            *rand.Rand
	newIncarnation    func() uint64
}

// core is one member of a group without I/O. It is not safe for concurrent use.
type core struct {
	coreOptions
	id         MemberID
	epoch      uint64 // 0: blank
	promised   uint64
	promisedTo MemberID
	term       uint64
	vote       MemberID
	role       role
	leader     MemberID // zero: not known
	config     configuration
	log        replicatedLog

	start            time.Time
	now              time.Time
	lastContact      time.Time // last message of a leader, or the start
	leaderSeen       time.Time // last time a leader was known, or the start
	leaderStamp      int64     // latest message.Sent of the leader
	electionDeadline time.Time
	votes            map[string]bool

	peers          map[string]*progress // members that the configuration names, without this one
	learners       map[string]*progress
	configIndex    uint64 // last Replace that is applied; 0: none since the snapshot
	lastSent       int64
	heartbeatDue   time.Time
	pendingReplace uint64 // index of a Replace that is not applied; 0: none
	reads          []pendingRead
	transfer       transferState

	formation formationState
	inLog     votingCache

	messages     []message
	readsDone    []readState
	newSnapshot  *snapshot
	discarded    bool
	foreignSlots bool // a leader has sent a snapshot with another list of slots
	savedHard    hardState
	lostReads    []uint64
}

// newCore returns a member that continues from stored state. A member without
// stored state has a zero hardState.
func newCore(options coreOptions, hard hardState, s snapshot, entries []Entry, now time.Time) *core {
	sort.Strings(options.slots)
	c := &core{coreOptions: options, id: options.self, start: now, now: now, lastContact: now, leaderSeen: now}
	c.formation.reset(now)
	c.savedHard = hard
	if hard.Incarnation != 0 {
		c.id.Incarnation = hard.Incarnation
		c.epoch, c.promised, c.promisedTo = hard.Epoch, hard.Promised, hard.PromisedTo
		c.term, c.vote = hard.Term, hard.Vote
	}
	if s.Index > 0 {
		c.log.restore(s)
		c.config = s.Config.clone()
		c.log.entries = append([]Entry(nil), entries...)
		c.log.stored = c.log.lastIndex()
		c.log.commitTo(min(hard.Commit, c.log.lastIndex()))
	}
	c.resetElection()
	c.formAfter(now)
	if c.quickStart && !c.blank() {
		c.hurryElection()
	}
	if len(c.slots) == 1 && c.slots[0] == c.id.Slot {
		// Nobody else can lead or hold a promise.
		c.electionDeadline = now
		c.formation.formDue = now
	}
	return c
}

// quorum is the number of members that make a majority of the voting ones.
func (c *core) quorum() int {
	if c.dynamic && !c.blank() {
		return len(c.voting())/2 + 1
	}
	return len(c.slots)/2 + 1
}

func (c *core) blank() bool { return c.epoch == 0 }

func (c *core) voter() bool { return !c.blank() && c.voting().names(c.id) }

func (c *core) hard() hardState {
	return hardState{
		Incarnation: c.id.Incarnation,
		Epoch:       c.epoch,
		Promised:    c.promised,
		PromisedTo:  c.promisedTo,
		Term:        c.term,
		Vote:        c.vote,
		Commit:      c.log.commit,
	}
}

func (c *core) hasSlot(slot string) bool {
	if c.dynamic {
		return slot != ""
	}
	i := sort.SearchStrings(c.slots, slot)
	return i < len(c.slots) && c.slots[i] == slot
}

// tick moves the time forward. It must be called before step, so that a member
// that was frozen gives up leadership before it does anything else.
func (c *core) tick(now time.Time) {
	if now.Before(c.now) {
		panic(fmt.Sprintf("consensus: clock went back from %v to %v", c.now, now))
	}
	c.now = now
	if c.role != leader && c.leader != (MemberID{}) && now.Sub(c.leaderSeen) >= 2*c.electionTimeout {
		c.leader = MemberID{}
	}
	switch {
	case c.role == leader:
		c.tickLeader()
	case c.voter() && !now.Before(c.electionDeadline):
		c.campaign(preCandidate)
	}
	c.tickTransfer()
	c.tickFormation()
}

// step takes a message of another member.
func (c *core) step(m message) {
	toOther := m.To.Slot != c.id.Slot || m.To.Incarnation != 0 && m.To.Incarnation != c.id.Incarnation
	if toOther || m.From.Slot == c.id.Slot || !c.hasSlot(m.From.Slot) || m.From.Incarnation == 0 {
		return
	}
	if m.ofFormation() {
		c.stepFormation(m)
		return
	}
	if !c.enterEpoch(m) || !c.enterTerm(m) {
		return
	}
	switch m.Type {
	case msgAppend, msgHeartbeat, msgSnapshot:
		c.stepFromLeader(m)
	case msgAppendResp:
		c.stepAppendResp(m)
	case msgBeatResp:
		c.stepBeatResp(m)
	case msgPreVote, msgVote:
		c.stepVote(m)
	case msgPreVoteResp, msgVoteResp:
		c.stepVoteResp(m)
	case msgTransfer:
		c.stepTransfer(m)
	}
}

func (c *core) stepFromLeader(m message) {
	if c.role == leader {
		panic(fmt.Sprintf("consensus: two leaders in epoch %d term %d: %v and %v", c.epoch, c.term, c.id, m.From))
	}
	c.followLeader(m.From, m.Sent)
	switch m.Type {
	case msgAppend:
		c.stepAppend(m)
	case msgHeartbeat:
		c.stepHeartbeat(m)
	case msgSnapshot:
		c.stepSnapshot(m)
	}
}

func (c *core) followLeader(id MemberID, stamp int64) {
	if c.leader != id {
		c.leaderStamp = 0
	}
	c.leaderStamp = max(c.leaderStamp, stamp)
	c.role = follower
	c.leader = id
	c.lastContact = c.now
	c.leaderSeen = c.now
	c.resetElection()
}

// enterTerm compares the term of a message with the own one, and reports
// whether the message is to be handled.
func (c *core) enterTerm(m message) bool {
	switch {
	case m.Term > c.term:
		return c.enterHigherTerm(m)
	case m.Term == c.term:
		return true
	case m.fromLeader():
		// The response makes a leader of an older term step down.
		c.send(message{Type: msgBeatResp, To: m.From, Term: c.term, Sent: m.Sent})
	case m.Type == msgPreVote:
		c.send(message{Type: msgPreVoteResp, To: m.From, Term: c.term, Reject: true})
	case m.Type == msgVote:
		c.send(message{Type: msgVoteResp, To: m.From, Term: c.term, Reject: true})
	}
	return false
}

func (c *core) enterHigherTerm(m message) bool {
	switch m.Type {
	case msgPreVote, msgVote:
		// A leader gives up its lease before it asks for a transfer.
		transfer := m.Type == msgVote && m.Transfer
		if c.hearsLeader() && !transfer {
			return false
		}
		if m.Type == msgPreVote {
			return true
		}
	case msgPreVoteResp:
		if !m.Reject {
			return true
		}
	}
	if m.fromLeader() || m.Type == msgVote || c.voting().names(m.From) {
		c.becomeFollower(m.Term)
		return true
	}
	return false
}

// hearsLeader reports whether a vote or a grant must be refused, so that neither
// a leader nor its lease is disturbed. A member that has just started may have
// answered a leader right before, so it counts as hearing one.
func (c *core) hearsLeader() bool {
	return c.role == leader || c.now.Sub(c.lastContact) < c.electionTimeout
}

func (c *core) becomeFollower(term uint64) {
	if term < c.term {
		panic(fmt.Sprintf("consensus: term goes back from %d to %d", c.term, term))
	}
	if c.role == leader {
		c.leaderSeen = c.now
	}
	if term > c.term {
		c.term = term
		c.vote = MemberID{}
	}
	c.dropReads()
	c.role = follower
	c.leader = MemberID{}
	c.peers, c.learners = nil, nil
	c.pendingReplace = 0
	c.resetElection()
}

func (c *core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.electionDeadline = c.now.Add(c.electionTimeout + spread)
}

// hurryElection shortens the first election after a start: if all members were
// stopped, no leader is there to wait for. A leader that is there is heard
// sooner.
func (c *core) hurryElection() {
	c.lastContact = c.now.Add(-c.electionTimeout)
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout / 2)))
	c.electionDeadline = c.now.Add(c.heartbeatInterval + spread)
}

func (c *core) send(m message) {
	m.From = c.id
	m.Formed = c.formed()
	if m.Epoch == 0 {
		m.Epoch = c.epoch
	}
	c.messages = append(c.messages, m)
}
