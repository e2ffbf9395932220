package entry

import "sync"

// requestIDs keeps the ids in use apart. Callers may send one id with several
// requests, and an answer is matched to its request by the id, so an id that is
// in use gets a unique part for the later request. Other ids reach the upstream
// unchanged.
type requestIDs struct {
	mu    sync.Mutex
	inUse map[string]struct{}
}

func newRequestIDs() *requestIDs { return &requestIDs{inUse: map[string]struct{}{}} }

// take returns the id to use at the upstream. It stays in use until released.
func (r *requestIDs) take(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, used := r.inUse[id]; used {
		id += "." + newID()
	}
	r.inUse[id] = struct{}{}
	return id
}

func (r *requestIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inUse, id)
}
