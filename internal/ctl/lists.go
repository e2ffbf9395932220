package ctl

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
)

// maxItemsPerChange is the number of items up to which a file is sent as one
// change.
const maxItemsPerChange = 5000

// Lists is the content of a file for diff and apply: the plans and
// entitlements as they should be.
type Lists struct {
	Plans        []plan.Plan        `json:"plans"`
	Entitlements []plan.Entitlement `json:"entitlements"`
}

// Check implements settings.Checker.
func (l *Lists) Check(report settings.Report) {
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

// ChangeTo returns the change that leads from the current lists to the wanted
// ones. What is absent from the wanted lists stays, unless prune is set.
func ChangeTo(current, wanted Lists, prune bool) plan.Change {
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

func addRemovals(ch *plan.Change, current, wanted Lists) {
	wantPlans := lo.KeyBy(wanted.Plans, planID)
	for _, p := range current.Plans {
		if _, found := wantPlans[p.ID]; !found {
			ch.RemovePlans = append(ch.RemovePlans, p.ID)
		}
	}
	wantEntitlements := lo.KeyBy(wanted.Entitlements, entitlementKey)
	for _, e := range current.Entitlements {
		_, wantedToo := wantEntitlements[entitlementKey(e)]
		_, planStays := wantPlans[e.Plan]
		if !wantedToo && planStays {
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

// Items returns the number of items that a change names.
func Items(ch plan.Change) int {
	return len(ch.SetPlans) + len(ch.RemovePlans) + len(ch.SetEntitlements) + len(ch.RemoveEntitlements)
}

// Split divides a change that is too large for one submission. The parts are
// meant to be submitted in order; each one takes effect as a whole.
func Split(ch plan.Change) []plan.Change {
	if Items(ch) <= maxItemsPerChange {
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
