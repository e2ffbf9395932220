package control

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	maxMembers      = 7
	minDrainTimeout = 0
	maxDrainTimeout = time.Minute
	minMemory       = 64 // MB
	maxMemory       = 1 << 20
	// Request bodies, responses and the rest of requests in flight may take these
	// parts of the memory.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 16
	requestMemoryDivisor  = 16
)

// Settings are the settings of a control process.
type Settings struct {
	Name              string              `json:"name"`        // name of this member, one of Members
	DataFolder        string              `json:"data_folder"` // holds the log and snapshots
	Members           []MemberSettings    `json:"members"`     // all control members; the same list on each member
	OperatorTokenFile string              `json:"operator_token_file"`
	FleetTokenFile    string              `json:"fleet_token_file"`
	DrainTimeout      settings.Duration   `json:"drain_timeout"` // time for requests in flight at shutdown
	MemoryMB          int                 `json:"memory_mb"`     // memory that the process may use
	Callers           callerconn.Settings `json:"callers"`       // limits what the connections to the API take
	Telemetry         telemetry.Settings  `json:"telemetry"`
}

// MemberSettings describes a control member.
type MemberSettings struct {
	Name        string `json:"name"` // VM name
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	APIAddress  string `json:"api_address"`  // IP address and port for operators and entries
	PeerAddress string `json:"peer_address"` // IP address and port for other control members
}

// DefaultSettings returns the defaults, which a settings file overrides.
func DefaultSettings() *Settings {
	return &Settings{
		Members:      []MemberSettings{},
		DrainTimeout: settings.Duration(10 * time.Second),
		MemoryMB:     256,
		Callers:      callerconn.DefaultSettings(),
		Telemetry:    telemetry.DefaultSettings(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	settings.RequireNonEmpty(report, "data_folder", s.DataFolder)
	settings.RequireNonEmpty(report, "operator_token_file", s.OperatorTokenFile)
	settings.RequireNonEmpty(report, "fleet_token_file", s.FleetTokenFile)
	settings.RequireDurationRange(report, "drain_timeout", s.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	settings.RequireIntRange(report, "memory_mb", s.MemoryMB, minMemory, maxMemory)
	s.Callers.Check(func(path string, value any, problem string) { report("callers."+path, value, problem) })
	if len(s.Members)%2 == 0 || len(s.Members) > maxMembers {
		report("members", len(s.Members), "want 1, 3, 5 or 7 members; an even number survives no more failures")
	}
	seen := make(map[string]string)
	for i, m := range s.Members {
		path := fmt.Sprintf("members[%d]", i)
		m.check(report, path)
		requireUnique(report, seen, path+".name", m.Name)
		requireUnique(report, seen, path+".api_address", m.APIAddress)
		requireUnique(report, seen, path+".peer_address", m.PeerAddress)
	}
	if _, found := s.Self(); !found {
		report("name", s.Name, "want the name of one of members")
	}
	s.Telemetry.Check(func(path string, value any, problem string) { report("telemetry."+path, value, problem) })
}

func (m MemberSettings) check(report settings.Report, path string) {
	if !plan.ValidName(m.Name) {
		report(path+".name", m.Name, "want 1 to 64 letters, digits, '.', '_' or '-'")
	}
	settings.RequireNonEmpty(report, path+".region", m.Region)
	settings.RequireNonEmpty(report, path+".data_centre", m.DataCentre)
	settings.RequireAddress(report, path+".api_address", m.APIAddress)
	settings.RequireAddress(report, path+".peer_address", m.PeerAddress)
}

func requireUnique(report settings.Report, seen map[string]string, path, value string) {
	if other, found := seen[value]; found {
		report(path, value, "must differ from "+other)
	}
	seen[value] = path
}

// Self returns the settings of this member.
func (s *Settings) Self() (MemberSettings, bool) {
	return lo.Find(s.Members, func(m MemberSettings) bool { return m.Name == s.Name })
}

// APIAddresses returns the addresses of the administration API by member name.
func (s *Settings) APIAddresses() map[string]string {
	return lo.SliceToMap(s.Members, func(m MemberSettings) (string, string) { return m.Name, m.APIAddress })
}

// PeerAddresses returns the peer addresses by member name.
func (s *Settings) PeerAddresses() map[string]string {
	return lo.SliceToMap(s.Members, func(m MemberSettings) (string, string) { return m.Name, m.PeerAddress })
}
