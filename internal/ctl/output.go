package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const shownHashDigits = 8 // leading hexadecimal digits of a token hash

// WriteJSON writes value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// WriteTable writes rows below a heading, in aligned columns.
func WriteTable(w io.Writer, heading []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// PlanTable returns a table of plans. Token hashes are shortened.
func PlanTable(plans []plan.Plan) (heading []string, rows [][]string) {
	for _, p := range plans {
		hashes := make([]string, 0, len(p.TokenSHA256))
		for _, hash := range p.TokenSHA256 {
			hashes = append(hashes, hash[:min(len(hash), shownHashDigits)])
		}
		rows = append(rows, []string{p.ID, strconv.Itoa(p.Weight), orDash(p.HomeRegion), strings.Join(hashes, ",")})
	}
	return []string{"PLAN", "WEIGHT", "HOME REGION", "TOKENS (SHA-256)"}, rows
}

// EntitlementTable returns a table of entitlements.
func EntitlementTable(entitlements []plan.Entitlement) (heading []string, rows [][]string) {
	for _, e := range entitlements {
		rows = append(rows, []string{e.Plan, e.Service, limitText(e.RequestsPerSecond), limitText(float64(e.Concurrency))})
	}
	return []string{"PLAN", "SERVICE", "REQUESTS/S", "CONCURRENCY"}, rows
}

// ChangeTable returns a table of the items that a change sets or removes.
func ChangeTable(ch plan.Change) (heading []string, rows [][]string) {
	for _, p := range ch.SetPlans {
		rows = append(rows, []string{"set", "plan", p.ID, fmt.Sprintf("weight %d, home region %s, %d tokens", p.Weight, orDash(p.HomeRegion), len(p.TokenSHA256))})
	}
	for _, id := range ch.RemovePlans {
		rows = append(rows, []string{"remove", "plan", id, ""})
	}
	for _, e := range ch.SetEntitlements {
		rows = append(rows, []string{"set", "entitlement", e.Plan + "/" + e.Service, fmt.Sprintf("requests/s %s, concurrency %s", limitText(e.RequestsPerSecond), limitText(float64(e.Concurrency)))})
	}
	for _, key := range ch.RemoveEntitlements {
		rows = append(rows, []string{"remove", "entitlement", key.Plan + "/" + key.Service, ""})
	}
	return []string{"ACTION", "KIND", "NAME", "VALUE"}, rows
}

// DiffTable returns a table of the changes after a catalog version.
func DiffTable(diff controlapi.Diff) (heading []string, rows [][]string) {
	ch := plan.Change{RemovePlans: diff.Removed}
	for _, r := range diff.Set {
		ch.SetPlans = append(ch.SetPlans, r.Plan)
		ch.SetEntitlements = append(ch.SetEntitlements, r.Entitlements...)
	}
	return ChangeTable(ch)
}

// MemberTable returns a table of entries.
func MemberTable(members []membership.Member) (heading []string, rows [][]string) {
	for _, m := range members {
		rows = append(rows, []string{m.Name, m.Region, m.DataCentre, string(m.State), strconv.FormatBool(m.Isolated), strconv.FormatUint(m.CatalogVersion, 10), m.CallerAddress})
	}
	return []string{"ENTRY", "REGION", "DATA CENTRE", "STATE", "ISOLATED", "CATALOG", "ADDRESS"}, rows
}

// UpstreamTable returns a table of the targets of services.
func UpstreamTable(services []UpstreamService) (heading []string, rows [][]string) {
	for _, s := range services {
		for _, t := range s.Targets {
			slots := fmt.Sprintf("%d/%d/%d", t.InFlight, t.Limit, t.Slots)
			rows = append(rows, []string{s.Service, s.Region, strconv.FormatBool(s.Owner), t.Address, t.DataCentre, t.Announced, t.Health, slots, orDash(t.Reason)})
		}
	}
	return []string{"SERVICE", "REGION", "OWNER", "TARGET", "DATA CENTRE", "ANNOUNCED", "HEALTH", "IN FLIGHT/LIMIT/SLOTS", "REASON"}, rows
}

// MemberStatus is the status, or the error, that one control address returned.
type MemberStatus struct {
	Address string             `json:"address"`
	Status  *controlapi.Status `json:"status,omitempty"`
	Error   string             `json:"error,omitempty"`
}

// StatusTable returns a table of control members.
func StatusTable(members []MemberStatus) (heading []string, rows [][]string) {
	for _, m := range members {
		if m.Status == nil {
			rows = append(rows, []string{m.Address, "-", "-", "-", "-", "-", "-", m.Error})
			continue
		}
		s := m.Status
		rows = append(rows, []string{
			m.Address, s.Member, orDash(s.Leader), strconv.FormatBool(s.InContact), strconv.FormatUint(s.Term, 10),
			strconv.FormatUint(s.CommitIndex, 10), strconv.FormatUint(s.CatalogVersion, 10), "-",
		})
	}
	return []string{"ADDRESS", "MEMBER", "LEADER", "IN CONTACT", "TERM", "COMMIT INDEX", "CATALOG", "ERROR"}, rows
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func limitText(value float64) string {
	if value == 0 {
		return "no limit"
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}
