package plan

import (
	"maps"
	"slices"
)

// Limits of a History. A day has at most 9,700 changes, so a copy that missed
// a day still gets a delta.
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

// History remembers which plans recent versions changed. It is not safe for
// concurrent use.
type History struct {
	steps []step
	ids   int
}

// add records a step. A step that does not follow the last one makes the
// earlier steps useless, so they are dropped.
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

// since returns the plans changed after the version, in order, and whether
// the history reaches back that far.
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
