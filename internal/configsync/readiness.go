package configsync

import "time"

// loneStartDelay is how long an entry that knows of no other entry waits for
// the membership to name one, before it serves with a copy from its disk.
const loneStartDelay = 10 * time.Second

// Versions is what an entry holds and has heard of.
type Versions struct {
	Held         uint64
	Highest      uint64    // highest version heard of, from control or from entries
	ControlTried bool      // each control member was tried since the start
	Started      time.Time // when the follower started
}

// Ready reports whether an entry that has not served yet may start to serve.
// It is a pure function. Version 0 is believed only from control: while
// control is unavailable, entries at version 0 have merely lost their copies,
// and serving the empty catalog would refuse every plan.
func Ready(v View, versions Versions) bool {
	if versions.Held < versions.Highest {
		return false
	}
	if v.hearsControl() {
		return true
	}
	if !versions.ControlTried || versions.Held == 0 || !v.hearsMajority() {
		return false
	}
	if v.OtherEntries == 0 {
		return v.Now.Sub(versions.Started) >= loneStartDelay
	}
	return true
}
