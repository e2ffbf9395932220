// Package ownership ranks the entries of a region for a service by rendezvous
// hashing. The first usable entry owns the service. Entries with the same view
// of the membership compute the same ranking.
package ownership

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// maxCachedRankings bounds the rankings that are cached for one epoch.
const maxCachedRankings = 20_000

// Rank returns the usable members of the region in order of rank, the owner of
// the service first. The hash covers names only, so a member keeps its rank when
// it restarts.
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

// MemberSource provides the members and the epoch of the membership table.
type MemberSource interface {
	Members() []membership.Member
	Epoch() uint64
}

// Ranker caches rankings until the epoch of the membership changes. It is safe
// for concurrent use.
type Ranker struct {
	source MemberSource

	mu       sync.Mutex
	epoch    uint64
	members  []membership.Member
	rankings map[rankKey][]membership.Member
}

type rankKey struct{ service, region string }

// NewRanker returns a Ranker for the members of source.
func NewRanker(source MemberSource) *Ranker {
	return &Ranker{source: source, rankings: map[rankKey][]membership.Member{}}
}

// Rank returns the ranking of the current members, as the function Rank does.
// The result is shared and must not be modified. The loads and catalog versions
// in it may be older than those in the membership table.
func (r *Ranker) Rank(service, region string) []membership.Member {
	epoch := r.source.Epoch()
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch {
		r.epoch = epoch
		r.members = r.source.Members()
		clear(r.rankings)
	}
	key := rankKey{service, region}
	if ranked, ok := r.rankings[key]; ok {
		return ranked
	}
	if len(r.rankings) >= maxCachedRankings {
		clear(r.rankings)
	}
	ranked := Rank(r.members, service, region)
	r.rankings[key] = ranked
	return ranked
}

// Regions returns the sorted names of the regions that have a usable member.
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
