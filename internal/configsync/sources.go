package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// orderControl returns the control members in the order in which the entry tries
// them: those of its own region first, then by a hash that distributes entries
// evenly over the members. Members in backoff are left out.
func orderControl(entry, region string, members []ControlMember, inBackoff func(string) bool) []ControlMember {
	ordered := lo.Reject(members, func(m ControlMember, _ int) bool { return inBackoff(m.Address) })
	slices.SortFunc(ordered, func(a, b ControlMember) int {
		return cmp.Or(
			compareFalseFirst(a.Region != region, b.Region != region),
			cmp.Compare(sourceHash(entry, a.Name), sourceHash(entry, b.Name)),
		)
	})
	return ordered
}

// orderPeers returns the peers that hold at least version, best source first: by
// distance, then by version, then by hash. Peers in backoff are left out.
func orderPeers(options *Options, peers []Peer, version uint64, inBackoff func(string) bool) []Peer {
	candidates := lo.Filter(peers, func(p Peer, _ int) bool {
		return p.CatalogVersion >= version && p.reachable() && !inBackoff(p.PeerAddress)
	})
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(options.distance(a), options.distance(b)),
			cmp.Compare(b.CatalogVersion, a.CatalogVersion),
			cmp.Compare(sourceHash(options.Name, a.Name), sourceHash(options.Name, b.Name)),
		)
	})
	return candidates
}

// distance returns 0 in the same data centre, 1 in the same region, and 2 across
// regions, where links have low bandwidth.
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

// sourceHash orders equally good sources, differently for each entry.
func sourceHash(entry, source string) uint64 { return xxhash.Sum64String(entry + "\x00" + source) }

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

// sourceBackoffs holds the backoff of each source that failed, by address.
type sourceBackoffs map[string]backoff

type backoff struct {
	until time.Time
	delay time.Duration
}

func (b sourceBackoffs) add(address string, now time.Time) {
	delay := max(minBackoff, min(2*b[address].delay, maxBackoff))
	b[address] = backoff{until: now.Add(delay), delay: delay}
}

func (b sourceBackoffs) clear(address string) { delete(b, address) }

// inBackoff reports whether the source must not be polled yet.
func (b sourceBackoffs) inBackoff(address string, now time.Time) bool {
	return now.Before(b[address].until)
}
