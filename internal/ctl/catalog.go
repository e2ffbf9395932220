package ctl

import (
	"context"
	"net/url"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const maxReadRestarts = 5

// Plans reads all plans whose id starts with prefix.
func (c *Client) Plans(ctx context.Context, prefix string) (controlapi.PlanList, error) {
	all := controlapi.PlanList{Plans: []plan.Plan{}}
	query := url.Values{"prefix": {prefix}, "limit": {"10000"}}
	for {
		var page controlapi.PlanList
		if err := c.Get(ctx, "/v1/plans", query, &page); err != nil {
			return all, err
		}
		all.Plans = append(all.Plans, page.Plans...)
		all.Version = page.Version
		if page.Next == "" {
			return all, nil
		}
		query.Set("after", page.Next)
	}
}

// Plan reads one plan with its entitlements.
func (c *Client) Plan(ctx context.Context, id string) (controlapi.PlanDetail, error) {
	var detail controlapi.PlanDetail
	err := c.Get(ctx, "/v1/plans/"+url.PathEscape(id), nil, &detail)
	return detail, err
}

// Entitlements reads all entitlements, or those of a plan or a service.
func (c *Client) Entitlements(ctx context.Context, planID, service string) (controlapi.EntitlementList, error) {
	all := controlapi.EntitlementList{Entitlements: []plan.Entitlement{}}
	query := url.Values{"plan": {planID}, "service": {service}, "limit": {"10000"}}
	for {
		var page controlapi.EntitlementList
		if err := c.Get(ctx, "/v1/entitlements", query, &page); err != nil {
			return all, err
		}
		all.Entitlements = append(all.Entitlements, page.Entitlements...)
		all.Version = page.Version
		if page.Next == "" {
			return all, nil
		}
		query.Set("after", page.Next)
	}
}

// Entitlement reads one entitlement.
func (c *Client) Entitlement(ctx context.Context, planID, service string) (controlapi.EntitlementDetail, error) {
	var detail controlapi.EntitlementDetail
	err := c.Get(ctx, "/v1/entitlements/"+url.PathEscape(planID)+"/"+url.PathEscape(service), nil, &detail)
	return detail, err
}

// Catalog reads the whole catalog at one version. Pages are read again if the
// version changes in between. If it keeps changing, the version returned is
// that before the reads, so that a change based on it is refused.
func (c *Client) Catalog(ctx context.Context) (Lists, uint64, error) {
	for restart := 0; ; restart++ {
		before, err := c.Status(ctx)
		if err != nil {
			return Lists{}, 0, err
		}
		plans, err := c.Plans(ctx, "")
		if err != nil {
			return Lists{}, 0, err
		}
		entitlements, err := c.Entitlements(ctx, "", "")
		if err != nil {
			return Lists{}, 0, err
		}
		if before.CatalogVersion == entitlements.Version || restart == maxReadRestarts {
			return Lists{Plans: plans.Plans, Entitlements: entitlements.Entitlements}, before.CatalogVersion, nil
		}
	}
}

// Status reads the state of the control members from the first that answers.
func (c *Client) Status(ctx context.Context) (controlapi.Status, error) {
	var status controlapi.Status
	err := c.Get(ctx, "/v1/status", nil, &status)
	return status, err
}

// Diff reads what changed after a version.
func (c *Client) Diff(ctx context.Context, after string) (controlapi.Diff, error) {
	var diff controlapi.Diff
	err := c.Get(ctx, "/v1/diff", url.Values{"after": {after}}, &diff)
	return diff, err
}
