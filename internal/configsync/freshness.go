// Package configsync keeps an entry's copy of the catalog. It follows control
// members, or other entries while control is unavailable, and decides whether
// the copy is fresh enough to serve requests.
package configsync

import "time"

// Freshness says whether an entry may serve with its copy of the catalog.
type Freshness string

// The states.
const (
	Fresh     Freshness = "fresh"
	RegionCut Freshness = "region-cut" // serves, for a limited time
	Isolated  Freshness = "isolated"   // refuses requests
)

// Limits of the freshness rule.
const (
	// HeardWindow is how long contact counts after something was heard.
	HeardWindow = 10 * time.Second
	// HigherLimit is how long a known higher version may be missing.
	HigherLimit = 10 * time.Second
	// DefaultRegionCutGrace is how long a region that is cut off keeps serving.
	DefaultRegionCutGrace = 10 * time.Minute
)

// Heard says when an entry of a data centre was last heard; zero: never.
type Heard struct {
	DataCentre string
	At         time.Time
}

// View is what an entry has heard, and when. Zero times mean never.
type View struct {
	Now           time.Time
	ControlHeard  time.Time // from a control member in contact with a leader
	DataCentre    string    // of the entry itself
	Others        []Heard   // all other data centres known, each once
	OtherEntries  int       // other entries known
	EntryHeard    time.Time // from any other entry
	HigherSince   time.Time // since when a higher version is known but not held
	LastFresh     time.Time // when the state was fresh last
	RegionCutTime time.Duration
}

// Decide returns the state for what was heard. It is a pure function.
func Decide(v View) Freshness {
	if !v.HigherSince.IsZero() && v.Now.Sub(v.HigherSince) >= HigherLimit {
		return Isolated
	}
	if v.hearsControl() || v.hearsMajority() {
		return Fresh
	}
	if v.heardOthers() == 0 || v.LastFresh.IsZero() {
		return Isolated
	}
	if v.Now.Sub(v.LastFresh) < v.RegionCutTime {
		return RegionCut
	}
	return Isolated
}

func (v View) hearsControl() bool { return v.recent(v.ControlHeard) }

// hearsMajority reports whether entries of a majority of the known data
// centres are heard. The own data centre counts as heard. With a single data
// centre that would be no evidence, so another entry must be heard there,
// unless none is known.
func (v View) hearsMajority() bool {
	if len(v.Others) == 0 {
		return v.OtherEntries == 0 || v.recent(v.EntryHeard)
	}
	known := len(v.Others) + 1
	heard := v.heardOthers() + 1
	return 2*heard > known
}

func (v View) heardOthers() int {
	count := 0
	for _, h := range v.Others {
		if v.recent(h.At) {
			count++
		}
	}
	return count
}

func (v View) recent(at time.Time) bool {
	return !at.IsZero() && v.Now.Sub(at) < HeardWindow
}
