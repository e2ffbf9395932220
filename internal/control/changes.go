package control

import (
	"context"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

type submitInput struct{ Body plan.Change }

func (a *api) submitChange(ctx context.Context, in *submitInput) (*output[plan.Result], error) {
	result, failure := a.Submitter.Submit(ctx, in.Body)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	return resultResponse(result)
}

// resultResponse maps the result of a change to the API response.
func resultResponse(result plan.Result) (*output[plan.Result], error) {
	switch result.Outcome {
	case plan.Accepted:
		return &output[plan.Result]{result}, nil
	case plan.Stale:
		return nil, newVersionError(fault.VersionConflict, result.Detail, result.Version)
	default:
		return nil, newVersionError(fault.InvalidChange, result.Detail, result.Version)
	}
}

type getChangeInput struct {
	ID string `path:"id"`
}

func (a *api) getChange(ctx context.Context, in *getChangeInput) (*output[plan.Result], error) {
	snapshot, failure := a.Submitter.LinearizableSnapshot(ctx)
	if failure != nil {
		return nil, controlapi.NewError(failure)
	}
	result, found := a.Catalog.Result(in.ID)
	if !found {
		return nil, newVersionError(fault.NotFound, "no result is stored for this change id", snapshot.Version())
	}
	return &output[plan.Result]{result}, nil
}

type diffInput struct {
	After uint64 `query:"after" doc:"catalog version to compare with the current one"`
}

func (a *api) diff(ctx context.Context, in *diffInput) (*output[controlapi.Diff], error) {
	if _, failure := a.Submitter.LinearizableSnapshot(ctx); failure != nil {
		return nil, controlapi.NewError(failure)
	}
	d := a.Catalog.DeltaSince(in.After)
	body := controlapi.Diff{From: in.After, Version: d.To, Full: d.Full, Removed: d.Removed}
	body.Set = lo.Map(d.Records, func(r *plan.Record, _ int) plan.Record { return *r })
	if body.Removed == nil {
		body.Removed = []string{}
	}
	return &output[controlapi.Diff]{body}, nil
}

func (a *api) status(context.Context, *struct{}) (*output[controlapi.Status], error) {
	current := a.Catalog.Current()
	body := controlapi.Status{
		GroupStatus:    a.Group.Status(),
		InContact:      a.InContact(),
		CatalogVersion: current.Version(),
		Plans:          current.PlanCount(),
		Entitlements:   current.EntitlementCount(),
	}
	body.Members = lo.Map(body.Members, func(m controlapi.GroupMember, _ int) controlapi.GroupMember {
		m.Address = a.APIAddresses[m.Name]
		return m
	})
	return &output[controlapi.Status]{body}, nil
}
