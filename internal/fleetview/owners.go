package fleetview

import (
	"math"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

// Where links are thin, a grant waits behind the bodies on the link of its
// owner. Some entries of each data centre then own groups and carry no requests
// of callers.

// ownerShare is the share of the entries of a data centre that own groups and
// do nothing else where links are thin.
const ownerShare = 0.1

// Owners returns those of the ranked entries that are kept free for owning
// groups, or all if there are none.
func (v *View) Owners(ranked []fleetstate.Entry) []fleetstate.Entry {
	owners := lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return v.isOwner(e.Name) })
	if len(owners) == 0 {
		return ranked
	}
	return owners
}

// Carriers returns those of the entries that carry requests of callers, or all
// if there are none.
func (v *View) Carriers(entries []fleetstate.Entry) []fleetstate.Entry {
	carriers := lo.Filter(entries, func(e fleetstate.Entry, _ int) bool { return !v.isOwner(e.Name) })
	if len(carriers) == 0 {
		return entries
	}
	return carriers
}

// isOwner reports whether the entry is one of the first of its data centre. A
// data centre with few entries has none.
func (v *View) isOwner(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.owners == nil {
		v.owners = map[string]bool{}
		for _, entries := range lo.GroupBy(v.Serving(""), func(e fleetstate.Entry) string { return e.DataCentre }) {
			for _, e := range entries[:int(math.Round(ownerShare*float64(len(entries))))] {
				v.owners[e.Name] = true
			}
		}
	}
	return v.owners[name]
}
