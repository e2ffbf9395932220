package schedule

// Order is the order of preference between groups of targets.
type Order int

// The orders, best first.
const (
	Preferred  Order = iota
	Doubtful         // suspected
	Poor             // at the end of a path at fault
	LastResort       // kept after a mass expiry
)

// Option is a target that may be chosen for a request.
type Option struct {
	Index          int // of the target, for the caller
	Order          Order
	Limit          int // slots that may be used
	InFlight       int
	Tried          bool    // the request was sent to it before
	SameDataCentre bool    // in the data centre of the owner
	Score          float64 // evidence against it
}

// Pick returns the position of the best option with a free slot: by order,
// not tried before, least share of slots in use, same data centre, and least
// evidence against it. Equal options are drawn by random, which is in [0, 1).
func Pick(options []Option, random float64) (position int, ok bool) {
	best := -1
	equal := 0
	for i, o := range options {
		if o.InFlight >= o.Limit {
			continue
		}
		switch {
		case best < 0 || better(o, options[best]):
			best, equal = i, 1
		case !better(options[best], o):
			equal++
		}
	}
	if best < 0 {
		return 0, false
	}
	drawn := int(random * float64(equal))
	for i, o := range options {
		if o.InFlight >= o.Limit || better(options[best], o) {
			continue
		}
		if drawn == 0 {
			return i, true
		}
		drawn--
	}
	return best, true
}

func better(a, b Option) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
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

// LongSlots returns how many of the slots long work may hold: at most half,
// and all but one where there are more than two.
func LongSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	return slots / 2
}
