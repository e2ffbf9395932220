package claims

import "time"

// leaseMargin is added to each lease when a new leader restarts its expiry. It
// covers the time between the reading of the new leader's clock and its election.
const leaseMargin = time.Second

// lease is the holder and the expiry of a lease.
type lease struct {
	Holder  string `cbor:"1,keyasint"`
	UntilMS int64  `cbor:"2,keyasint"` // monotonic time of the clock source of the table
	TTLMS   int64  `cbor:"3,keyasint"`
}

// leaseTable holds the leases of a group. They expire by the monotonic clock of
// one source, the leader that proposed the last lease command.
type leaseTable struct {
	ClockSource    string           `cbor:"1,keyasint"`
	NowMS          int64            `cbor:"2,keyasint"`
	BlockedUntilMS int64            `cbor:"3,keyasint"` // if Blocked, no lease is granted before this time
	Blocked        bool             `cbor:"5,keyasint,omitempty"`
	Leases         map[string]lease `cbor:"4,keyasint"`
}

// advance sets the time of the table to the timestamp. Readings of two clock
// sources cannot be compared, so when the source changes, each lease restarts
// with its full duration.
func (l *leaseTable) advance(at timestamp, limits Limits) {
	if at.ClockSource == l.ClockSource {
		l.NowMS = max(l.NowMS, at.MonoMS)
		return
	}
	l.ClockSource = at.ClockSource
	l.NowMS = at.MonoMS
	for name, held := range l.Leases {
		held.UntilMS = l.NowMS + held.TTLMS + leaseMargin.Milliseconds()
		l.Leases[name] = held
	}
	if l.Blocked {
		l.BlockedUntilMS = l.NowMS + (limits.MaxLeaseTTL + leaseMargin).Milliseconds()
	}
}

// acquire grants or renews a lease. It reports false if the duration is out of
// range, grants are blocked, or another holder has the lease.
func (l *leaseTable) acquire(c command, limits Limits) bool {
	l.advance(c.At, limits)
	if c.TTLMS <= 0 || c.TTLMS > limits.MaxLeaseTTL.Milliseconds() {
		return false
	}
	if l.Blocked && l.BlockedUntilMS > l.NowMS {
		return false
	}
	l.Blocked = false
	l.dropExpired()
	held, taken := l.Leases[c.Lease]
	if taken && held.Holder != c.Holder {
		return false
	}
	l.Leases[c.Lease] = lease{Holder: c.Holder, UntilMS: l.NowMS + c.TTLMS, TTLMS: c.TTLMS}
	return true
}

func (l *leaseTable) dropExpired() {
	for name, held := range l.Leases {
		if held.UntilMS <= l.NowMS {
			delete(l.Leases, name)
		}
	}
}

// blockGrants refuses all leases until those that the group granted before it
// lost its state have expired. The time counts from the next lease command.
func (l *leaseTable) blockGrants() {
	l.Blocked = true
	l.ClockSource = ""
}
