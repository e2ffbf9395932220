package entry

import (
	"strconv"
	"strings"
	"sync"
)

// requestIDs makes the request ids in use at upstreams unique. Callers may send
// the same id with different requests, but a response is matched to its request
// by the id. An id that is in use for a different request therefore gets a unique
// suffix. All other ids, including that of a resend, reach the upstream
// unchanged.
type requestIDs struct {
	mu    sync.Mutex
	inUse map[string]idUse
}

// idUse describes the requests that use an id.
type idUse struct {
	fingerprint string
	count       int
}

func newRequestIDs() *requestIDs { return &requestIDs{inUse: map[string]idUse{}} }

// fingerprint identifies the request, to tell a resend from a different request
// with the same id.
func (q *request) fingerprint() string {
	length := strconv.FormatInt(q.body.length, 10)
	return strings.Join([]string{q.plan.ID, q.service, q.method, q.path, q.query, q.key, length}, "\x00")
}

// acquire returns the id to send to the upstream. The caller must release it.
func (r *requestIDs) acquire(id, fingerprint string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	use, used := r.inUse[id]
	if used && use.fingerprint != fingerprint {
		id += "." + newID()
		use = idUse{}
	}
	r.inUse[id] = idUse{fingerprint: fingerprint, count: use.count + 1}
	return id
}

func (r *requestIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use := r.inUse[id]
	use.count--
	if use.count == 0 {
		delete(r.inUse, id)
		return
	}
	r.inUse[id] = use
}
