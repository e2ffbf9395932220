package fleetentry

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
)

const (
	minAddresses      = 2  // named to a caller, if there are as many
	maxAddresses      = 64 // that a caller reads
	targetsPerAddress = 12 // targets of the fleet for each entry that carries requests
)

// Directory tells callers which entries to connect to.
type Directory struct {
	follower *fleetview.Follower
	thin     bool // links are so thin that callers are spread over all entries
	ttl      time.Duration
}

// Addresses returns the entries for a caller in a data centre, and how long the
// answer may be kept. It returns none before this entry has a copy of the state.
// An old copy is used as well: entries that are cut off from control still serve.
func (d *Directory) Addresses(host, region, dataCentre string) ([]string, time.Duration) {
	v := d.follower.View()
	if v.Routes == nil {
		return nil, 0
	}
	return addresses(v, host, region, dataCentre, d.thin), d.ttl
}

// addresses names entries in the caller's data centre, in the same order for
// all callers of a host: the fewer entries carry its requests, the more each
// knows of the targets, and the fewer connections are open.
func addresses(v *fleetview.View, host, region, dataCentre string, thin bool) []string {
	ranked := v.Rank(host, region)
	near := lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return e.DataCentre == dataCentre })
	if len(near) < minAddresses {
		near = append(near, lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return e.DataCentre != dataCentre })...)
	}
	if len(near) == 0 {
		near = v.Rank(host, "")
	}
	centres := len(lo.Uniq(lo.Map(v.Serving(""), func(e fleetstate.Entry, _ int) string { return e.DataCentre })))
	count := int(math.Ceil(float64(len(v.Targets)) / float64(max(centres, 1)) / targetsPerAddress))
	count = max(count, minAddresses)
	if thin {
		near, count = v.Carriers(near), maxAddresses
	}
	near = near[:min(len(near), count, maxAddresses)]
	return lo.Map(near, func(e fleetstate.Entry, _ int) string { return e.CallerAddress })
}
