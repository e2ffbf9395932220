package consensus

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	entryCommand EntryKind = 0 // a command of the state machine
	entryNoop    EntryKind = 1 // first entry of a term
	entryReplace EntryKind = 2 // admits a member to its slot; data: MemberID in CBOR
	entryRemove  EntryKind = 3 // removes a slot, in dynamic groups only; data: name of the slot
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is the approximate size of an entry without data, in bytes.
const entryOverhead = 64

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// configuration maps each slot to its incarnation; 0 means that the slot is
// vacant.
type configuration map[string]uint64

func (c configuration) clone() configuration {
	copied := make(configuration, len(c))
	for slot, incarnation := range c {
		copied[slot] = incarnation
	}
	return copied
}

func (c configuration) contains(id MemberID) bool {
	return id.Incarnation != 0 && c[id.Slot] == id.Incarnation
}

// snapshot is the state of the group up to and including Index.
type snapshot struct {
	Epoch  uint64        `cbor:"1,keyasint"`
	Index  uint64        `cbor:"2,keyasint"`
	Term   uint64        `cbor:"3,keyasint"`
	Config configuration `cbor:"4,keyasint"`
	Fence  int64         `cbor:"5,keyasint,omitempty"` // Unix time in nanoseconds; 0: no fence
	Data   []byte        `cbor:"6,keyasint,omitempty"` // empty: initial state
}

// hardState is the state that a member must store before it sends messages that
// depend on it.
type hardState struct {
	Incarnation uint64       `cbor:"1,keyasint"`
	Epoch       uint64       `cbor:"2,keyasint,omitempty"` // 0: blank
	Promised    uint64       `cbor:"3,keyasint,omitempty"` // older epochs are rejected
	PromisedTo  MemberID     `cbor:"4,keyasint,omitempty"`
	Term        uint64       `cbor:"5,keyasint,omitempty"`
	Vote        MemberID     `cbor:"6,keyasint,omitempty"`
	Commit      uint64       `cbor:"7,keyasint,omitempty"`
	Earlier     grantedEpoch `cbor:"8,keyasint,omitempty"`
}

// grantedEpoch is an epoch that a blank member has granted to another one before it
// requested grants itself, with its term and vote in it. It is zero if there is
// none.
type grantedEpoch struct {
	Epoch uint64   `cbor:"1,keyasint,omitempty"`
	To    MemberID `cbor:"2,keyasint"`
	Term  uint64   `cbor:"3,keyasint,omitempty"`
	Vote  MemberID `cbor:"4,keyasint"`
}

type messageType uint8

const (
	msgAppend        messageType = 1
	msgAppendResp    messageType = 2
	msgHeartbeat     messageType = 3
	msgHeartbeatResp messageType = 4
	msgSnapshot      messageType = 5
	msgPreVote       messageType = 6
	msgPreVoteResp   messageType = 7
	msgVote          messageType = 8
	msgVoteResp      messageType = 9
	msgProbe         messageType = 10 // status of a member without a leader; requests msgStatus
	msgStatus        messageType = 11
	msgFormation     messageType = 12 // requests grants of epoch Promised from blank members
	msgGrant         messageType = 13
	msgTransfer      messageType = 14 // tells a voter to campaign at once
	msgLeave         messageType = 15 // tells the leader that a voter is about to stop
	msgLeaveResp     messageType = 16 // Reject: the voter stays in the configuration
)

// message is sent between members. Epoch is the epoch of the sender's state; the
// response of a blank member repeats the epoch of the request.
type message struct {
	Type     messageType `cbor:"1,keyasint"`
	From     MemberID    `cbor:"2,keyasint"`
	To       MemberID    `cbor:"3,keyasint"` // Incarnation 0: any incarnation in the slot
	Epoch    uint64      `cbor:"4,keyasint,omitempty"`
	Term     uint64      `cbor:"5,keyasint,omitempty"`
	Index    uint64      `cbor:"6,keyasint,omitempty"` // entry before Entries, last entry of a candidate, or acknowledged entry
	LogTerm  uint64      `cbor:"7,keyasint,omitempty"` // term of the entry at Index
	Entries  []Entry     `cbor:"8,keyasint,omitempty"`
	Commit   uint64      `cbor:"9,keyasint,omitempty"`
	Reject   bool        `cbor:"10,keyasint,omitempty"`
	Hint     uint64      `cbor:"11,keyasint,omitempty"` // highest index that may match, if Reject is set
	Sent     int64       `cbor:"12,keyasint,omitempty"` // leader's monotonic send time, repeated in responses
	Snapshot *snapshot   `cbor:"13,keyasint,omitempty"`
	Promised uint64      `cbor:"14,keyasint,omitempty"`
	Blank    bool        `cbor:"15,keyasint,omitempty"`
	Formed   bool        `cbor:"16,keyasint,omitempty"` // Epoch has committed an entry
	Leader   string      `cbor:"18,keyasint,omitempty"` // msgStatus: slot of the leader, if known
	Transfer bool        `cbor:"17,keyasint,omitempty"` // msgVote: the leader of the previous term requested the election
}

func (m message) fromLeader() bool {
	return m.Type == msgAppend || m.Type == msgHeartbeat || m.Type == msgSnapshot
}

func (m message) isFormation() bool {
	return m.Type >= msgProbe && m.Type <= msgGrant
}
