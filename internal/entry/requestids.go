package entry

import (
	"strconv"
	"strings"
	"sync"
)

// requestIDs keeps the ids in use apart. Callers may send one id with several
// requests, and an answer is matched to its request by the id, so an id in use
// for another request gets a unique part. Other ids, and those of a resend,
// reach the upstream unchanged.
type requestIDs struct {
	mu    sync.Mutex
	inUse map[string]idUse
}

// idUse tells what an id is in use for.
type idUse struct {
	subject string
	count   int
}

func newRequestIDs() *requestIDs { return &requestIDs{inUse: map[string]idUse{}} }

// subject tells a resend from another request.
func (q *request) subject() string {
	length := strconv.FormatInt(q.body.length, 10)
	return strings.Join([]string{q.plan.ID, q.service, q.method, q.path, q.query, q.key, length}, "\x00")
}

// take returns the id to use at the upstream. It must be released.
func (r *requestIDs) take(id, subject string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	use, used := r.inUse[id]
	if used && use.subject != subject {
		id += "." + newID()
		use = idUse{}
	}
	r.inUse[id] = idUse{subject: subject, count: use.count + 1}
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
