package consensus

import "time"

// progress is what a leader knows of another member.
type progress struct {
	id          MemberID
	match       uint64 // last entry known to be stored by the member
	next        uint64 // next entry to send
	commit      uint64 // commit index that the member has reported
	probing     bool   // next is a guess; one append at a time
	probeSent   bool
	inflight    int       // appends sent since the last acknowledgement
	lastAck     time.Time // when match last moved, or the leader began to wait for it
	contact     time.Time // send time of the last message that was answered
	echo        int64     // message.Sent of the last message that was answered; 0: none in this term
	admitted    time.Time // when the leader proposed its admission; zero: a member before
	snapshotDue time.Time // a snapshot is not sent again before this time
}

func newProgress(id MemberID, next uint64, now time.Time) *progress {
	return &progress{id: id, next: next, probing: true, lastAck: now, contact: now}
}

// acknowledge records that the member has stored all entries up to index.
func (p *progress) acknowledge(index uint64, now time.Time) {
	p.probing = false
	p.probeSent = false
	p.inflight = 0
	p.lastAck = now
	p.snapshotDue = time.Time{}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
}

// stepBack makes the next append start behind an index that may match.
func (p *progress) stepBack(hint uint64, now time.Time) {
	p.probing = true
	p.probeSent = false
	p.inflight = 0
	p.lastAck = now
	p.next = max(p.match+1, hint+1)
}
