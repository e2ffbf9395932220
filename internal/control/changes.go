package control

import (
	"context"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

type submitInput struct{ Body plan.Change }

func (a *api) submitChange(ctx context.Context, in *submitInput) (*output[plan.Result], error) {
	result, failure := a.Submitter.Submit(ctx, in.Body)
	if failure != nil {
		return nil, newAPIError(failure)
	}
	return answerOf(result)
}

// answerOf maps the result of a change to the answer of the API.
func answerOf(result plan.Result) (*output[plan.Result], error) {
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
	snapshot, failure := a.Submitter.Barrier(ctx)
	if failure != nil {
		return nil, newAPIError(failure)
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

// catalogDiff lists what changed. Set records are shown as they are now.
type catalogDiff struct {
	From    uint64        `json:"from"`
	Version uint64        `json:"version" doc:"current catalog version"`
	Full    bool          `json:"full" doc:"whether the whole catalog is listed, because the history does not reach back"`
	Set     []plan.Record `json:"set" doc:"plans that were added or changed, with their entitlements"`
	Removed []string      `json:"removed" doc:"ids of removed plans"`
}

func (a *api) diff(ctx context.Context, in *diffInput) (*output[catalogDiff], error) {
	if _, failure := a.Submitter.Barrier(ctx); failure != nil {
		return nil, newAPIError(failure)
	}
	d := a.Catalog.DeltaSince(in.After)
	body := catalogDiff{From: in.After, Version: d.To, Full: d.Full, Removed: d.Removed}
	body.Set = lo.Map(d.Records, func(r *plan.Record, _ int) plan.Record { return *r })
	if body.Removed == nil {
		body.Removed = []string{}
	}
	return &output[catalogDiff]{body}, nil
}

// controlStatus is the state of the control members as the answering member
// sees it. It is not a linearizable read, so that it works without a leader.
type controlStatus struct {
	GroupStatus
	InContact      bool   `json:"in_contact" doc:"whether a leader confirmed lately that the answering member is up to date"`
	CatalogVersion uint64 `json:"catalog_version" doc:"catalog version of the answering member"`
	Plans          int    `json:"plans"`
	Entitlements   int    `json:"entitlements"`
}

func (a *api) status(context.Context, *struct{}) (*output[controlStatus], error) {
	current := a.Catalog.Current()
	body := controlStatus{
		GroupStatus:    a.Group.Status(),
		InContact:      a.Contact(),
		CatalogVersion: current.Version(),
		Plans:          current.Plans(),
		Entitlements:   current.Entitlements(),
	}
	body.Members = lo.Map(body.Members, func(m GroupMember, _ int) GroupMember {
		m.Address = a.APIAddresses[m.Name]
		return m
	})
	return &output[controlStatus]{body}, nil
}
