package configsync

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// reachable reports whether the peer may be asked for its copy. A draining
// or isolated entry still holds a valid copy.
func (p Peer) reachable() bool {
	return p.State != membership.Dead && p.State != membership.Left && p.PeerAddress != ""
}

// peers returns the other entries of the fleet.
func (f *Follower) peers() []Peer {
	return lo.Filter(f.options.Peers(), func(p Peer, _ int) bool { return p.Name != f.options.Name })
}

// view returns what was heard, for the decision functions. The caller holds
// the lock.
func (f *Follower) view(peers []Peer, now time.Time) View {
	v := View{
		Now:           now,
		ControlHeard:  f.controlHeard,
		DataCentre:    f.options.DataCentre,
		HigherSince:   f.missing.since(),
		LastFresh:     f.lastFresh,
		RegionCutTime: f.options.RegionCutTime,
	}
	heard := make(map[string]time.Time)
	for _, p := range peers {
		if p.State == membership.Left {
			continue
		}
		v.OtherEntries++
		at := later(p.LastHeard, f.fetchedFrom[p.Name])
		v.EntryHeard = later(v.EntryHeard, at)
		heard[p.DataCentre] = later(heard[p.DataCentre], at)
		f.addDataCentre(p.DataCentre)
	}
	for _, name := range slices.Sorted(maps.Keys(f.dataCentres)) {
		v.Others = append(v.Others, Heard{DataCentre: name, At: heard[name]})
	}
	return v
}

// addDataCentre remembers a data centre for the life of the process. If one
// were forgotten when its entries leave the membership table, a region that
// is cut off would come to count as a majority.
func (f *Follower) addDataCentre(name string) {
	if name != f.options.DataCentre {
		f.dataCentres[name] = true
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
