package plan

import (
	"maps"
	"slices"
)

// Limits of a History. There are at most 9,700 changes a day, so a copy that is
// a day behind still gets a delta instead of the whole catalog.
const (
	maxHistorySteps = 20_000
	maxHistoryIDs   = 100_000
)

// step names the plans that changed between two versions.
type step struct {
	From uint64   `json:"from"`
	To   uint64   `json:"to"`
	IDs  []string `json:"ids"`
}

// History keeps the ids of the plans that recent versions changed. It is not
// safe for concurrent use.
type History struct {
	steps []step
	ids   int // number of ids in all steps
}

// add appends a step. If it does not start where the last step ended, the
// earlier steps are dropped, because a delta cannot span the gap.
func (h *History) add(s step) {
	if n := len(h.steps); n > 0 && h.steps[n-1].To != s.From {
		h.steps, h.ids = nil, 0
	}
	h.steps = append(h.steps, s)
	h.ids += len(s.IDs)
	drop := 0
	for len(h.steps)-drop > maxHistorySteps || h.ids > maxHistoryIDs {
		h.ids -= len(h.steps[drop].IDs)
		drop++
	}
	h.steps = slices.Delete(h.steps, 0, drop)
}

// since returns the sorted ids of the plans that changed after version. It
// reports complete as false if the history does not reach back to version.
func (h *History) since(version uint64) (ids []string, complete bool) {
	if len(h.steps) == 0 || version < h.steps[0].From {
		return nil, false
	}
	changed := make(map[string]struct{})
	for i := len(h.steps) - 1; i >= 0 && h.steps[i].To > version; i-- {
		for _, id := range h.steps[i].IDs {
			changed[id] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(changed)), true
}
