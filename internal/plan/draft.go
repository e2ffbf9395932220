package plan

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// draft is a change that is being validated: the records that it sets and the
// plans that it removes, by plan id.
type draft struct {
	base    *Snapshot
	changed map[string]*Record
	removed map[string]bool
}

// newDraft validates the change against the rules and the catalog. A plan or
// an entitlement that is named twice, or both set and removed, is rejected,
// because the result would depend on the order of the items.
func newDraft(c *Catalog, ch Change) (*draft, error) {
	items := len(ch.SetPlans) + len(ch.RemovePlans) + len(ch.SetEntitlements) + len(ch.RemoveEntitlements)
	if items == 0 {
		return nil, errors.New("the change is empty")
	}
	if items > MaxItemsOfChange {
		return nil, fmt.Errorf("%d items in one change: want at most %d", items, MaxItemsOfChange)
	}
	d := &draft{base: c.current, changed: make(map[string]*Record), removed: make(map[string]bool)}
	if err := d.removePlans(ch.RemovePlans); err != nil {
		return nil, err
	}
	if err := d.setPlans(ch.SetPlans, &c.removedHomeRegions); err != nil {
		return nil, err
	}
	if err := d.changeEntitlements(ch); err != nil {
		return nil, err
	}
	return d, d.check()
}

func (d *draft) removePlans(ids []string) error {
	for _, id := range ids {
		if _, found := d.base.Record(id); !found {
			return fmt.Errorf("plan %q to be removed does not exist", id)
		}
		if d.removed[id] {
			return fmt.Errorf("plan %s: named twice", id)
		}
		d.removed[id] = true
	}
	return nil
}

func (d *draft) setPlans(plans []Plan, removed *removedHomeRegions) error {
	for _, p := range plans {
		if d.removed[p.ID] || d.changed[p.ID] != nil {
			return fmt.Errorf("plan %s: named twice", p.ID)
		}
		if err := p.Check(); err != nil {
			return err
		}
		if err := d.checkHomeRegion(p, removed); err != nil {
			return err
		}
		r := d.recordForEdit(p.ID)
		p.TokenSHA256 = slices.Clone(p.TokenSHA256)
		r.Plan = p
	}
	return nil
}

func (d *draft) checkHomeRegion(p Plan, removed *removedHomeRegions) error {
	home, known := removed.get(p.ID)
	if old, found := d.base.Plan(p.ID); found {
		home, known = old.HomeRegion, true
	}
	if known && home != p.HomeRegion {
		return fmt.Errorf("plan %s: home_region cannot be changed from %q to %q", p.ID, home, p.HomeRegion)
	}
	return nil
}

func (d *draft) changeEntitlements(ch Change) error {
	named := make(map[EntitlementKey]bool)
	for _, key := range ch.RemoveEntitlements {
		r := d.existingRecordForEdit(key.Plan)
		if r == nil || named[key] || !r.removeEntitlement(key.Service) {
			return fmt.Errorf("entitlement %q/%q to be removed does not exist or is named twice", key.Plan, key.Service)
		}
		named[key] = true
	}
	for _, e := range ch.SetEntitlements {
		key := EntitlementKey{Plan: e.Plan, Service: e.Service}
		if err := e.Check(); err != nil {
			return err
		}
		r := d.existingRecordForEdit(e.Plan)
		if r == nil {
			return fmt.Errorf("entitlement %s/%s: plan does not exist", e.Plan, e.Service)
		}
		if named[key] {
			return fmt.Errorf("entitlement %s/%s: named twice", e.Plan, e.Service)
		}
		named[key] = true
		r.setEntitlement(e)
	}
	return nil
}

// recordForEdit returns the draft's modifiable record of a plan. It starts as a
// copy of the current record, or as an empty one for a new plan.
func (d *draft) recordForEdit(id string) *Record {
	if r := d.changed[id]; r != nil {
		return r
	}
	r := &Record{}
	if old, found := d.base.Record(id); found {
		r = old.clone()
	}
	d.changed[id] = r
	return r
}

// existingRecordForEdit is like recordForEdit, but returns nil if the plan does
// not exist once the change is applied.
func (d *draft) existingRecordForEdit(id string) *Record {
	if d.removed[id] {
		return nil
	}
	_, found := d.base.Record(id)
	if !found && d.changed[id] == nil {
		return nil
	}
	return d.recordForEdit(id)
}

func (d *draft) check() error {
	for _, r := range d.records() {
		if err := r.check(); err != nil {
			return err
		}
		r.intern()
	}
	return nil
}

func (d *draft) ids() []string { return slices.Sorted(maps.Keys(d.changed)) }

// records returns the changed records, sorted by plan id.
func (d *draft) records() []*Record {
	records := slices.Collect(maps.Values(d.changed))
	slices.SortFunc(records, compareByPlanID)
	return records
}
