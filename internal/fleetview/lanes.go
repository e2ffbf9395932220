package fleetview

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// Where links are thin, an upload holds up whatever is behind it on the link of
// its entry. Each host then has entries of its own in each data centre, and
// owners of targets are entries without uploads.

// uploadWeight is the share of entries of a host with uploads against one
// without.
const uploadWeight = 2

// lane is a host with its share of the entries.
type lane struct {
	host    string
	uploads bool
	weight  int
}

func lanes(d *routing.Document) []lane {
	hosts := lo.Map(d.Hosts, func(h routing.Host, _ int) lane {
		uploads := slices.ContainsFunc(h.Routes, func(r routing.Route) bool { return r.Kind == routing.Upload })
		return lane{host: strings.ToLower(h.Name), uploads: uploads, weight: lo.Ternary(uploads, uploadWeight, 1)}
	})
	slices.SortFunc(hosts, func(a, b lane) int { return strings.Compare(a.host, b.host) })
	return hosts
}

// laneOf returns the lane of the i-th of n entries of a data centre.
func laneOf(all []lane, i, n int) lane {
	total := lo.SumBy(all, func(l lane) int { return l.weight })
	place := (2*i + 1) * total // in units of 1/(2n)
	passed := 0
	for _, l := range all {
		passed += l.weight
		if place < 2*n*passed {
			return l
		}
	}
	return all[len(all)-1]
}

// eachLane calls visit with each serving entry and its lane.
func (v *View) eachLane(visit func(e fleetstate.Entry, l lane)) {
	if v.Routes == nil || len(v.Routes.Document.Hosts) == 0 {
		return
	}
	all := lanes(v.Routes.Document)
	for _, entries := range lo.GroupBy(v.Serving(""), func(e fleetstate.Entry) string { return e.DataCentre }) {
		for i, e := range entries {
			visit(e, laneOf(all, i, len(entries)))
		}
	}
}

// LaneEntries returns the entries that carry the requests of a host in a data
// centre, in the order of their names.
func (v *View) LaneEntries(host, dataCentre string) []fleetstate.Entry {
	var carrying []fleetstate.Entry
	v.eachLane(func(e fleetstate.Entry, l lane) {
		if e.DataCentre == dataCentre && l.host == strings.ToLower(host) {
			carrying = append(carrying, e)
		}
	})
	return carrying
}

// WithoutUploads returns the entries that carry no uploads, or all if each of
// them does.
func (v *View) WithoutUploads(ranked []fleetstate.Entry) []fleetstate.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.uploading == nil {
		v.uploading = map[string]bool{}
		v.eachLane(func(e fleetstate.Entry, l lane) { v.uploading[e.Name] = l.uploads })
	}
	free := lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return !v.uploading[e.Name] })
	if len(free) == 0 {
		return ranked
	}
	return free
}
