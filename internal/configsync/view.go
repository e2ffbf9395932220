package configsync

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// reachable reports whether the peer can be polled. A draining or isolated entry
// can be, because it still holds a valid copy.
func (p Peer) reachable() bool {
	return p.State != membership.Dead && p.State != membership.Left && p.PeerAddress != ""
}

// peers returns the other entries of the fleet.
func (f *Follower) peers() []Peer {
	return lo.Filter(f.options.Peers(), func(p Peer, _ int) bool { return p.Name != f.options.Name })
}

// view returns the input of DecideFreshness and Ready. The caller holds f.mu.
func (f *Follower) view(peers []Peer, now time.Time) View {
	v := View{
		Now:                now,
		LastControlContact: f.lastControlContact,
		DataCentre:         f.options.DataCentre,
		MissingSince:       f.missing.since(),
		LastFresh:          f.lastFresh,
		RegionCutGrace:     f.options.RegionCutGrace,
	}
	lastContacts := make(map[string]time.Time)
	for _, p := range peers {
		if p.State == membership.Left {
			continue
		}
		v.OtherEntries++
		at := later(p.LastContact, f.lastFetches[p.Name])
		v.LastEntryContact = later(v.LastEntryContact, at)
		lastContacts[p.DataCentre] = later(lastContacts[p.DataCentre], at)
		f.addDataCentre(p.DataCentre)
	}
	for _, name := range slices.Sorted(maps.Keys(f.dataCentres)) {
		v.OtherDataCentres = append(v.OtherDataCentres, DataCentreContact{DataCentre: name, LastContact: lastContacts[name]})
	}
	return v
}

// addDataCentre adds a known data centre for the lifetime of the process. If a
// data centre were removed when its entries leave the membership table, a region
// that is cut off would eventually count as a majority.
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
