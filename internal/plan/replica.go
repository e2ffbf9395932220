package plan

import "sync"

// Replica is a copy of the catalog that is updated by deltas. Its version never
// decreases. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	current *Snapshot
	history History
	changed chan struct{} // closed and replaced when the catalog changes
}

// NewReplica returns a replica of the empty catalog at version 0.
func NewReplica() *Replica {
	return &Replica{current: EmptySnapshot(), changed: make(chan struct{})}
}

// Apply brings the replica to version d.To. It fails with ErrLowerVersion if
// that version is lower than the replica's, and with another error if a full
// delta is needed. The replica is unchanged after an error.
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
		r.history.add(step{From: r.current.version, To: next.version, IDs: d.changedIDs()})
	}
	r.current = next
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// Current returns the catalog at the replica's version.
func (r *Replica) Current() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// DeltaSince returns the changes after version, or a full delta if the history
// does not reach back to it or most of the catalog has changed.
func (r *Replica) DeltaSince(version uint64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.deltaSince(version, &r.history)
}

// Changed returns a channel that is closed when the catalog changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
