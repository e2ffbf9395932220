package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// orderControl returns the control members in the order in which the entry
// tries them: those of its own region first, then by a hash that spreads
// entries evenly. Sources that failed lately are left out.
func orderControl(entry, region string, members []ControlMember, cooling func(string) bool) []ControlMember {
	ordered := lo.Reject(members, func(m ControlMember, _ int) bool { return cooling(m.Address) })
	slices.SortFunc(ordered, func(a, b ControlMember) int {
		return cmp.Or(
			compareFalseFirst(a.Region != region, b.Region != region),
			cmp.Compare(spread(entry, a.Name), spread(entry, b.Name)),
		)
	})
	return ordered
}

// orderPeers returns the peers that hold at least the version, the best source
// first: nearer, then a higher version, then by hash. Sources that failed
// lately are left out.
func orderPeers(options *Options, peers []Peer, version uint64, cooling func(string) bool) []Peer {
	candidates := lo.Filter(peers, func(p Peer, _ int) bool {
		return p.CatalogVersion >= version && p.reachable() && !cooling(p.PeerAddress)
	})
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(options.distance(a), options.distance(b)),
			cmp.Compare(b.CatalogVersion, a.CatalogVersion),
			cmp.Compare(spread(options.Name, a.Name), spread(options.Name, b.Name)),
		)
	})
	return candidates
}

// distance is 0 in the same data centre, 1 in the same region, and 2 across
// regions, where links are narrow.
func (o *Options) distance(p Peer) int {
	switch {
	case p.DataCentre == o.DataCentre:
		return 0
	case p.Region == o.Region:
		return 1
	default:
		return 2
	}
}

func spread(entry, source string) uint64 { return xxhash.Sum64String(entry + "\x00" + source) }

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// coolDown remembers sources that failed, by address.
type coolDown map[string]failure

type failure struct {
	until time.Time
	pause time.Duration
}

func (c coolDown) add(address string, now time.Time) {
	pause := max(minCoolDown, min(2*c[address].pause, maxCoolDown))
	c[address] = failure{until: now.Add(pause), pause: pause}
}

func (c coolDown) clear(address string) { delete(c, address) }

// cooling reports whether the source failed lately.
func (c coolDown) cooling(address string, now time.Time) bool { return now.Before(c[address].until) }
