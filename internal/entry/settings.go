package entry

import (
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/address"
	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	minFloorPercent = 1
	maxFloorPercent = 100
	minTimeToLive   = time.Second
	maxCutGrace     = time.Hour
	minClockError   = 10 * time.Millisecond
	maxClockError   = 5 * time.Minute
	minKeyRetention = time.Minute
	maxKeyRetention = 24 * time.Hour
	minDrainLimit   = time.Second
	maxDrainLimit   = time.Hour
	minMemory       = 64 // MB
	maxMemory       = 1 << 20
	// Request bodies and requests in flight, each with requestBytes, may take these
	// parts of the memory. Responses are buffered within requestBytes.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 1024
	requestMemoryDivisor  = 4
	// RequestBytes is what a request takes besides its head and its body: stacks, the
	// part of the response that is buffered, and the buffer through which the rest is
	// passed on.
	RequestBytes = 16<<10 + maxBufferedResponse + maxCopyBuffer
)

// Settings are the settings of an entry process.
type Settings struct {
	Name              string                     `json:"name"` // VM name; stays the same over restarts
	Region            string                     `json:"region"`
	DataCentre        string                     `json:"data_centre"`
	CallerAddress     string                     `json:"caller_address"` // IP address and port for callers
	PeerAddress       string                     `json:"peer_address"`   // IP address and port for other entries
	GossipAddress     string                     `json:"gossip_address"` // IP address and UDP port
	DataFolder        string                     `json:"data_folder"`    // folder of the catalog copy; empty: not stored
	FleetTokenFile    string                     `json:"fleet_token_file"`
	UpstreamTokenFile string                     `json:"upstream_token_file"`
	OperatorTokenFile string                     `json:"operator_token_file"`
	Seeds             []string                   `json:"seeds"` // peer addresses of entries to join the fleet through
	Control           []configsync.ControlMember `json:"control"`
	DataCentres       []string                   `json:"data_centres"` // all data centres of the fleet
	ClaimGroups       []claims.GroupSettings     `json:"claim_groups"` // must be the same on all entries
	KeyRetention      settings.Duration          `json:"key_retention"`
	ClockError        settings.Duration          `json:"clock_error"`      // largest difference between the clocks of two VMs, including those of callers
	RegionCutGrace    settings.Duration          `json:"region_cut_grace"` // how long to keep serving while the region is cut off
	TimeToLive        settings.Duration          `json:"time_to_live"`     // of address responses
	DrainLimit        settings.Duration          `json:"drain_limit"`      // longest wait for requests in flight at shutdown
	FloorPercent      int                        `json:"floor_percent"`    // percentage of the healthy capacity that ejection must leave
	MemoryMB          int                        `json:"memory_mb"`        // memory that the process may use
	Callers           callerconn.Settings        `json:"callers"`          // limits what the connections of callers take
	Telemetry         telemetry.Settings         `json:"telemetry"`
}

// NewGuard returns the guard of the callers' connections.
func (s *Settings) NewGuard(log *zap.Logger) *callerconn.Guard {
	return callerconn.NewGuard(s.Callers, int64(s.MemoryMB)<<20, callerconn.Shares{Bodies: bodyMemoryDivisor, Responses: responseMemoryDivisor, Requests: requestMemoryDivisor}, log)
}

// DefaultSettings returns the default settings, which the values of a settings
// file override.
func DefaultSettings() *Settings {
	return &Settings{
		Seeds:          []string{},
		Control:        []configsync.ControlMember{},
		DataCentres:    []string{},
		ClaimGroups:    []claims.GroupSettings{},
		KeyRetention:   settings.Duration(time.Hour),
		ClockError:     settings.Duration(claims.DefaultLimits().ClockError),
		RegionCutGrace: settings.Duration(configsync.DefaultRegionCutGrace),
		TimeToLive:     settings.Duration(address.DefaultTimeToLive),
		DrainLimit:     settings.Duration(10*time.Minute + address.DefaultTimeToLive),
		FloorPercent:   50,
		MemoryMB:       256,
		Callers:        callerconn.DefaultSettings(),
		Telemetry:      telemetry.DefaultSettings(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	requireName(report, "name", s.Name)
	requireName(report, "region", s.Region)
	requireName(report, "data_centre", s.DataCentre)
	requireEndpoint(report, "caller_address", s.CallerAddress)
	requireEndpoint(report, "peer_address", s.PeerAddress)
	requireEndpoint(report, "gossip_address", s.GossipAddress)
	if s.CallerAddress == s.PeerAddress {
		report("peer_address", s.PeerAddress, "must differ from caller_address")
	}
	settings.RequireNonEmpty(report, "fleet_token_file", s.FleetTokenFile)
	settings.RequireNonEmpty(report, "upstream_token_file", s.UpstreamTokenFile)
	settings.RequireNonEmpty(report, "operator_token_file", s.OperatorTokenFile)
	s.checkLists(report)
	settings.RequireDurationRange(report, "key_retention", s.KeyRetention, minKeyRetention, maxKeyRetention)
	settings.RequireDurationRange(report, "clock_error", s.ClockError, minClockError, maxClockError)
	settings.RequireDurationRange(report, "region_cut_grace", s.RegionCutGrace, 0, maxCutGrace)
	settings.RequireDurationRange(report, "time_to_live", s.TimeToLive, minTimeToLive, address.MaxTimeToLive)
	settings.RequireDurationRange(report, "drain_limit", s.DrainLimit, minDrainLimit, maxDrainLimit)
	settings.RequireIntRange(report, "floor_percent", s.FloorPercent, minFloorPercent, maxFloorPercent)
	settings.RequireIntRange(report, "memory_mb", s.MemoryMB, minMemory, maxMemory)
	s.Callers.Check(func(path string, value any, problem string) { report("callers."+path, value, problem) })
	s.Telemetry.Check(func(path string, value any, problem string) { report("telemetry."+path, value, problem) })
}

func (s *Settings) checkLists(report settings.Report) {
	for i, seed := range s.Seeds {
		settings.RequireAddress(report, indexedPath("seeds", i), seed)
	}
	for i, centre := range s.DataCentres {
		requireName(report, indexedPath("data_centres", i), centre)
	}
	for i, c := range s.Control {
		requireName(report, indexedPath("control", i)+".name", c.Name)
		settings.RequireNonEmpty(report, indexedPath("control", i)+".region", c.Region)
		settings.RequireAddress(report, indexedPath("control", i)+".address", c.Address)
	}
	if len(s.Control) == 0 && len(s.Seeds) == 0 {
		report("control", s.Control, "want a control member or, in seeds, another entry; the entry has no other source of plans")
	}
	if len(s.ClaimGroups) == 0 && len(s.Seeds) > 0 {
		report("claim_groups", s.ClaimGroups, "want at least one group; only a fleet of one entry keeps claims without a group")
	}
	claims.CheckGroups(report, "claim_groups", s.ClaimGroups)
}

func indexedPath(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

func requireName(report settings.Report, path, value string) {
	if !plan.ValidName(value) {
		report(path, value, "want 1 to 64 letters, digits, '.', '_' or '-'")
	}
}

// requireEndpoint reports a value that is not an IP address and port that other
// processes can connect to.
func requireEndpoint(report settings.Report, path, value string) {
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() {
		report(path, value, `want the IP address and port under which others reach this entry, such as "10.0.0.1:8080"`)
	}
}
