package plan

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// maxDetailLength is the maximum length in bytes of the detail of a stored
// result.
const maxDetailLength = 300

// Catalog is the current catalog, with the state that validating changes and
// computing deltas needs. It is not safe for concurrent use; the Snapshots it
// returns are.
type Catalog struct {
	current            *Snapshot
	results            results
	removedHomeRegions removedHomeRegions
	history            History
}

// NewCatalog returns an empty catalog at version 0.
func NewCatalog() *Catalog {
	return &Catalog{current: EmptySnapshot(), results: newResults(), removedHomeRegions: newRemovedHomeRegions()}
}

// Snapshot returns the catalog at its current version.
func (c *Catalog) Snapshot() *Snapshot { return c.current }

// DeltaSince returns the changes after version, or a full delta if the history
// does not reach back to it or most of the catalog has changed.
func (c *Catalog) DeltaSince(version uint64) Delta { return c.current.deltaSince(version, &c.history) }

// Result returns the stored result of the change with the id.
func (c *Catalog) Result(id string) (Result, bool) {
	stored, found := c.results.get(id)
	return stored.Result, found
}

// Apply applies the change as a whole or not at all. The first result of a
// change id is stored and returned to each resend.
func (c *Catalog) Apply(ch Change) Result {
	if !ValidName(ch.ID) {
		return c.invalid("change id: " + allowedNameDescription)
	}
	hash := hashChange(ch)
	if stored, found := c.results.get(ch.ID); found {
		if stored.ChangeHash != hash {
			return c.invalid("change id " + ch.ID + " was used for another change")
		}
		return stored.Result
	}
	result := c.apply(ch)
	c.results.add(storedResult{ID: ch.ID, ChangeHash: hash, Result: result})
	return result
}

func (c *Catalog) apply(ch Change) Result {
	if ch.BaseVersion != c.current.version {
		detail := fmt.Sprintf("base version is %d, current version is %d", ch.BaseVersion, c.current.version)
		return Result{Outcome: Stale, Version: c.current.version, Detail: detail}
	}
	draft, err := newDraft(c, ch)
	if err != nil {
		return c.invalid(err.Error())
	}
	next, err := c.current.update(c.current.version+1, draft.records(), ch.RemovePlans)
	if err != nil {
		return c.invalid(err.Error())
	}
	for _, id := range ch.RemovePlans {
		old, _ := c.current.Plan(id)
		c.removedHomeRegions.add(removedHomeRegion{ID: id, HomeRegion: old.HomeRegion})
	}
	ids := append(draft.ids(), ch.RemovePlans...)
	slices.Sort(ids)
	c.history.add(step{From: c.current.version, To: next.version, IDs: ids})
	c.current = next
	return Result{Outcome: Accepted, Version: next.version}
}

func (c *Catalog) invalid(detail string) Result {
	if len(detail) > maxDetailLength {
		detail = strings.ToValidUTF8(detail[:maxDetailLength], "") + "..."
	}
	return Result{Outcome: Invalid, Version: c.current.version, Detail: detail}
}

// Encode returns the canonical JSON form of the change, in which empty lists
// and missing ones are the same.
func (ch Change) Encode() []byte {
	ch.SetPlans = lo.Map(ch.SetPlans, func(p Plan, _ int) Plan {
		if p.TokenSHA256 == nil {
			p.TokenSHA256 = []string{}
		}
		return p
	})
	encoded, err := json.Marshal(ch)
	if err != nil {
		panic("plan: change cannot be encoded: " + err.Error())
	}
	return encoded
}
