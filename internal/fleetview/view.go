// Package fleetview keeps an entry's copy of the fleet state up to date by
// polling control members.
package fleetview

import (
	"slices"
	"strings"
	"sync"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// View is the fleet state at one index. It is immutable. Callers must not modify
// the slices that its methods return, since they are cached.
type View struct {
	Index   uint64
	Routes  *routing.Table // nil before the first routing document
	Targets []fleetstate.Target
	Entries []fleetstate.Entry
	Members []fleetstate.Member

	mu             sync.Mutex
	services       map[string][]fleetstate.Target // usable targets by service
	ranks          map[rankKey][]fleetstate.Entry
	reservedOwners map[string]bool // names of the entries reserved as owners; nil before the first use
}

// UsableTargets returns the usable targets of a service, sorted by id.
func (v *View) UsableTargets(name string) []fleetstate.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	if targets, ok := v.services[name]; ok {
		return targets
	}
	var targets []fleetstate.Target
	for _, t := range v.Targets {
		if t.Service == name && t.Usable() {
			targets = append(targets, t)
		}
	}
	if v.services == nil {
		v.services = map[string][]fleetstate.Target{}
	}
	v.services[name] = targets
	return targets
}

// Version returns the version of the routing document, or 0 without one. 0 is also a
// valid version: Routes tells whether there is a document.
func (v *View) Version() uint64 {
	if v.Routes == nil {
		return 0
	}
	return v.Routes.Document.Version
}

// Locations returns the data centres of all members, entries and targets, by
// address.
func (v *View) Locations() map[string]string {
	places := make(map[string]string, len(v.Members)+len(v.Entries)+len(v.Targets))
	for _, m := range v.Members {
		places[m.PeerAddress] = m.DataCentre
	}
	for _, e := range v.Entries {
		places[e.PeerAddress] = e.DataCentre
	}
	for _, t := range v.Targets {
		places[t.Address] = t.DataCentre
	}
	return places
}

// withUpdate returns the view after the update. It ignores a routing document
// whose version is not higher than that of the current one.
func (v *View) withUpdate(u fleetstate.Update) *View {
	next := &View{Index: u.Index, Routes: v.Routes}
	if u.Routing != nil && (v.Routes == nil || u.Routing.Document.Version > v.Version()) {
		next.Routes = routing.NewTable(u.Routing.Document)
	}
	targets, entries, members := v.Targets, v.Entries, v.Members
	if u.Reset {
		targets, entries, members = nil, nil, nil
	}
	next.Targets = merge(targets, u.Targets, func(t fleetstate.Target) string { return t.ID })
	next.Targets = slices.DeleteFunc(next.Targets, func(t fleetstate.Target) bool { return t.State == fleetstate.Gone })
	next.Entries = merge(entries, u.Entries, func(e fleetstate.Entry) string { return e.Name })
	next.Members = merge(members, u.Members, func(m fleetstate.Member) string { return m.PeerAddress })
	return next
}

// merge returns the old records with the changed ones replaced or added, sorted
// by key.
func merge[V any](old, changed []V, key func(V) string) []V {
	if len(changed) == 0 {
		return slices.Clone(old)
	}
	table := make(map[string]V, len(old)+len(changed))
	for _, v := range old {
		table[key(v)] = v
	}
	for _, v := range changed {
		table[key(v)] = v
	}
	merged := make([]V, 0, len(table))
	for _, v := range table {
		merged = append(merged, v)
	}
	slices.SortFunc(merged, func(a, b V) int { return strings.Compare(key(a), key(b)) })
	return merged
}
