// Package configsync maintains an entry's copy of the catalog. It polls control
// members, or other entries while control is unavailable, and decides whether
// the copy is fresh enough to serve requests.
package configsync

import "time"

// Freshness says whether an entry may serve requests with its copy of the
// catalog.
type Freshness string

// Values of Freshness.
const (
	Fresh     Freshness = "fresh"      // the entry serves
	RegionCut Freshness = "region-cut" // the region is cut off; the entry serves for a limited time
	Isolated  Freshness = "isolated"   // the entry rejects requests
)

// Time limits of DecideFreshness.
const (
	// ContactTimeout is how long a contact counts as current.
	ContactTimeout = 10 * time.Second
	// MissingVersionTimeout is how long a known higher version may be missing
	// before the copy counts as outdated.
	MissingVersionTimeout = 10 * time.Second
	// DefaultRegionCutGrace is the default time for which entries keep serving in
	// a region that is cut off.
	DefaultRegionCutGrace = 10 * time.Minute
)

// DataCentreContact holds the time of the last contact with any entry of a data
// centre; zero: never.
type DataCentreContact struct {
	DataCentre  string
	LastContact time.Time
}

// View is what an entry knows about the fleet and about its copy of the catalog.
// Zero times mean never.
type View struct {
	Now                time.Time
	LastControlContact time.Time           // with a control member that is in contact with a leader
	DataCentre         string              // data centre of the entry itself
	OtherDataCentres   []DataCentreContact // all other known data centres, each once
	OtherEntries       int                 // number of other known entries
	LastEntryContact   time.Time           // with any other entry
	MissingSince       time.Time           // since when a known version has been missing
	LastFresh          time.Time           // when the state was last Fresh
	RegionCutGrace     time.Duration
}

// DecideFreshness returns the freshness that follows from the view. It is a pure
// function.
func DecideFreshness(v View) Freshness {
	if !v.MissingSince.IsZero() && v.Now.Sub(v.MissingSince) >= MissingVersionTimeout {
		return Isolated
	}
	if v.inContactWithControl() || v.inContactWithMajority() {
		return Fresh
	}
	if v.otherDataCentresInContact() == 0 || v.LastFresh.IsZero() {
		return Isolated
	}
	if v.Now.Sub(v.LastFresh) < v.RegionCutGrace {
		return RegionCut
	}
	return Isolated
}

func (v View) inContactWithControl() bool { return v.recent(v.LastControlContact) }

// inContactWithMajority reports whether the entry is in contact with a majority
// of the known data centres. Its own data centre counts as in contact. With a
// single data centre that would be no evidence, so contact with another entry
// is required there, unless none is known.
func (v View) inContactWithMajority() bool {
	if len(v.OtherDataCentres) == 0 {
		return v.OtherEntries == 0 || v.recent(v.LastEntryContact)
	}
	known := len(v.OtherDataCentres) + 1
	inContact := v.otherDataCentresInContact() + 1
	return 2*inContact > known
}

func (v View) otherDataCentresInContact() int {
	count := 0
	for _, other := range v.OtherDataCentres {
		if v.recent(other.LastContact) {
			count++
		}
	}
	return count
}

func (v View) recent(at time.Time) bool {
	return !at.IsZero() && v.Now.Sub(at) < ContactTimeout
}
