package schedule

// Preference ranks targets; a lower one is chosen first.
type Preference int

// The preferences, most preferred first.
const (
	Preferred  Preference = iota
	Suspect               // suspects
	PathFault             // behind a path fault
	LastResort            // kept although their leases expired, because many expired at once
)

// Option is a target that may be chosen for a request.
type Option struct {
	Index          int // identifies the target to the caller
	Preference     Preference
	Limit          int // slots that may be used
	InFlight       int
	Tried          bool    // an earlier attempt of the request was sent to it
	SameDataCentre bool    // is in the data centre of the owner
	Score          float64 // strength of the evidence against the target
}

// Pick returns the position of the best option with a free slot: by preference,
// not tried before, lowest share of slots in use, same data centre, and lowest score.
// Ties are broken by random, which is in [0, 1).
func Pick(options []Option, random float64) (position int, ok bool) {
	best := -1
	ties := 0
	for i, o := range options {
		if o.InFlight >= o.Limit {
			continue
		}
		switch {
		case best < 0 || better(o, options[best]):
			best, ties = i, 1
		case !better(options[best], o):
			ties++
		}
	}
	if best < 0 {
		return 0, false
	}
	remaining := int(random * float64(ties))
	for i, o := range options {
		if o.InFlight >= o.Limit || better(options[best], o) {
			continue
		}
		if remaining == 0 {
			return i, true
		}
		remaining--
	}
	return best, true
}

func better(a, b Option) bool {
	if a.Preference != b.Preference {
		return a.Preference < b.Preference
	}
	if a.Tried != b.Tried {
		return b.Tried
	}
	if a.InFlight*b.Limit != b.InFlight*a.Limit {
		return a.InFlight*b.Limit < b.InFlight*a.Limit
	}
	if a.SameDataCentre != b.SameDataCentre {
		return a.SameDataCentre
	}
	return int(a.Score) < int(b.Score)
}

// LongSlots returns how many of the slots long requests may use: half of them,
// rounded down, or the only one.
func LongSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	return slots / 2
}
