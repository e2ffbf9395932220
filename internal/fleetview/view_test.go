package fleetview

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/routing"
)

func entriesOf(dataCentre, region string, count int) []fleetstate.Entry {
	var all []fleetstate.Entry
	for n := range count {
		all = append(all, fleetstate.Entry{Name: fmt.Sprint(dataCentre, "-", n), DataCentre: dataCentre, Region: region, State: fleetstate.Serving})
	}
	return all
}

// Guards against keys that change their owner because another entry is lost.
func TestRankMovesOnlyKeysOfLostEntry(t *testing.T) {
	all := entriesOf("d", "r", 9)
	before := &View{Entries: all}
	after := &View{Entries: append([]fleetstate.Entry(nil), all...)}
	after.Entries[4].State = fleetstate.Lost
	owners := map[string]int{}
	for n := range 500 {
		key := fmt.Sprint("key ", n)
		first := before.Rank(key, "r")[0].Name
		owners[first]++
		if first != all[4].Name {
			assert.Equal(t, first, after.Rank(key, "r")[0].Name)
		}
	}
	assert.Len(t, owners, 9)
	assert.Empty(t, before.Rank("key", "elsewhere"))
}

// Guards against reserved owners that serve callers, and against a data centre
// without any owner or without any entry for callers.
func TestOwnersAndCallerFacing(t *testing.T) {
	for _, count := range []int{1, 3, 8, 20} {
		v := &View{Entries: entriesOf("d", "r", count)}
		owners, callerFacing := v.ReservedOwners(v.Entries), v.CallerFacing(v.Entries)
		assert.NotEmpty(t, owners)
		assert.NotEmpty(t, callerFacing)
		if count < 5 {
			assert.Len(t, owners, count, "a small data centre reserves no owners")
			continue
		}
		assert.Equal(t, count, len(owners)+len(callerFacing))
	}
}

// Guards against a view that keeps targets which are gone, or that returns to an
// older routing document.
func TestViewUpdates(t *testing.T) {
	document := func(version uint64) *fleetstate.Routing {
		return &fleetstate.Routing{Document: &routing.Document{Version: version}}
	}
	v := (&View{}).withUpdate(fleetstate.Update{Index: 1, Reset: true, Routing: document(5), Targets: []fleetstate.Target{{ID: "a", Service: "s", State: fleetstate.Ready}, {ID: "b", Service: "s", State: fleetstate.Draining}}})
	assert.Len(t, v.Targets, 2)
	assert.Len(t, v.UsableTargets("s"), 1)
	v = v.withUpdate(fleetstate.Update{Index: 2, Routing: document(4), Targets: []fleetstate.Target{{ID: "a", State: fleetstate.Gone}}})
	assert.Equal(t, uint64(5), v.Version())
	assert.Empty(t, v.UsableTargets("s"))
	v = v.withUpdate(fleetstate.Update{Index: 3, Reset: true, Routing: document(6)})
	assert.Empty(t, v.Targets)
	assert.Equal(t, uint64(6), v.Version())
}

// Guards against a first routing document that control acknowledges and no entry takes
// up, because its version is the one of a view without a document.
func TestFirstDocumentOfVersionZero(t *testing.T) {
	update := func(index, version uint64) fleetstate.Update {
		return fleetstate.Update{Index: index, Routing: &fleetstate.Routing{Document: &routing.Document{Version: version}}}
	}
	empty := (&View{}).withUpdate(fleetstate.Update{Index: 1})
	assert.Nil(t, empty.Routes)
	first := empty.withUpdate(update(2, 0))
	require.NotNil(t, first.Routes)
	assert.Same(t, first.Routes, first.withUpdate(update(3, 0)).Routes, "the version is not higher")
	assert.Equal(t, uint64(1), first.withUpdate(update(4, 1)).Version())
}
