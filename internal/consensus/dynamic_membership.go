package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// votingCache holds the configuration after the last log entry. Epoch, index
// and term of the last entry identify the whole log, so they tell whether the
// cache is current.
type votingCache struct {
	epoch, index, term uint64
	config             configuration
}

// changesMembership reports whether the entry changes the configuration.
func (e Entry) changesMembership() bool { return e.Kind == entryReplace || e.Kind == entryRemove }

// votingConfig returns the configuration whose majority elects leaders and
// commits entries. In a dynamic group it includes all changes in the log,
// committed or not: otherwise a candidate that has not applied the latest
// changes could win with a majority of an older configuration.
func (c *core) votingConfig() configuration {
	if !c.dynamic {
		return c.config
	}
	last, term := c.log.lastIndex(), c.log.lastTerm()
	if c.votingCache.config != nil && c.votingCache.epoch == c.epoch && c.votingCache.index == last && c.votingCache.term == term {
		return c.votingCache.config
	}
	config := c.config.clone()
	for _, entry := range c.log.slice(c.log.applied+1, last) {
		config.applyEntry(entry)
	}
	c.votingCache = votingCache{epoch: c.epoch, index: last, term: term, config: config}
	return config
}

// applyEntry applies a membership change and ignores all other entries.
func (c configuration) applyEntry(entry Entry) {
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

// applyRemove applies a committed Remove entry.
func (c *core) applyRemove(entry Entry) {
	c.config.applyEntry(entry)
	c.configIndex = entry.Index
	if c.pendingChangeIndex == entry.Index {
		c.pendingChangeIndex = 0
	}
	if c.role == leader {
		c.updateVoters()
	}
}

// progressSlots returns the slots of the voters and learners in a fixed order.
func (c *core) progressSlots() []string {
	if !c.dynamic {
		return c.slots
	}
	slots := append(lo.Keys(c.voters), lo.Keys(c.learners)...)
	slices.Sort(slots)
	return slices.Compact(slots)
}

// formationRecipients returns the slots that a formation message is sent to.
// Only the initial slots form the group; probes also go to the slots known from
// the log, to the current seeds and to the leader named by another member.
func (c *core) formationRecipients(kind messageType) []string {
	if !c.dynamic || kind != msgProbe {
		return c.slots
	}
	slots := slices.Concat(c.slots, c.seeds, lo.Keys(c.votingConfig()))
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

// statusMembers returns the members listed in the status of the group.
func (g *Group) statusMembers() []Member {
	if !g.config.Dynamic {
		return g.config.Members
	}
	return lo.Map(sortedSlots(g.core.votingConfig()), func(slot string, _ int) Member {
		return Member{Slot: slot, Address: slot}
	})
}

// SetSeeds replaces the slots that a member of a dynamic group asks for a leader,
// beside those in its configuration and its log. A member that was out of contact
// while all of those were replaced finds the group through them.
func (g *Group) SetSeeds(slots []string) {
	select {
	case g.seeds <- slots:
	case <-g.done:
	}
}
