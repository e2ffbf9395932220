package consensus

import "fmt"

// ready is the pending work of a core. It must be done in the order of the
// fields: reset, store, then send and apply. advance must be called next.
type ready struct {
	discarded   bool      // the state was discarded; reset the state machine
	snapshot    *snapshot // replaces the stored log and the state of the state machine
	hardState   hardState
	entries     []Entry
	mustSave    bool // hardState or entries have changed and must be made durable
	messages    []message
	committed   []Entry // to apply
	readStates  []readState
	failedReads []uint64
	removals    []voterRemoval // to log
}

// ready returns the pending work. It reports false if there is none.
func (c *core) ready() (ready, bool) {
	hardState := c.hardState()
	previous := c.savedHardState
	previous.Commit = hardState.Commit
	committed := c.log.slice(c.log.applied+1, c.log.commit)
	r := ready{
		discarded:   c.discarded,
		snapshot:    c.newSnapshot,
		hardState:   hardState,
		entries:     c.log.slice(c.log.stored+1, c.log.lastIndex()),
		messages:    c.messages,
		committed:   committed,
		readStates:  c.readStates,
		failedReads: c.failedReads,
		removals:    c.removals,
	}
	// The commit index is stored with a membership change, so that a restarted
	// member finds the configuration that it has acted on.
	r.mustSave = previous != hardState || len(r.entries) > 0 || hasMembershipChange(committed)
	hasWork := r.mustSave || r.discarded || r.snapshot != nil || len(r.messages) > 0 ||
		len(committed) > 0 || len(r.readStates) > 0 || len(r.failedReads) > 0
	if hasWork {
		c.messages, c.readStates, c.failedReads, c.removals = nil, nil, nil, nil
		c.newSnapshot, c.discarded = nil, false
	}
	return r, hasWork
}

// advance records that the work of r is done.
func (c *core) advance(r ready) {
	c.savedHardState = r.hardState
	if n := len(r.entries); n > 0 {
		c.log.stored = r.entries[n-1].Index
	}
	for _, entry := range r.committed {
		if entry.Index != c.log.applied+1 {
			panic(fmt.Sprintf("consensus: entry %d was applied after entry %d", entry.Index, c.log.applied))
		}
		c.log.applied = entry.Index
		c.log.bytesSinceSnapshot += entry.size()
		switch entry.Kind {
		case entryReplace:
			c.applyReplace(entry)
		case entryRemove:
			c.applyRemove(entry)
		}
	}
	if c.role == leader {
		c.advanceCommit()
		c.forEachProgress(c.admitLearner)
	}
}

func hasMembershipChange(entries []Entry) bool {
	for _, entry := range entries {
		if entry.changesMembership() {
			return true
		}
	}
	return false
}
