package consensus

import "fmt"

// ready is the work that a core asks for. It must be done in the order of the
// fields: forget, store, then send and apply. advance must be called next.
type ready struct {
	discarded bool      // forget the state; the state machine starts anew
	snapshot  *snapshot // store in place of the log, and restore the state machine
	hard      hardState
	entries   []Entry
	save      bool // hard or entries have changed and must be durable
	messages  []message
	committed []Entry // to apply
	readsDone []readState
	lostReads []uint64
}

// ready returns the work to do. It reports false if there is none.
func (c *core) ready() (ready, bool) {
	hard := c.hard()
	previous := c.savedHard
	previous.Commit = hard.Commit
	committed := c.log.slice(c.log.applied+1, c.log.commit)
	r := ready{
		discarded: c.discarded,
		snapshot:  c.newSnapshot,
		hard:      hard,
		entries:   c.log.slice(c.log.stored+1, c.log.lastIndex()),
		messages:  c.messages,
		committed: committed,
		readsDone: c.readsDone,
		lostReads: c.lostReads,
	}
	// A restarted member must find the configuration that it has acted on.
	r.save = previous != hard || len(r.entries) > 0 || hasReplace(committed)
	any := r.save || r.discarded || r.snapshot != nil || len(r.messages) > 0 ||
		len(committed) > 0 || len(r.readsDone) > 0 || len(r.lostReads) > 0
	if any {
		c.messages, c.readsDone, c.lostReads = nil, nil, nil
		c.newSnapshot, c.discarded = nil, false
	}
	return r, any
}

// advance records that the work of r is done.
func (c *core) advance(r ready) {
	c.savedHard = r.hard
	if n := len(r.entries); n > 0 {
		c.log.stored = r.entries[n-1].Index
	}
	for _, entry := range r.committed {
		if entry.Index != c.log.applied+1 {
			panic(fmt.Sprintf("consensus: entry %d is applied behind %d", entry.Index, c.log.applied))
		}
		c.log.applied = entry.Index
		c.log.grown += entry.size()
		switch entry.Kind {
		case entryReplace:
			c.applyReplace(entry)
		case entryRemove:
			c.applyRemove(entry)
		}
	}
	if c.role == leader {
		c.advanceCommit()
		c.eachProgress(c.admitLearner)
	}
}

func hasReplace(entries []Entry) bool {
	for _, entry := range entries {
		if entry.changesMembers() {
			return true
		}
	}
	return false
}
