package ctl

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// maxItemsPerChange is the maximum number of items of a change that is submitted
// without being split.
const maxItemsPerChange = 5000

// CatalogItems are plans and entitlements. A file for diff and apply holds the
// wanted ones in this form.
type CatalogItems struct {
	Plans        []plan.Plan        `json:"plans"`
	Entitlements []plan.Entitlement `json:"entitlements"`
}

// Check implements settings.Checker.
func (l *CatalogItems) Check(report settings.Report) {
	for i, p := range l.Plans {
		if err := p.Check(); err != nil {
			report(fmt.Sprintf("plans[%d]", i), p.ID, err.Error())
		}
	}
	for i, e := range l.Entitlements {
		if err := e.Check(); err != nil {
			report(fmt.Sprintf("entitlements[%d]", i), e.Plan+"/"+e.Service, err.Error())
		}
	}
}

// ChangeTo returns the change from the current to the wanted items. Current items
// that are not wanted are kept, unless prune is set.
func ChangeTo(current, wanted CatalogItems, prune bool) plan.Change {
	var ch plan.Change
	havePlans := lo.KeyBy(current.Plans, planID)
	for _, p := range wanted.Plans {
		if have, found := havePlans[p.ID]; !found || !equalPlans(have, p) {
			ch.SetPlans = append(ch.SetPlans, p)
		}
	}
	haveEntitlements := lo.KeyBy(current.Entitlements, entitlementKey)
	for _, e := range wanted.Entitlements {
		if have, found := haveEntitlements[entitlementKey(e)]; !found || have != e {
			ch.SetEntitlements = append(ch.SetEntitlements, e)
		}
	}
	if prune {
		addRemovals(&ch, current, wanted)
	}
	return ch
}

// addRemovals adds the removal of current items that are not wanted.
func addRemovals(ch *plan.Change, current, wanted CatalogItems) {
	wantPlans := lo.KeyBy(wanted.Plans, planID)
	for _, p := range current.Plans {
		if _, found := wantPlans[p.ID]; !found {
			ch.RemovePlans = append(ch.RemovePlans, p.ID)
		}
	}
	wantEntitlements := lo.KeyBy(wanted.Entitlements, entitlementKey)
	for _, e := range current.Entitlements {
		_, kept := wantEntitlements[entitlementKey(e)]
		_, planKept := wantPlans[e.Plan]
		if !kept && planKept {
			ch.RemoveEntitlements = append(ch.RemoveEntitlements, entitlementKey(e))
		}
	}
}

func planID(p plan.Plan) string { return p.ID }

func entitlementKey(e plan.Entitlement) plan.EntitlementKey {
	return plan.EntitlementKey{Plan: e.Plan, Service: e.Service}
}

func equalPlans(a, b plan.Plan) bool {
	return a.ID == b.ID && a.Weight == b.Weight && a.HomeRegion == b.HomeRegion && slices.Equal(a.TokenSHA256, b.TokenSHA256)
}

// ItemCount returns the number of items in a change.
func ItemCount(ch plan.Change) int {
	return len(ch.SetPlans) + len(ch.RemovePlans) + len(ch.SetEntitlements) + len(ch.RemoveEntitlements)
}

// SplitChange divides a change that is too large for one submission. The parts
// must be submitted in order; each one takes effect atomically.
func SplitChange(ch plan.Change) []plan.Change {
	if ItemCount(ch) <= maxItemsPerChange {
		return []plan.Change{ch}
	}
	var parts []plan.Change
	for _, part := range lo.Chunk(ch.RemoveEntitlements, maxItemsPerChange) {
		parts = append(parts, plan.Change{RemoveEntitlements: part})
	}
	for _, part := range lo.Chunk(ch.RemovePlans, maxItemsPerChange) {
		parts = append(parts, plan.Change{RemovePlans: part})
	}
	for _, part := range lo.Chunk(ch.SetPlans, maxItemsPerChange) {
		parts = append(parts, plan.Change{SetPlans: part})
	}
	for _, part := range lo.Chunk(ch.SetEntitlements, maxItemsPerChange) {
		parts = append(parts, plan.Change{SetEntitlements: part})
	}
	return parts
}
