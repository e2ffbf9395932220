package plan

// maxRemovedHomes is the number of removed plans whose home region is kept.
const maxRemovedHomes = 100_000

// removedHome is the home region of a plan that was removed.
type removedHome struct {
	ID         string `json:"id"`
	HomeRegion string `json:"home_region"`
}

// removedHomes keeps the home regions of removed plans. A plan that is added
// again must keep its home region: claims of its idempotency keys are held in
// that region, and a key looked up in another one could run twice.
type removedHomes struct {
	order []removedHome
	byID  map[string]string
}

func newRemovedHomes() removedHomes { return removedHomes{byID: make(map[string]string)} }

func (h *removedHomes) get(id string) (region string, found bool) {
	region, found = h.byID[id]
	return region, found
}

// add records a removal. The oldest one is dropped when there are too many.
func (h *removedHomes) add(r removedHome) {
	if _, known := h.byID[r.ID]; known {
		return
	}
	h.byID[r.ID] = r.HomeRegion
	h.order = append(h.order, r)
	if len(h.order) > maxRemovedHomes {
		delete(h.byID, h.order[0].ID)
		h.order = h.order[1:]
	}
}
