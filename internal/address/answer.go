// Package address implements address lookup: it tells callers which entries to
// connect to for a service.
package address

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/ownership"
)

// Limits of an address response.
const (
	DefaultTimeToLive = 10 * time.Second
	MaxTimeToLive     = 60 * time.Second
	MaxAddresses      = 8
	maxWeight         = 100
)

// Endpoint is the address of an entry that a caller may connect to.
type Endpoint struct {
	Address string `json:"address"` // IP address and port
	Weight  int    `json:"weight"`  // relative share of new connections, 1 to 100
	Owner   bool   `json:"owner,omitempty"`
}

// Response is an address response. It lists addresses, the preferred one first.
type Response struct {
	Service      string     `json:"service"`
	Region       string     `json:"region"`
	TimeToLiveMS int64      `json:"time_to_live_ms"`
	Addresses    []Endpoint `json:"addresses"`
}

// Build returns up to MaxAddresses usable members of the region: the owner of the
// service, the second-ranked entry, then the others by ascending load. If the
// region has no usable member, it returns members of other regions instead, by
// ascending load if there are more than two.
func Build(members []membership.Member, service, region string, ttl time.Duration) Response {
	ranked := ownership.Rank(members, service, region)
	regional := len(ranked) > 0
	if !regional {
		ranked = lo.Filter(members, func(m membership.Member, _ int) bool { return m.Usable() })
	}
	if len(ranked) > 2 {
		rest := ranked[2:]
		if !regional {
			rest = ranked
		}
		slices.SortStableFunc(rest, byLoad)
	}
	ranked = ranked[:min(MaxAddresses, len(ranked))]
	response := Response{
		Service:      service,
		Region:       region,
		TimeToLiveMS: min(ttl, MaxTimeToLive).Milliseconds(),
		Addresses:    make([]Endpoint, 0, len(ranked)),
	}
	for i, m := range ranked {
		response.Addresses = append(response.Addresses, Endpoint{
			Address: m.CallerAddress,
			Weight:  weight(m.Load),
			Owner:   regional && i == 0,
		})
	}
	return response
}

func byLoad(a, b membership.Member) int {
	if c := cmp.Compare(a.Load, b.Load); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// weight returns a weight that decreases with load, which is in requests in
// flight per core.
func weight(load float64) int {
	if math.IsNaN(load) || load < 0 {
		load = 0
	}
	return max(1, int(math.Round(maxWeight/(1+load))))
}
