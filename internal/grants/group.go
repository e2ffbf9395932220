package grants

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
)

// targetsPerGroup is how many targets of a mean region a group has at least. Fewer
// make the evidence in one place thin; more make one owner the bottleneck of
// its service.
const targetsPerGroup = 12

// Group is a part of a service that has an owner of its own in each region. A
// service with few targets is one group; the number of groups doubles as its
// targets do, so that it seldom changes.
type Group struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Shards  int    `json:"shards"`
}

// key names the group for the rank of entries.
func (g Group) key() string {
	if g.Shards <= 1 {
		return g.Service
	}
	return fmt.Sprintf("%s/%d/%d", g.Service, g.Shard, g.Shards)
}

// holds reports whether the target belongs to the group.
func (g Group) holds(id string) bool { return shardOf(id, g.Shards) == g.Shard }

func shardOf(id string, shards int) int {
	return int(xxhash.Sum64String(id) % uint64(max(shards, 1)))
}

// targets returns the usable targets of the group.
func (g Group) targets(v *fleetview.View) []fleetstate.Target {
	all := v.Service(g.Service)
	if g.Shards <= 1 {
		return all
	}
	var own []fleetstate.Target
	for _, t := range all {
		if g.holds(t.ID) {
			own = append(own, t)
		}
	}
	return own
}

// groupFor returns the group that decides for a request. It draws one of the
// targets by the request's id, so that groups get requests in proportion to
// their targets; each further attempt draws anew. Home is the targets of the
// region. The number of groups follows from the targets of all regions, since
// owners of different regions exchange evidence within a group.
func groupFor(all, home []fleetstate.Target, regions int, service, requestID string, attempt int) Group {
	shards := 1
	for 2*shards*targetsPerGroup*regions <= len(all) {
		shards *= 2
	}
	if shards == 1 {
		return Group{Service: service, Shards: 1}
	}
	if len(home) == 0 {
		home = all
	}
	drawn := xxhash.Sum64String(fmt.Sprint(requestID, "/", attempt)) % uint64(len(home))
	return Group{Service: service, Shard: shardOf(home[drawn].ID, shards), Shards: shards}
}
