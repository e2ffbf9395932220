// Package ownership decides which entries own a service in a region. All
// entries with the same view of the membership come to the same ranking.
package ownership

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// maxCached bounds the ranks kept for one epoch.
const maxCached = 20_000

// Rank returns the usable members of the region, the owner of the service
// first. The hash is over names, so a member that restarts keeps its rank.
func Rank(members []membership.Member, service, region string) []membership.Member {
	type scored struct {
		score  uint64
		member membership.Member
	}
	var list []scored
	for _, m := range members {
		if m.Region == region && m.Usable() {
			list = append(list, scored{score(m.Name, service, region), m})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	ranked := make([]membership.Member, len(list))
	for i, s := range list {
		ranked[i] = s.member
	}
	return ranked
}

func score(member, service, region string) uint64 {
	return xxhash.Sum64String(member + "\x00" + service + "\x00" + region)
}

// Source is the membership table.
type Source interface {
	Members() []membership.Member
	Epoch() uint64
}

// Ranker caches ranks until the membership changes. It is safe for concurrent
// use.
type Ranker struct {
	source Source

	mu      sync.Mutex
	epoch   uint64
	members []membership.Member
	ranks   map[rankKey][]membership.Member
}

type rankKey struct{ service, region string }

// NewRanker returns a ranker over the members of the source.
func NewRanker(source Source) *Ranker {
	return &Ranker{source: source, ranks: map[rankKey][]membership.Member{}}
}

// Rank is Rank over the current members. The result is shared and must not be
// changed. Loads and catalog versions in it may be older than the table's.
func (r *Ranker) Rank(service, region string) []membership.Member {
	epoch := r.source.Epoch()
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch {
		r.epoch = epoch
		r.members = r.source.Members()
		clear(r.ranks)
	}
	key := rankKey{service, region}
	if ranked, ok := r.ranks[key]; ok {
		return ranked
	}
	if len(r.ranks) >= maxCached {
		clear(r.ranks)
	}
	ranked := Rank(r.members, service, region)
	r.ranks[key] = ranked
	return ranked
}

// Regions returns the regions that have a usable member, sorted.
func (r *Ranker) Regions() []string {
	var regions []string
	for _, m := range r.source.Members() {
		if m.Usable() && !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return regions
}
