package fleetview

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
)

// Serving returns the serving entries of a region; an empty region means all
// regions.
func (v *View) Serving(region string) []fleetstate.Entry {
	var serving []fleetstate.Entry
	for _, e := range v.Entries {
		if e.State == fleetstate.Serving && (region == "" || e.Region == region) {
			serving = append(serving, e)
		}
	}
	return serving
}

// Rank returns the serving entries of the region in the order in which they own
// the key, by rendezvous hashing. Entries with the same view get the same order,
// and the loss of an entry moves only the keys that it owned.
func (v *View) Rank(key, region string) []fleetstate.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	if ranked, ok := v.ranks[rankKey{key, region}]; ok {
		return ranked
	}
	ranked := v.Serving(region)
	slices.SortFunc(ranked, func(a, b fleetstate.Entry) int {
		x, y := score(a.Name, key), score(b.Name, key)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	if v.ranks == nil {
		v.ranks = map[rankKey][]fleetstate.Entry{}
	}
	v.ranks[rankKey{key, region}] = ranked
	return ranked
}

type rankKey struct{ key, region string }

func score(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }
