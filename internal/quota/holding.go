package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/fleetview"
)

const (
	// ContactLimit is how long a holder grants without contact with control. It covers
	// the election of a leader among the control members, with one that is repeated.
	ContactLimit = 5 * time.Second
	// takeoverWait is how long a new holder waits for a former one that does not
	// respond: until that one has lost contact by ContactLimit, and one second more,
	// for which a control member that has just lost contact still confirms views.
	takeoverWait = ContactLimit + time.Second
	// maxCandidates limits the entries that a new holder asks.
	maxCandidates = 12
)

// shardKey is the key by which entries are ranked as holders of a shard.
func shardKey(shard, shards int) string {
	if shards <= 1 {
		return "quota/0"
	}
	return fmt.Sprintf("quota/%d/%d", shard, shards)
}

// ranked returns the serving entries of a region in order of precedence as holder.
func ranked(v *fleetview.View, lowBandwidth bool, shard, shards int, region string) []fleetstate.Entry {
	entries := v.Rank(shardKey(shard, shards), region)
	if lowBandwidth {
		return v.ReservedOwners(entries)
	}
	return entries
}

// formerHolders returns the entries that may still grant as the holder of the shard:
// those that precede or would precede in rank if all entries served, and the holders
// under other numbers of shards. Entries that have been lost for takeoverWait are
// left out.
func formerHolders(v *fleetview.View, lowBandwidth bool, shard, shards int, self fleetstate.Entry, lostFor func(name string) time.Duration) []fleetstate.Entry {
	all := &fleetview.View{Entries: lo.Map(v.Entries, func(e fleetstate.Entry, _ int) fleetstate.Entry {
		e.State = fleetstate.Serving
		return e
	})}
	former := ranked(all, lowBandwidth, shard, shards, self.Region)
	former = slices.Concat(former[:min(len(former), maxCandidates)], firstN(ranked(v, lowBandwidth, shard, shards, self.Region), maxCandidates/2))
	for _, other := range []int{shards / 2, shards * 2} {
		for s := range other {
			if other <= maxShards && s%min(shards, other) == shard%min(shards, other) {
				former = append(former, firstN(ranked(v, lowBandwidth, s, other, self.Region), 1)...)
			}
		}
	}
	former = lo.UniqBy(former, func(e fleetstate.Entry) string { return e.Name })
	return lo.Filter(former, func(e fleetstate.Entry, _ int) bool {
		return e.Name != self.Name && lostFor(e.Name) < takeoverWait
	})
}

func firstN(entries []fleetstate.Entry, n int) []fleetstate.Entry {
	return entries[:min(len(entries), n)]
}

// holding is the state of a shard for which this entry ranks first.
type holding struct {
	shard, shards int
	since         time.Duration // when this entry first ranked first
	ledger        *Ledger       // nil until former holders have stopped

	transfers map[Kind]*transfers
}

// transfers is the state of the messages of a kind to the holders of other regions.
type transfers struct {
	inFlight bool
	region   int // of the other regions, the one that is asked first
}

func newHolding(shard, shards int, now time.Duration) *holding {
	return &holding{shard: shard, shards: shards, since: now, transfers: map[Kind]*transfers{UrgentTransfer: {}, FillTransfer: {}}}
}
