package fleetcontrol

import (
	"strconv"
	"time"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/settings"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

// Settings of a control member.
type Settings struct {
	Name           string            `json:"name"`
	Region         string            `json:"region"`
	DataCentre     string            `json:"data_centre"`
	DataCentres    map[string]string `json:"data_centres"`    // data centre to region
	ControlAddress string            `json:"control_address"` // listens for operators and targets
	PeerAddress    string            `json:"peer_address"`    // listens for other processes of the fleet and serves metrics
	Seeds          []string          `json:"seeds"`           // addresses of control members, possibly outdated
	SeedPort       int               `json:"seed_port"`       // peer port of control members; 0: the port in seeds
	DataFolder     string            `json:"data_folder"`
	Bootstrap      bool              `json:"bootstrap"` // the fleet starts for the first time
	// FaultTolerance is the number of control members that may lose their disks at the
	// same time. The group keeps 2*FaultTolerance+1 voting members once it has them,
	// and accepts no change before that in the first seconds after it was formed.
	// 0: consensus.DefaultFaultTolerance; the wait is then for the seeds only.
	FaultTolerance int               `json:"fault_tolerance"`
	Grace          settings.Duration `json:"grace"` // time from SIGTERM to the end of the process

	MemoryMB int                 `json:"memory_mb"` // memory that the process may use
	Callers  callerconn.Settings `json:"callers"`   // limits what the connections of operators and targets take

	Telemetry telemetry.Settings `json:"telemetry"`
}

const (
	minMemory = 32 // MB
	maxMemory = 1 << 20
)

// HeapLimit returns the bytes that the heap of the process may take.
func (s *Settings) HeapLimit() int64 { return callerconn.HeapLimit(s.MemoryMB) }

// DefaultSettings returns the default settings, with names, addresses and the
// data folder left empty.
func DefaultSettings() *Settings {
	return &Settings{
		Grace: settings.Duration(30 * time.Second), MemoryMB: 256, Callers: callerconn.DefaultSettings(),
		Telemetry: telemetry.DefaultSettings(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(report settings.Report) {
	settings.RequireNonEmpty(report, "name", s.Name)
	settings.RequireNonEmpty(report, "region", s.Region)
	settings.RequireNonEmpty(report, "data_centre", s.DataCentre)
	settings.RequireNonEmpty(report, "data_folder", s.DataFolder)
	settings.RequireAddress(report, "control_address", s.ControlAddress)
	settings.RequireAddress(report, "peer_address", s.PeerAddress)
	if len(s.Seeds) == 0 {
		report("seeds", s.Seeds, "want at least one address")
	}
	for i, seed := range s.Seeds {
		settings.RequireAddress(report, "seeds["+strconv.Itoa(i)+"]", seed)
	}
	settings.RequireIntRange(report, "seed_port", s.SeedPort, 0, 65_535)
	settings.RequireDurationRange(report, "grace", s.Grace, time.Second, time.Hour)
	settings.RequireIntRange(report, "fault_tolerance", s.FaultTolerance, 0, consensus.MaxFaultTolerance)
	settings.RequireIntRange(report, "memory_mb", s.MemoryMB, minMemory, maxMemory)
	s.Callers.Check(func(path string, value any, problem string) { report("callers."+path, value, problem) })
	s.Telemetry.Check(func(path string, value any, problem string) { report("telemetry."+path, value, problem) })
}

// seedPeers returns the peer addresses of the seeds.
func (s *Settings) seedPeers() []string { return settings.WithPort(s.Seeds, s.SeedPort) }
