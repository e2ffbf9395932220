package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// removeAfter is the silence of a voting member after which a member that was
// admitted since takes its place.
const removeAfter = 6 * time.Second

// votingCache holds the configuration that the log ends in. The last entry
// identifies the whole log, so it tells whether the cache is current.
type votingCache struct {
	epoch, index, term uint64
	config             configuration
}

// changesMembers reports whether the entry changes the configuration.
func (e Entry) changesMembers() bool { return e.Kind == entryReplace || e.Kind == entryRemove }

// voting returns the configuration that elections and commits count. With
// changeable slots it is the one that the log ends in, committed or not:
// otherwise a candidate that has not applied the latest changes could win with
// a majority of an older configuration.
func (c *core) voting() configuration {
	if !c.dynamic {
		return c.config
	}
	last, term := c.log.lastIndex(), c.log.lastTerm()
	if c.inLog.config != nil && c.inLog.epoch == c.epoch && c.inLog.index == last && c.inLog.term == term {
		return c.inLog.config
	}
	config := c.config.clone()
	for _, entry := range c.log.slice(c.log.applied+1, last) {
		config.change(entry)
	}
	c.inLog = votingCache{epoch: c.epoch, index: last, term: term, config: config}
	return config
}

// change takes in an entry that changes members, and leaves out any other.
func (c configuration) change(entry Entry) {
	switch entry.Kind {
	case entryReplace:
		var id MemberID
		if err := cbor.Unmarshal(entry.Data, &id); err != nil {
			panic(fmt.Sprintf("consensus: Replace entry %d cannot be decoded: %v", entry.Index, err))
		}
		c[id.Slot] = id.Incarnation
	case entryRemove:
		delete(c, string(entry.Data))
	}
}

// applyRemove takes a slot out of the configuration.
func (c *core) applyRemove(entry Entry) {
	c.config.change(entry)
	c.configIndex = entry.Index
	if c.pendingReplace == entry.Index {
		c.pendingReplace = 0
	}
	if c.role == leader {
		c.setPeers()
	}
}

// removeReplaced removes a voting member that has been silent for long, once a
// member that was admitted after it fell silent has taken its place.
func (c *core) removeReplaced() {
	if !c.dynamic || c.pendingReplace != 0 || !c.log.matches(c.log.commit, c.term) {
		return
	}
	for _, slot := range c.progressSlots() {
		p := c.peers[slot]
		if p == nil || c.now.Sub(p.contact) < removeAfter || !c.admittedSince(p.contact) {
			continue
		}
		entry := c.appendOwn(Entry{Kind: entryRemove, Data: []byte(slot)})
		c.pendingReplace = entry.Index
		c.setPeers()
		c.broadcastAppend()
		return
	}
}

// admittedSince reports whether a live member joined the group after t.
func (c *core) admittedSince(t time.Time) bool {
	return lo.SomeBy(lo.Values(c.peers), func(p *progress) bool {
		return p.admitted.After(t) && c.now.Sub(p.contact) < c.electionTimeout
	})
}

// progressSlots returns the slots of the other members in a fixed order.
func (c *core) progressSlots() []string {
	if !c.dynamic {
		return c.slots
	}
	slots := append(lo.Keys(c.peers), lo.Keys(c.learners)...)
	slices.Sort(slots)
	return slices.Compact(slots)
}

// formationSlots returns the slots that a message of formation goes to. The
// group is formed by its initial slots alone; a member that looks for the
// group also asks those that it knows from its log or by name.
func (c *core) formationSlots(kind messageType) []string {
	if !c.dynamic || kind != msgProbe {
		return c.slots
	}
	slots := append(slices.Clone(c.slots), lo.Keys(c.voting())...)
	if c.formation.leaderHint != "" {
		slots = append(slots, c.formation.leaderHint)
	}
	slices.Sort(slots)
	return slices.Compact(slots)
}

func sortedSlots(config configuration) []string {
	slots := lo.Keys(config)
	slices.Sort(slots)
	return slots
}

// members lists the slots for the status of the group.
func (g *Group) members() []Member {
	if !g.config.Dynamic {
		return g.config.Members
	}
	return lo.Map(sortedSlots(g.core.voting()), func(slot string, _ int) Member {
		return Member{Slot: slot, Address: slot}
	})
}
