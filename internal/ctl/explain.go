package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/sequoialane/sequoialane/internal/grants"
)

const (
	explainPath = grants.ExplainPath
	// maxExplanationBytes bounds the response to a call for an explanation.
	maxExplanationBytes = 1 << 20
)

// ExplainQuery names the request to be explained.
type ExplainQuery struct {
	Service, Route, Tenant, Path string
	Bytes                        int // of the body
}

func (q ExplainQuery) values() url.Values {
	values := url.Values{"service": {q.Service}, "route": {q.Route}}
	if q.Tenant != "" {
		values.Set("tenant", q.Tenant)
	}
	if q.Path != "" {
		values.Set("path", q.Path)
	}
	if q.Bytes != 0 {
		values.Set("bytes", strconv.Itoa(q.Bytes))
	}
	return values
}

// Explain asks entries, by their peer addresses, in order until one responds, which
// target a request would get now.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (grants.Explanation, error) {
	failures := []error{ErrUnreachable}
	for _, address := range c.Addresses {
		e, status, err := c.explainAt(ctx, address, q)
		if err == nil || status == http.StatusNotFound || status == http.StatusBadRequest {
			return e, err
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
	}
	return grants.Explanation{}, errors.Join(failures...)
}

func (c *Client) explainAt(ctx context.Context, address string, q ExplainQuery) (e grants.Explanation, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+explainPath+encodeQuery(q.values()), nil)
	if err != nil {
		return e, 0, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return e, 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return e, response.StatusCode, err
	}
	text := strings.TrimSpace(string(raw))
	switch response.StatusCode {
	case http.StatusOK:
		return e, response.StatusCode, json.Unmarshal(raw, &e)
	case http.StatusNotFound:
		return e, response.StatusCode, fmt.Errorf("%w: %s", ErrNotFound, text)
	default:
		return e, response.StatusCode, fmt.Errorf("%s (status %d)", text, response.StatusCode)
	}
}

// ExplanationText returns the decision in words.
func ExplanationText(e grants.Explanation) string {
	target := e.Target
	if target == "" {
		target = "none"
	}
	return fmt.Sprintf("target: %s (%s)\ndecided by: %s, for group %s\nexpected: %.0f ms of work (%.2f times the mean of the route), %.0f bytes of response\n"+
		"waiting requests: %d, used retry budget: %.0f%%, targets that may not get it now: %d\n",
		target, e.Reason, e.Owner, e.Group, e.RunTimeMS, e.RouteFactor, e.ResponseBytes, e.Waiting, 100*e.RetryBudget, e.Excluded)
}

// ExplanationTable returns a table of the targets with the lowest cost and its parts.
func ExplanationTable(e grants.Explanation) (heading []string, rows [][]string) {
	cost := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	for _, t := range e.Targets {
		inFlight := fmt.Sprintf("%d/%d", t.InFlight, t.Slots)
		if t.Full {
			inFlight += " full"
		}
		rows = append(rows, []string{
			t.ID, t.DataCentre, t.Region, inFlight, strconv.FormatFloat(t.Risk, 'f', 3, 64), strconv.FormatFloat(t.Speed, 'f', 2, 64),
			fmt.Sprintf("%.0f ms", t.WaitMS), fmt.Sprintf("%.0f ms", t.RemainingWorkMS), cost(t.Cost), cost(t.FailureCost), cost(t.OccupancyCost),
			cost(t.TimeCost), cost(t.BytesCost), cost(t.FloorCost),
		})
	}
	return []string{
		"TARGET", "DATA CENTRE", "REGION", "IN FLIGHT", "RISK", "SPEED", "WAIT", "WORK LEFT", "COST", "= FAILURE", "+ OCCUPANCY", "+ TIME", "+ BYTES", "+ FLOOR",
	}, rows
}
