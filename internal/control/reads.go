package control

import (
	"context"
	"strings"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Page holds the query parameters that select a page of a list. It is exported
// because huma reads the fields of an embedded struct only if its type is
// exported.
type Page struct {
	After string `query:"after" doc:"list only items after this one, in order"`
	Limit int    `query:"limit" minimum:"1" maximum:"10000" default:"1000"`
}

type listPlansInput struct {
	Page
	Prefix string `query:"prefix" doc:"list only plans whose id starts with this"`
}

type output[T any] struct{ Body T }

func (a *api) listPlans(ctx context.Context, in *listPlansInput) (*output[controlapi.PlanList], error) {
	snapshot, failure := a.Submitter.LinearizableSnapshot(ctx)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	list := controlapi.PlanList{Version: snapshot.Version(), Plans: []plan.Plan{}}
	for _, r := range snapshot.Records() {
		if r.Plan.ID <= in.After || !strings.HasPrefix(r.Plan.ID, in.Prefix) {
			continue
		}
		if len(list.Plans) == in.Limit {
			list.Next = list.Plans[in.Limit-1].ID
			break
		}
		list.Plans = append(list.Plans, r.Plan)
	}
	return &output[controlapi.PlanList]{list}, nil
}

type getPlanInput struct {
	ID string `path:"id"`
}

func (a *api) getPlan(ctx context.Context, in *getPlanInput) (*output[controlapi.PlanDetail], error) {
	snapshot, failure := a.Submitter.LinearizableSnapshot(ctx)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	r, found := snapshot.Record(in.ID)
	if !found {
		return nil, newVersionError(fault.NotFound, "no such plan", snapshot.Version())
	}
	detail := controlapi.PlanDetail{Version: snapshot.Version(), Plan: r.Plan, Entitlements: r.Entitlements}
	if detail.Entitlements == nil {
		detail.Entitlements = []plan.Entitlement{}
	}
	return &output[controlapi.PlanDetail]{detail}, nil
}

type listEntitlementsInput struct {
	Page
	Plan    string `query:"plan"`
	Service string `query:"service"`
}

func (a *api) listEntitlements(ctx context.Context, in *listEntitlementsInput) (*output[controlapi.EntitlementList], error) {
	snapshot, failure := a.Submitter.LinearizableSnapshot(ctx)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	list := controlapi.EntitlementList{Version: snapshot.Version(), Entitlements: []plan.Entitlement{}}
	afterPlan, afterService, _ := strings.Cut(in.After, "/")
	for _, r := range recordsOf(snapshot, in.Plan) {
		if r.Plan.ID < afterPlan {
			continue
		}
		for _, e := range r.Entitlements {
			if in.Service != "" && e.Service != in.Service {
				continue
			}
			if e.Plan == afterPlan && e.Service <= afterService {
				continue
			}
			if len(list.Entitlements) == in.Limit {
				last := list.Entitlements[in.Limit-1]
				list.Next = last.Plan + "/" + last.Service
				return &output[controlapi.EntitlementList]{list}, nil
			}
			list.Entitlements = append(list.Entitlements, e)
		}
	}
	return &output[controlapi.EntitlementList]{list}, nil
}

// recordsOf returns the record of a plan, or all records if id is empty.
func recordsOf(snapshot *plan.Snapshot, id string) []*plan.Record {
	if id == "" {
		return snapshot.Records()
	}
	if r, found := snapshot.Record(id); found {
		return []*plan.Record{r}
	}
	return nil
}

type getEntitlementInput struct {
	Plan    string `path:"plan"`
	Service string `path:"service"`
}

func (a *api) getEntitlement(ctx context.Context, in *getEntitlementInput) (*output[controlapi.EntitlementDetail], error) {
	snapshot, failure := a.Submitter.LinearizableSnapshot(ctx)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	e, found := snapshot.Entitlement(in.Plan, in.Service)
	if !found {
		return nil, newVersionError(fault.NotFound, "no such entitlement", snapshot.Version())
	}
	return &output[controlapi.EntitlementDetail]{controlapi.EntitlementDetail{Version: snapshot.Version(), Entitlement: e}}, nil
}
