package ctl

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/sequoialane/sequoialane/internal/membership"
)

// Paths of an entry's operator API.
const (
	membersPath   = "/admin/v1/members"
	upstreamsPath = "/admin/v1/upstreams"
)

// UpstreamService is a service as its owner sees it.
type UpstreamService struct {
	Service       string           `json:"service"`
	Region        string           `json:"region"`
	Owner         bool             `json:"owner"`
	FloorSlots    int              `json:"floor_slots"`
	HealthySlots  int              `json:"healthy_slots"`
	EjectionLease bool             `json:"ejection_lease"`
	Queued        int              `json:"queued"`
	Targets       []UpstreamTarget `json:"targets"`
}

// UpstreamTarget is a target of a service.
type UpstreamTarget struct {
	Address     string  `json:"address"`
	DataCentre  string  `json:"data_centre"`
	Incarnation uint64  `json:"incarnation"`
	Announced   string  `json:"announced"`
	Health      string  `json:"health"`
	Reason      string  `json:"reason,omitempty"`
	Score       float64 `json:"score"`
	Slots       int     `json:"slots"`
	Limit       int     `json:"limit"`
	InFlight    int     `json:"in_flight"`
}

// Members reads the membership from an entry.
func (c *Client) Members(ctx context.Context) ([]membership.Member, error) {
	var answer list[membership.Member]
	err := c.Get(ctx, membersPath, nil, &answer)
	return answer.items, err
}

// Upstreams reads the services that an entry owns.
func (c *Client) Upstreams(ctx context.Context) ([]UpstreamService, error) {
	var answer list[UpstreamService]
	err := c.Get(ctx, upstreamsPath, nil, &answer)
	return answer.items, err
}

// list reads a JSON array, or an object that holds one under "members" or
// "services".
type list[T any] struct{ items []T }

// UnmarshalJSON implements json.Unmarshaler.
func (l *list[T]) UnmarshalJSON(raw []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		return json.Unmarshal(raw, &l.items)
	}
	var object struct {
		Members  []T `json:"members"`
		Services []T `json:"services"`
	}
	if err := json.Unmarshal(raw, &object); err != nil {
		return err
	}
	l.items = append(object.Members, object.Services...)
	return nil
}
