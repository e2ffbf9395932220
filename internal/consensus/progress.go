package consensus

import "time"

// progress is the replication state of another member, as the leader knows it.
type progress struct {
	id          MemberID
	match       uint64 // last entry that the member is known to have stored
	next        uint64 // next entry to send
	commit      uint64 // commit index reported by the member
	probing     bool   // next is a guess; only one append is sent at a time
	probeSent   bool
	inflight    int       // appends sent since the last acknowledgement
	lastAck     time.Time // time of the last acknowledgement, or when the leader began to wait for one
	lastContact time.Time // send time of the last message that the member responded to
	ackedSent   int64     // message.Sent of that message; 0: none in this term
	snapshotDue time.Time // earliest time to send the snapshot again
	// snapshotDelay is the time between the last two sends of the snapshot; 0: it
	// was not sent again since the last acknowledgement.
	snapshotDelay time.Duration
}

func newProgress(id MemberID, next uint64, now time.Time) *progress {
	return &progress{id: id, next: next, probing: true, lastAck: now, lastContact: now}
}

// acknowledge records that the member has stored all entries up to index.
func (p *progress) acknowledge(index uint64, now time.Time) {
	p.probing = false
	p.probeSent = false
	p.inflight = 0
	p.lastAck = now
	p.snapshotDue = time.Time{}
	p.snapshotDelay = 0
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
}

// rewind makes the next append start after hint, the highest index that may
// match.
func (p *progress) rewind(hint uint64, now time.Time) {
	p.probing = true
	p.probeSent = false
	p.inflight = 0
	p.lastAck = now
	p.next = max(p.match+1, hint+1)
}
