package consensus

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// First index and term of an epoch, and limits of appends.
const (
	firstIndex       = 1 // index of the snapshot that starts an epoch
	firstTerm        = 1
	maxAppendBytes   = 1 << 20
	maxAppendEntries = 4096
	maxInflight      = 32 // appends to one member without an acknowledgement
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type coreOptions struct {
	self               MemberID
	slots              []string // all slots; with dynamic set: the slots that form the group
	dynamic            bool     // slots are added and removed through the log
	shortFirstElection bool     // vote and campaign soon after a start; safe only if no read relies on a lease
	bootstrap          bool     // with dynamic set: this member may take part in forming the group
	faultTolerance     int      // with dynamic set: members that may lose their state at the same time
	awaitedTolerance   int      // lost members that a group that has just been formed must bear before it accepts commands
	durable            bool     // disk group: state survives restarts; false: memory group, which may form a new epoch
	heartbeatInterval  time.Duration
	electionTimeout    time.Duration
	learnerTimeout     time.Duration // time without a leader before a member of a memory group may discard its state
	snapshotTimeout    time.Duration // time to wait for the acknowledgement of a snapshot
	snapshotEvery      uint64        // see Config.SnapshotEvery
	snapshotBytes      int           // see Config.SnapshotBytes
	random             *rand.Rand
	newIncarnation     func() uint64
}

// core is the protocol state machine of one member. It does no I/O and is not
// safe for concurrent use.
type core struct {
	coreOptions
	id         MemberID
	epoch      uint64   // 0: blank
	promised   uint64   // highest epoch promised to a slot; messages of earlier epochs are rejected; 0: none
	promisedTo MemberID // the member that the promise was given to
	earlier    grantedEpoch
	term       uint64
	vote       MemberID
	role       role
	leader     MemberID // zero: not known
	config     configuration
	log        replicatedLog

	start             time.Time
	now               time.Time
	lastLeaderContact time.Time // receipt of the last message from a leader, or the start
	leaderLastKnown   time.Time // last message from a leader or end of this member's leadership, or the start
	lastLeaderSent    int64     // latest message.Sent of the leader
	electionDeadline  time.Time
	votes             map[string]bool // responses to the current campaign, by slot
	voteRequest       message         // of the current campaign
	deferredTerm      uint64          // term of the last pre-vote for which this member put off its campaign
	voteRequestsDue   time.Time       // when voteRequest is sent again to those that have not responded

	voters             map[string]*progress // by slot: the other members in the voting configuration
	learners           map[string]*progress // by slot: members that are being admitted
	configIndex        uint64               // last applied Replace or Remove entry; 0: none since the snapshot
	lastSentTime       int64
	heartbeatDue       time.Time
	leavers            map[MemberID]time.Time // when a member last announced its end to this leader
	pendingChangeIndex uint64                 // index of a Replace or Remove entry that is not applied; 0: none
	pendingReads       []pendingRead
	transfer           transferState
	leave              leaveState
	removals           []voterRemoval // proposed and not yet logged

	formation   formationState
	seeds       []string // further slots to probe while there is no leader; they take no part in forming the group
	votingCache votingCache

	messages       []message
	readStates     []readState
	newSnapshot    *snapshot
	discarded      bool
	slotsMismatch  bool // a leader has sent a snapshot with other slots than the configured ones
	savedHardState hardState
	failedReads    []uint64
}

// newCore returns a member that continues from stored state. Without stored
// state, hard is zero.
func newCore(options coreOptions, hard hardState, s snapshot, entries []Entry, now time.Time) *core {
	sort.Strings(options.slots)
	c := &core{coreOptions: options, id: options.self, start: now, now: now, lastLeaderContact: now, leaderLastKnown: now}
	c.formation.reset(now)
	c.savedHardState = hard
	if hard.Incarnation != 0 {
		c.id.Incarnation = hard.Incarnation
		c.epoch, c.promised, c.promisedTo = hard.Epoch, hard.Promised, hard.PromisedTo
		c.term, c.vote = hard.Term, hard.Vote
		c.earlier = hard.Earlier
	}
	if s.Index > 0 {
		c.log.restore(s)
		c.config = s.Config.clone()
		c.log.entries = append([]Entry(nil), entries...)
		c.log.stored = c.log.lastIndex()
		c.log.commitTo(min(hard.Commit, c.log.lastIndex()))
	}
	c.resetElection()
	c.scheduleFormation(now)
	if c.shortFirstElection && !c.isBlank() {
		c.shortenElectionTimeout()
	}
	if len(c.slots) == 1 && c.slots[0] == c.id.Slot {
		// No other member can be the leader or hold a promise.
		c.electionDeadline = now
		c.formation.nextGrantRequest = now
	}
	return c
}

// quorum returns the number of voting members that form a majority.
func (c *core) quorum() int {
	if c.dynamic && !c.isBlank() {
		return quorumOf(len(c.votingConfig()))
	}
	return quorumOf(len(c.slots))
}

// quorumOf returns the number of members that form a majority of size members.
func quorumOf(size int) int { return size/2 + 1 }

// isBlank reports whether the member has never accepted state of the group.
func (c *core) isBlank() bool { return c.epoch == 0 }

func (c *core) isVoter() bool { return !c.isBlank() && c.votingConfig().contains(c.id) }

func (c *core) hardState() hardState {
	return hardState{
		Incarnation: c.id.Incarnation,
		Epoch:       c.epoch,
		Promised:    c.promised,
		PromisedTo:  c.promisedTo,
		Term:        c.term,
		Vote:        c.vote,
		Commit:      c.log.commit,
		Earlier:     c.earlier,
	}
}

func (c *core) hasSlot(slot string) bool {
	if c.dynamic {
		return slot != ""
	}
	i := sort.SearchStrings(c.slots, slot)
	return i < len(c.slots) && c.slots[i] == slot
}

// tick advances the time to now. It must be called before step, so that a
// leader that was paused steps down before it does anything else.
func (c *core) tick(now time.Time) {
	if now.Before(c.now) {
		panic(fmt.Sprintf("consensus: clock went backwards from %v to %v", c.now, now))
	}
	c.now = now
	if c.role != leader && c.leader != (MemberID{}) && now.Sub(c.leaderLastKnown) >= 2*c.electionTimeout {
		c.leader = MemberID{}
	}
	switch {
	case c.role == leader:
		c.tickLeader()
	case c.isVoter() && c.leave.decision != leaveRemoved && !now.Before(c.electionDeadline):
		c.campaign(preCandidate)
	case (c.role == preCandidate || c.role == candidate) && !now.Before(c.voteRequestsDue):
		c.sendVoteRequests()
	}
	c.tickTransfer()
	c.tickLeave()
	c.tickFormation()
}

// step handles a message of another member. Messages for another member or
// from an unknown slot are ignored.
func (c *core) step(m message) {
	c.noteLeaderOfEarlierIncarnation(m)
	toOther := m.To.Slot != c.id.Slot || m.To.Incarnation != 0 && m.To.Incarnation != c.id.Incarnation
	if toOther || m.From.Slot == c.id.Slot || !c.hasSlot(m.From.Slot) || m.From.Incarnation == 0 {
		return
	}
	if m.isFormation() {
		c.stepFormation(m)
		return
	}
	if !c.checkEpoch(m) || !c.checkTerm(m) {
		return
	}
	switch m.Type {
	case msgAppend, msgHeartbeat, msgSnapshot:
		c.stepFromLeader(m)
	case msgAppendResp:
		c.stepAppendResp(m)
	case msgHeartbeatResp:
		c.stepHeartbeatResp(m)
	case msgPreVote, msgVote:
		c.stepVote(m)
	case msgPreVoteResp, msgVoteResp:
		c.stepVoteResp(m)
	case msgTransfer:
		c.stepTransfer(m)
	case msgLeave:
		c.stepLeave(m)
	case msgLeaveResp:
		c.stepLeaveResp(m)
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

func (c *core) followLeader(id MemberID, sent int64) {
	if c.leader != id {
		c.lastLeaderSent = 0
	}
	c.lastLeaderSent = max(c.lastLeaderSent, sent)
	c.role = follower
	c.leader = id
	c.lastLeaderContact = c.now
	c.leaderLastKnown = c.now
	c.resetElection()
}

// checkTerm compares the term of a message with the current term and adopts a
// higher one. It reports whether the message is to be handled.
func (c *core) checkTerm(m message) bool {
	switch {
	case m.Term > c.term:
		return c.checkHigherTerm(m)
	case m.Term == c.term:
		return true
	case m.fromLeader():
		// The higher term in the response makes the old leader step down.
		c.send(message{Type: msgHeartbeatResp, To: m.From, Term: c.term, Sent: m.Sent})
	case m.Type == msgPreVote:
		c.send(message{Type: msgPreVoteResp, To: m.From, Term: c.term, Reject: true})
	case m.Type == msgVote:
		c.send(message{Type: msgVoteResp, To: m.From, Term: c.term, Reject: true})
	}
	return false
}

func (c *core) checkHigherTerm(m message) bool {
	switch m.Type {
	case msgPreVote, msgVote:
		// A leader gives up its lease before it asks for a transfer.
		transfer := m.Type == msgVote && m.Transfer
		if c.hasRecentLeader() && !transfer {
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
	if m.fromLeader() || m.Type == msgVote || c.votingConfig().contains(m.From) {
		c.becomeFollower(m.Term)
		return true
	}
	return false
}

// hasRecentLeader reports whether votes and grants must be refused to protect a
// leader and its lease. A member that has just started may have responded to a
// leader right before, so it refuses them too for one election timeout, unless
// shortFirstElection is set.
func (c *core) hasRecentLeader() bool {
	return c.role == leader || c.now.Sub(c.lastLeaderContact) < c.electionTimeout
}

func (c *core) becomeFollower(term uint64) {
	if term < c.term {
		panic(fmt.Sprintf("consensus: term decreased from %d to %d", c.term, term))
	}
	if c.role == leader {
		c.leaderLastKnown = c.now
	}
	if term > c.term {
		c.term = term
		c.vote = MemberID{}
	}
	c.failPendingReads()
	c.role = follower
	c.leader = MemberID{}
	c.voters, c.learners, c.leavers = nil, nil, nil
	c.pendingChangeIndex = 0
	c.resetElection()
}

func (c *core) resetElection() {
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout)))
	c.electionDeadline = c.now.Add(c.electionTimeout + spread)
}

// shortenElectionTimeout shortens the wait before the first election after a
// start: if all members were stopped, there is no leader to wait for. An
// existing leader makes contact before the shortened timeout ends.
func (c *core) shortenElectionTimeout() {
	c.lastLeaderContact = c.now.Add(-c.electionTimeout)
	spread := time.Duration(c.random.Int64N(int64(c.electionTimeout / 2)))
	c.electionDeadline = c.now.Add(c.heartbeatInterval + spread)
}

func (c *core) send(m message) {
	m.From = c.id
	m.Formed = c.isFormed()
	if m.Epoch == 0 {
		m.Epoch = c.epoch
	}
	c.messages = append(c.messages, m)
}
