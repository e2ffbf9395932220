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

// UpstreamService is the state of a service as reported by its owner.
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

// UpstreamTarget is the state of a target of a service.
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

// Members reads the membership table of an entry.
func (c *Client) Members(ctx context.Context) ([]membership.Member, error) {
	var response listResponse[membership.Member]
	err := c.Get(ctx, membersPath, nil, &response)
	return response.items, err
}

// Upstreams reads the services that an entry owns.
func (c *Client) Upstreams(ctx context.Context) ([]UpstreamService, error) {
	var response listResponse[UpstreamService]
	err := c.Get(ctx, upstreamsPath, nil, &response)
	return response.items, err
}

// listResponse decodes a JSON array, or an object that holds one under "members" or
// "services".
type listResponse[T any] struct{ items []T }

// UnmarshalJSON implements json.Unmarshaler.
func (l *listResponse[T]) UnmarshalJSON(raw []byte) error {
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
