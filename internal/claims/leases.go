package claims

import "time"

// leaseMargin is added to each lease when its expiry is taken over by another
// leader. It covers the time between the reading of that leader's clock and
// its election.
const leaseMargin = time.Second

// lease is a granted right.
type lease struct {
	Holder  string `cbor:"1,keyasint"`
	UntilMS int64  `cbor:"2,keyasint"` // monotonic time of the table's source
	TTLMS   int64  `cbor:"3,keyasint"`
}

// leaseTable holds the leases of a group. Their expiry is counted on the
// monotonic clock of one source, the leader that proposed the last command.
type leaseTable struct {
	Source  string           `cbor:"1,keyasint"`
	NowMS   int64            `cbor:"2,keyasint"`
	BlockMS int64            `cbor:"3,keyasint"` // no lease is granted before, if Blocked
	Blocked bool             `cbor:"5,keyasint,omitempty"`
	Leases  map[string]lease `cbor:"4,keyasint"`
}

// follow moves the time of the table to the stamp. Readings of two sources
// cannot be compared, so under a new source each lease counts from now on with
// its whole length.
func (l *leaseTable) follow(at stamp, limits Limits) {
	if at.Source == l.Source {
		l.NowMS = max(l.NowMS, at.MonoMS)
		return
	}
	l.Source = at.Source
	l.NowMS = at.MonoMS
	for name, held := range l.Leases {
		held.UntilMS = l.NowMS + held.TTLMS + leaseMargin.Milliseconds()
		l.Leases[name] = held
	}
	if l.Blocked {
		l.BlockMS = l.NowMS + (limits.MaxLeaseTTL + leaseMargin).Milliseconds()
	}
}

func (l *leaseTable) acquire(c command, limits Limits) bool {
	l.follow(c.At, limits)
	if c.TTLMS <= 0 || c.TTLMS > limits.MaxLeaseTTL.Milliseconds() {
		return false
	}
	if l.Blocked && l.BlockMS > l.NowMS {
		return false
	}
	l.Blocked = false
	l.expire()
	held, taken := l.Leases[c.Lease]
	if taken && held.Holder != c.Holder {
		return false
	}
	l.Leases[c.Lease] = lease{Holder: c.Holder, UntilMS: l.NowMS + c.TTLMS, TTLMS: c.TTLMS}
	return true
}

func (l *leaseTable) expire() {
	for name, held := range l.Leases {
		if held.UntilMS <= l.NowMS {
			delete(l.Leases, name)
		}
	}
}

// block refuses all leases until those that the group granted before it lost
// its state have ended. The time counts from the next command on.
func (l *leaseTable) block() {
	l.Blocked = true
	l.Source = ""
}
