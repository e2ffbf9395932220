package plan

import "sync"

// Replica is a copy of the catalog that follows another one by deltas. Its
// version never goes down. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	current *Snapshot
	history History
	changed chan struct{} // closed when the version rises
}

// NewReplica returns a copy of the empty catalog at version 0.
func NewReplica() *Replica {
	return &Replica{current: Empty(), changed: make(chan struct{})}
}

// Apply brings the copy to the version of the delta. It fails with
// ErrLowerVersion for a delta to a lower version, and with another error if
// a full copy is needed; the copy is unchanged then.
func (r *Replica) Apply(d Delta) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := r.current.Apply(d)
	if err != nil {
		return err
	}
	if next.version == r.current.version && next.digest == r.current.digest {
		return nil
	}
	if d.Full {
		r.history = History{}
	} else {
		r.history.add(step{From: r.current.version, To: next.version, IDs: d.changed()})
	}
	r.current = next
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Current returns the copy.
func (r *Replica) Current() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// DeltaSince returns what changed after the version.
func (r *Replica) DeltaSince(version uint64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.deltaSince(version, &r.history)
}

// Changed returns a channel that is closed when the version rises.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
