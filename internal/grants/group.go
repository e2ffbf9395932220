package grants

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
)

// targetsPerGroup is the minimum number of targets of a group in an average
// region. With fewer targets an owner sees too little evidence; with more, one
// owner becomes the bottleneck of its service.
const targetsPerGroup = 12

// Group is a shard of the targets of a service, with its own owner in each region.
// A service with few targets has one group. The number of groups doubles when the
// number of targets does, so that it seldom changes.
type Group struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Shard   int    `json:"shard" cbor:"2,keyasint"`
	Shards  int    `json:"shards" cbor:"3,keyasint"`
}

// key identifies the group in the ranking of entries, in logs and in the status.
func (g Group) key() string {
	if g.Shards <= 1 {
		return g.Service
	}
	return fmt.Sprintf("%s/%d/%d", g.Service, g.Shard, g.Shards)
}

// maxShards is more than any service is split into.
const maxShards = 1 << 16

// isKnown reports whether the group is one of a service with targets. A pool is
// kept for each group, so a call for another one must not create any.
func (g Group) isKnown(v *fleetview.View) bool {
	inRange := g.Shards >= 0 && g.Shards <= maxShards && g.Shard >= 0 && g.Shard < max(g.Shards, 1)
	return inRange && len(v.UsableTargets(g.Service)) > 0
}

// contains reports whether the target belongs to the group.
func (g Group) contains(id string) bool { return shardOf(id, g.Shards) == g.Shard }

func shardOf(id string, shards int) int {
	return int(xxhash.Sum64String(id) % uint64(max(shards, 1)))
}

// targets returns the usable targets of the group.
func (g Group) targets(v *fleetview.View) []fleetstate.Target {
	all := v.UsableTargets(g.Service)
	if g.Shards <= 1 {
		return all
	}
	var own []fleetstate.Target
	for _, t := range all {
		if g.contains(t.ID) {
			own = append(own, t)
		}
	}
	return own
}

// groupFor returns the group that grants a target for a request. It selects one
// of the targets by a hash of the request's id, attempt and call for a grant, so that
// groups get requests in proportion to their targets, and each attempt, and each
// further call after one that has waited in vain, may use another group.
// ownRegionTargets holds the targets of this region. The number of groups is
// derived from the targets of all regions, since owners of different regions
// exchange evidence within a group.
func groupFor(all, ownRegionTargets []fleetstate.Target, regions int, service, requestID string, attempt, call int) Group {
	shards := 1
	for 2*shards*targetsPerGroup*regions <= len(all) {
		shards *= 2
	}
	if shards == 1 {
		return Group{Service: service, Shards: 1}
	}
	if len(ownRegionTargets) == 0 {
		ownRegionTargets = all
	}
	index := xxhash.Sum64String(fmt.Sprint(requestID, "/", attempt, "/", call)) % uint64(len(ownRegionTargets))
	return Group{Service: service, Shard: shardOf(ownRegionTargets[index].ID, shards), Shards: shards}
}
