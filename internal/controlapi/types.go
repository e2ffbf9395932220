// Package controlapi defines the response bodies of the administration API of the
// control members, shared by the server and its clients.
package controlapi

import (
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Error is the JSON body of an error response: the fields of fault.Body, and the
// current catalog version if the response depends on it.
type Error struct {
	fault.Body
	CurrentVersion *uint64 `json:"current_version,omitempty" doc:"current catalog version"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// GetStatus returns the HTTP status of the response. It implements
// huma.StatusError.
func (e *Error) GetStatus() int { return fault.ResponseOf(e.Kind).Status }

// NewError returns the response body for e.
func NewError(e *fault.Error) *Error {
	return &Error{Body: fault.Body{
		Kind:         e.Kind,
		Effect:       e.Effect,
		Message:      e.Detail,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// PlanList is a page of plans in order of the id.
type PlanList struct {
	Version uint64      `json:"version" doc:"catalog version that the list was read from"`
	Plans   []plan.Plan `json:"plans"`
	Next    string      `json:"next,omitempty" doc:"value of after for the next page; missing on the last page"`
}

// PlanDetail is a plan with its entitlements.
type PlanDetail struct {
	Version      uint64             `json:"version" doc:"catalog version that the plan was read from"`
	Plan         plan.Plan          `json:"plan"`
	Entitlements []plan.Entitlement `json:"entitlements"`
}

// EntitlementList is a page of entitlements in order of plan and service.
type EntitlementList struct {
	Version      uint64             `json:"version" doc:"catalog version that the list was read from"`
	Entitlements []plan.Entitlement `json:"entitlements"`
	Next         string             `json:"next,omitempty" doc:"value of after for the next page; missing on the last page"`
}

// EntitlementDetail is one entitlement.
type EntitlementDetail struct {
	Version     uint64           `json:"version" doc:"catalog version that the entitlement was read from"`
	Entitlement plan.Entitlement `json:"entitlement"`
}

// Diff lists the changes after a catalog version. Set holds the current state of
// the changed plans.
type Diff struct {
	From    uint64        `json:"from"`
	Version uint64        `json:"version" doc:"current catalog version"`
	Full    bool          `json:"full" doc:"whether the whole catalog is listed, because the history does not reach back"`
	Set     []plan.Record `json:"set" doc:"plans that were added or changed, with their entitlements"`
	Removed []string      `json:"removed" doc:"ids of removed plans"`
}

// GroupStatus describes the consensus group of the control members.
type GroupStatus struct {
	Member       string        `json:"member" doc:"name of the member that answers"`
	Role         string        `json:"role" doc:"role of the member that answers"`
	Leader       string        `json:"leader" doc:"name of the leader; empty if none is known"`
	Term         uint64        `json:"term"`
	CommitIndex  uint64        `json:"commit_index"`
	AppliedIndex uint64        `json:"applied_index"`
	Settled      bool          `json:"settled" doc:"on the leader: whether a majority knows the last change of members"`
	Failure      string        `json:"failure,omitempty" doc:"storage error that has stopped the member"`
	Members      []GroupMember `json:"members"`
}

// GroupMember is a member of the group's configuration.
type GroupMember struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation" doc:"incarnation that votes; 0: none"`
	Learner     uint64 `json:"learner,omitempty" doc:"on the leader: incarnation that is being admitted"`
	Match       uint64 `json:"match,omitempty" doc:"on the leader: last stored entry"`
	Address     string `json:"address,omitempty" doc:"IP address and port of its administration API"`
}

// Status is the state of the control members as seen by the responding member.
// It is not a linearizable read, so that it is available without a leader.
type Status struct {
	GroupStatus
	InContact      bool   `json:"in_contact" doc:"whether a leader confirmed lately that the answering member is up to date"`
	CatalogVersion uint64 `json:"catalog_version" doc:"catalog version of the answering member"`
	Plans          int    `json:"plans"`
	Entitlements   int    `json:"entitlements"`
}
