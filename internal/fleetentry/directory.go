package fleetentry

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
)

const (
	minAddresses      = 2  // addresses in a response, if there are as many entries
	maxAddresses      = 64 // addresses that a caller reads
	targetsPerAddress = 12 // targets of a data centre for each address in a response
)

// Directory tells callers which entries to connect to.
type Directory struct {
	follower     *fleetview.Follower
	lowBandwidth bool          // links have low bandwidth, so callers are spread over all entries
	ttl          time.Duration // how long callers may cache a response
}

// Addresses returns the addresses of the entries that a caller in the data
// centre should connect to, and how long the response may be cached. It returns
// none before this entry has a copy of the fleet state. A stale copy is used as
// well, since entries that have lost contact with control still serve.
func (d *Directory) Addresses(host, region, dataCentre string) ([]string, time.Duration) {
	v := d.follower.View()
	if v.Routes == nil {
		return nil, 0
	}
	return addresses(v, host, region, dataCentre, d.lowBandwidth), d.ttl
}

// addresses selects entries in the caller's data centre, in the same order for
// all callers of a host. Fewer entries per host mean that each learns more
// about the targets and that fewer connections are open.
func addresses(v *fleetview.View, host, region, dataCentre string, lowBandwidth bool) []string {
	ranked := v.Rank(host, region)
	candidates := lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return e.DataCentre == dataCentre })
	if len(candidates) < minAddresses {
		candidates = append(candidates, lo.Filter(ranked, func(e fleetstate.Entry, _ int) bool { return e.DataCentre != dataCentre })...)
	}
	if len(candidates) == 0 {
		candidates = v.Rank(host, "")
	}
	dataCentres := len(lo.Uniq(lo.Map(v.Serving(""), func(e fleetstate.Entry, _ int) string { return e.DataCentre })))
	count := int(math.Ceil(float64(len(v.Targets)) / float64(max(dataCentres, 1)) / targetsPerAddress))
	count = max(count, minAddresses)
	if lowBandwidth {
		candidates, count = v.CallerFacing(candidates), maxAddresses
	}
	candidates = candidates[:min(len(candidates), count, maxAddresses)]
	return lo.Map(candidates, func(e fleetstate.Entry, _ int) string { return e.CallerAddress })
}
