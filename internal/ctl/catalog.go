package ctl

import (
	"context"
	"net/url"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// maxCatalogRereads bounds how often Catalog reads the pages again.
const maxCatalogRereads = 5

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

// Entitlements reads the entitlements of the plan and the service; an empty
// argument matches all.
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

// Catalog reads the whole catalog and returns its version. Pages are read again
// if the version changes in between. If it keeps changing, the version from
// before the reads is returned, so that a change based on it is rejected.
func (c *Client) Catalog(ctx context.Context) (CatalogItems, uint64, error) {
	for reread := 0; ; reread++ {
		before, err := c.Status(ctx)
		if err != nil {
			return CatalogItems{}, 0, err
		}
		plans, err := c.Plans(ctx, "")
		if err != nil {
			return CatalogItems{}, 0, err
		}
		entitlements, err := c.Entitlements(ctx, "", "")
		if err != nil {
			return CatalogItems{}, 0, err
		}
		if before.CatalogVersion == entitlements.Version || reread == maxCatalogRereads {
			return CatalogItems{Plans: plans.Plans, Entitlements: entitlements.Entitlements}, before.CatalogVersion, nil
		}
	}
}

// Status reads the state of the control group from the first member that
// responds.
func (c *Client) Status(ctx context.Context) (controlapi.Status, error) {
	var status controlapi.Status
	err := c.Get(ctx, "/v1/status", nil, &status)
	return status, err
}

// Diff reads the changes after a catalog version.
func (c *Client) Diff(ctx context.Context, after string) (controlapi.Diff, error) {
	var diff controlapi.Diff
	err := c.Get(ctx, "/v1/diff", url.Values{"after": {after}}, &diff)
	return diff, err
}
