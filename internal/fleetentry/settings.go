// Package fleetentry runs an entry of the fleet as a process. An entry follows
// the fleet state, serves callers' requests, tells callers which entries to
// connect to, and drains on shutdown without aborting requests. It runs in
// sequoialane-platform; package entry is the entry of sequoialane-entry.
package fleetentry

import (
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/quota"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Settings of an entry.
type Settings struct {
	Name             string            `json:"name"`
	Region           string            `json:"region"`
	DataCentre       string            `json:"data_centre"`
	DataCentres      map[string]string `json:"data_centres"`      // data centre to region
	CallerAddress    string            `json:"caller_address"`    // listens for callers' requests
	ReadyAddress     string            `json:"ready_address"`     // listens for readiness checks
	DirectoryAddress string            `json:"directory_address"` // listens for directory queries
	PeerAddress      string            `json:"peer_address"`      // listens for other processes of the fleet and serves metrics
	Seeds            []string          `json:"seeds"`             // addresses of control members, possibly outdated
	SeedPort         int               `json:"seed_port"`         // peer port of control members; 0: the port in seeds
	Grace            settings.Duration `json:"grace"`             // time from SIGTERM to the end of the process
	AddressTTL       settings.Duration `json:"address_ttl"`       // how long callers cache a directory response
	MemoryMB         int               `json:"memory_mb"`         // memory that the process may use
	LinkMbps         float64           `json:"link_mbps"`         // bandwidth of this VM's link; 0: unknown
	Retries          Retries           `json:"retries"`
	Quota            Quota             `json:"quota"`
	FloorShare       float64           `json:"floor_share"` // least share of the healthy targets of a service that get requests
	// RevocationLimit is the time after which no request runs with a key that an
	// acknowledged document has withdrawn; 0: not enforced without contact with control.
	RevocationLimit settings.Duration `json:"revocation_limit"`
	// RequestCost makes owners choose targets by the expected work of each request. If
	// it is false, they expect the same of all requests of a route.
	RequestCost bool `json:"request_cost"`
	// Callers limits what the connections of callers take.
	Callers callerconn.Settings `json:"callers"`

	Telemetry telemetry.Settings `json:"telemetry"`
}

// Retries limits the retries of a service over all entries: at most Ratio times
// the requests plus Slack within Window.
type Retries struct {
	Ratio  float64           `json:"ratio"` // retries for each request
	Slack  float64           `json:"slack"` // retries allowed in addition
	Window settings.Duration `json:"window"`
}

// Quota states by how much the requests of a tenant may exceed its limit in any
// window of the given length: by the share Overshoot and by Slack requests. Without a
// window, limits are enforced without a stated deviation.
type Quota struct {
	Window    settings.Duration `json:"window"`
	Overshoot float64           `json:"overshoot"`
	Slack     float64           `json:"slack"` // requests
}

// Bounds of the settings and values derived from them.
const (
	minGrace           = time.Second
	maxGrace           = time.Hour
	maxTTL             = time.Minute
	maxRevocationLimit = time.Hour
	minMemory          = 32 // MB
	maxMemory          = 1 << 20
	// lowBandwidthMbps is the bandwidth in Mbit/s below which callers are
	// spread over all entries except those reserved as owners.
	lowBandwidthMbps = 50.0
	// Request bodies, response bodies and the rest of requests in flight may take
	// these parts of the memory.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 16
	requestMemoryDivisor  = 16
)

// DefaultSettings returns the default settings, with names and addresses left
// empty.
func DefaultSettings() *Settings {
	return &Settings{
		Grace:       settings.Duration(30 * time.Second),
		AddressTTL:  settings.Duration(time.Second),
		MemoryMB:    256,
		Retries:     Retries{Ratio: 0.1, Slack: 10, Window: settings.Duration(10 * time.Second)},
		FloorShare:  0.5,
		RequestCost: true,
		Callers:     callerconn.DefaultSettings(),
		Telemetry:   telemetry.DefaultSettings(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	settings.RequireNonEmpty(report, "name", s.Name)
	settings.RequireNonEmpty(report, "region", s.Region)
	settings.RequireNonEmpty(report, "data_centre", s.DataCentre)
	for field, address := range map[string]string{
		"caller_address": s.CallerAddress, "ready_address": s.ReadyAddress,
		"directory_address": s.DirectoryAddress, "peer_address": s.PeerAddress,
	} {
		settings.RequireAddress(report, field, address)
	}
	if s.DataCentres[s.DataCentre] != s.Region {
		report("data_centres", s.DataCentres, "must name the region of data_centre")
	}
	if len(s.Seeds) == 0 {
		report("seeds", s.Seeds, "want at least one address")
	}
	for i, seed := range s.Seeds {
		settings.RequireAddress(report, "seeds["+strconv.Itoa(i)+"]", seed)
	}
	settings.RequireIntRange(report, "seed_port", s.SeedPort, 0, 65_535)
	settings.RequireDurationRange(report, "grace", s.Grace, minGrace, maxGrace)
	settings.RequireDurationRange(report, "address_ttl", s.AddressTTL, 0, maxTTL)
	settings.RequireIntRange(report, "memory_mb", s.MemoryMB, minMemory, maxMemory)
	settings.RequireDurationRange(report, "revocation_limit", s.RevocationLimit, 0, maxRevocationLimit)
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 || s.Retries.Slack < 0 {
		report("retries", s.Retries, "want a ratio from 0 to 1 and a slack of 0 or more")
	}
	settings.RequireDurationRange(report, "retries.window", s.Retries.Window, time.Second, time.Hour)
	settings.RequireDurationRange(report, "quota.window", s.Quota.Window, 0, time.Hour)
	if s.Quota.Overshoot < 0 || s.Quota.Overshoot > 1 || s.Quota.Slack < 0 {
		report("quota", s.Quota, "want an overshoot from 0 to 1 and a slack of 0 or more")
	}
	if s.FloorShare < 0 || s.FloorShare > 1 {
		report("floor_share", s.FloorShare, "want a number from 0 to 1")
	}
	s.Callers.Check(func(path string, value any, problem string) { report("callers."+path, value, problem) })
	s.Telemetry.Check(func(path string, value any, problem string) { report("telemetry."+path, value, problem) })
}

// seedPeers returns the peer addresses of the seeds.
func (s *Settings) seedPeers() []string { return settings.WithPort(s.Seeds, s.SeedPort) }

// poolSettings returns the settings of a pool. Each region gets an equal part of
// the retry slack.
func (s *Settings) poolSettings() pool.Settings {
	regions := len(lo.Uniq(lo.Values(s.DataCentres)))
	return pool.Settings{
		RetryRatio:  s.Retries.Ratio,
		RetrySlack:  s.Retries.Slack / float64(max(regions, 1)),
		RetryWindow: s.Retries.Window.Std(),
		FloorShare:  s.FloorShare,
		UniformCost: !s.RequestCost,
	}
}

func (s *Settings) quotaSettings() quota.Settings {
	return quota.Settings{Window: s.Quota.Window.Std(), Overshoot: s.Quota.Overshoot, Slack: s.Quota.Slack}
}

// lowBandwidth reports whether the link is so slow that uploads would delay
// other requests.
func (s *Settings) lowBandwidth() bool { return s.LinkMbps > 0 && s.LinkMbps < lowBandwidthMbps }

// HeapLimit returns the bytes that the heap of the process may take.
func (s *Settings) HeapLimit() int64 { return callerconn.HeapLimit(s.MemoryMB) }
