package plan

// maxRemovedHomeRegions is the number of removed plans whose home region is
// kept.
const maxRemovedHomeRegions = 100_000

// removedHomeRegion is the home region of a plan that was removed.
type removedHomeRegion struct {
	ID         string `json:"id"`
	HomeRegion string `json:"home_region"`
}

// removedHomeRegions keeps the home regions of removed plans. A plan that is
// added again must keep its home region, because the claims of its idempotency
// keys are held there: a request whose key is looked up in another region could
// run twice.
type removedHomeRegions struct {
	order []removedHomeRegion
	byID  map[string]string
}

func newRemovedHomeRegions() removedHomeRegions {
	return removedHomeRegions{byID: make(map[string]string)}
}

func (h *removedHomeRegions) get(id string) (region string, found bool) {
	region, found = h.byID[id]
	return region, found
}

// add records the home region of a removed plan. It drops the oldest one above
// maxRemovedHomeRegions.
func (h *removedHomeRegions) add(r removedHomeRegion) {
	if _, known := h.byID[r.ID]; known {
		return
	}
	h.byID[r.ID] = r.HomeRegion
	h.order = append(h.order, r)
	if len(h.order) > maxRemovedHomeRegions {
		delete(h.byID, h.order[0].ID)
		h.order = h.order[1:]
	}
}
