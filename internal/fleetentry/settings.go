// Package fleetentry is an entry of a fleet as a process: it follows the fleet
// state, takes callers' requests, names entries to callers that ask where to
// connect, and leaves without cutting a request.
package fleetentry

import (
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Settings of an entry.
type Settings struct {
	Name             string            `json:"name"`
	Region           string            `json:"region"`
	DataCentre       string            `json:"data_centre"`
	DataCentres      map[string]string `json:"data_centres"`      // region of each data centre
	CallerAddress    string            `json:"caller_address"`    // for callers' requests
	ReadyAddress     string            `json:"ready_address"`     // for readiness checks
	DirectoryAddress string            `json:"directory_address"` // for questions where to connect
	PeerAddress      string            `json:"peer_address"`      // for other processes of the fleet; metrics
	Seeds            []string          `json:"seeds"`             // addresses of control members, which may be old
	SeedPort         int               `json:"seed_port"`         // peer port of control members; 0: as in seeds
	Grace            settings.Duration `json:"grace"`             // from SIGTERM to the end of the process
	AddressTTL       settings.Duration `json:"address_ttl"`       // for which callers keep an answer
	MemoryMB         int               `json:"memory_mb"`         // that the process may use
	LinkMbps         float64           `json:"link_mbps"`         // of this VM; 0: not known
	Retries          Retries           `json:"retries"`
	FloorShare       float64           `json:"floor_share"` // of the sound targets of a service that get requests

	Telemetry telemetry.Settings `json:"telemetry"`
}

// Retries bound the requests that are sent to a second target, over all entries.
type Retries struct {
	Ratio  float64           `json:"ratio"` // of the requests of a service
	Slack  float64           `json:"slack"` // number on top of it
	Window settings.Duration `json:"window"`
}

// Limits of settings.
const (
	minGrace  = time.Second
	maxGrace  = time.Hour
	maxTTL    = time.Minute
	minMemory = 32 // MB
	maxMemory = 1 << 20
	thinLink  = 50.0 // Mbit/s; below it, callers are spread over all entries but some owners
	bodyShare = 4    // part of the memory that bodies may take: 1/bodyShare
	// retryPart and retryRatio are the parts of the allowed slack and share that
	// an owner uses. One that takes over starts with a new slack, so two of them
	// in a window use all of it.
	retryPart  = 0.5
	retryRatio = 0.8
)

// Defaults returns the settings without names and addresses.
func Defaults() *Settings {
	return &Settings{
		Grace:      settings.Duration(30 * time.Second),
		AddressTTL: settings.Duration(time.Second),
		MemoryMB:   256,
		Retries:    Retries{Ratio: 0.1, Slack: 10, Window: settings.Duration(10 * time.Second)},
		FloorShare: 0.5,
		Telemetry:  telemetry.Defaults(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	settings.RequireText(report, "name", s.Name)
	settings.RequireText(report, "region", s.Region)
	settings.RequireText(report, "data_centre", s.DataCentre)
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
		report("seeds", s.Seeds, "want one address at least")
	}
	for i, seed := range s.Seeds {
		settings.RequireAddress(report, "seeds["+strconv.Itoa(i)+"]", seed)
	}
	settings.RequireCount(report, "seed_port", s.SeedPort, 0, 65_535)
	settings.RequireRange(report, "grace", s.Grace, minGrace, maxGrace)
	settings.RequireRange(report, "address_ttl", s.AddressTTL, 0, maxTTL)
	settings.RequireCount(report, "memory_mb", s.MemoryMB, minMemory, maxMemory)
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 || s.Retries.Slack < 0 {
		report("retries", s.Retries, "want a ratio from 0 to 1 and a slack of 0 or more")
	}
	settings.RequireRange(report, "retries.window", s.Retries.Window, time.Second, time.Hour)
	if s.FloorShare < 0 || s.FloorShare > 1 {
		report("floor_share", s.FloorShare, "want a number from 0 to 1")
	}
	s.Telemetry.Check(func(path string, value any, allowed string) { report("telemetry."+path, value, allowed) })
}

// seedPeers returns the peer addresses of the seeds.
func (s *Settings) seedPeers() []string { return settings.WithPort(s.Seeds, s.SeedPort) }

// poolSettings returns this region's part of what all entries share.
func (s *Settings) poolSettings() pool.Settings {
	regions := len(lo.Uniq(lo.Values(s.DataCentres)))
	return pool.Settings{
		RetryRatio:  retryRatio * s.Retries.Ratio,
		RetrySlack:  retryPart * s.Retries.Slack / float64(max(regions, 1)),
		RetryWindow: s.Retries.Window.Std(),
		FloorShare:  s.FloorShare,
	}
}

// thin reports whether uploads would hold up other requests on the link.
func (s *Settings) thin() bool { return s.LinkMbps > 0 && s.LinkMbps < thinLink }

func (s *Settings) bodyMemory() int64 { return int64(s.MemoryMB) << 20 / bodyShare }
