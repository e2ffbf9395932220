package fleetview

import (
	"math"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

// On low-bandwidth links, grants would queue behind request bodies on the link of
// their owner. Some entries of each data centre are therefore reserved as owners
// and serve no callers.

// reservedOwnerShare is the share of the entries of a data centre that are
// reserved as owners on low-bandwidth links.
const reservedOwnerShare = 0.1

// ReservedOwners returns the ranked entries that are reserved as owners, or all
// ranked entries if none is reserved.
func (v *View) ReservedOwners(ranked []fleetstate.Entry) []fleetstate.Entry {
	owners := lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return v.isReservedOwner(e.Name) })
	if len(owners) == 0 {
		return ranked
	}
	return owners
}

// CallerFacing returns the entries that serve callers, or all entries if each of
// them is reserved as an owner.
func (v *View) CallerFacing(entries []fleetstate.Entry) []fleetstate.Entry {
	callerFacing := lo.Filter(entries, func(e fleetstate.Entry, _ int) bool { return !v.isReservedOwner(e.Name) })
	if len(callerFacing) == 0 {
		return entries
	}
	return callerFacing
}

// isReservedOwner reports whether the entry is reserved as an owner. Those are
// the first entries of their data centre by name; a small data centre has none.
func (v *View) isReservedOwner(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reservedOwners == nil {
		v.reservedOwners = map[string]bool{}
		for _, entries := range lo.GroupBy(v.Serving(""), func(e fleetstate.Entry) string { return e.DataCentre }) {
			for _, e := range entries[:int(math.Round(reservedOwnerShare*float64(len(entries))))] {
				v.reservedOwners[e.Name] = true
			}
		}
	}
	return v.reservedOwners[name]
}
