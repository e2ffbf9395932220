package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/freeports"
	"github.com/sequoialane/sequoialane/internal/settings"
)

const (
	pollPeriod      = 50 * time.Millisecond
	clockError      = 100 * time.Millisecond // small, because all processes share one clock; idempotency keys created before a claim group formed count as unknown for this long
	maxClaimMembers = 5                      // maximum size of a claim group
	fleetToken      = "fleet-token-of-a-local-fleet"
	upstreamToken   = "upstream-token-of-a-local-fleet"
	operatorToken   = "operator-token-of-a-local-fleet"
)

// Options configure a fleet.
type Options struct {
	BinDir     string // folder of the binaries
	WorkDir    string // folder for settings, logs and data folders
	Controls   int
	Entries    int
	Regions    []string      // assigned to control members and entries in turn; default: one region, "north"
	TimeToLive time.Duration // of address responses; default: 1 s
	// Adjust changes the settings of an entry before they are written. It may
	// be nil.
	Adjust func(s *entry.Settings)
}

// Fleet is a running fleet on loopback.
type Fleet struct {
	Controls  []*Control
	Entries   []*Entry
	Upstreams []*Upstream

	options Options
	ports   freeports.Ports
	client  *http.Client
}

// Control is the process of a control member.
type Control struct {
	*Process
	Settings   *control.Settings
	APIAddress string
}

// Entry is the process of an entry.
type Entry struct {
	*Process
	Settings *entry.Settings
}

// Start starts control members and entries and waits until all are ready. On an
// error, it ends all processes that it started.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f, err := start(ctx, o)
	if err != nil {
		f.Close()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

func start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, client: &http.Client{Timeout: requestTimeout}}
	if len(f.options.Regions) == 0 {
		f.options.Regions = []string{"north"}
	}
	if f.options.TimeToLive == 0 {
		f.options.TimeToLive = time.Second
	}
	if err := f.prepareProcesses(); err != nil {
		return f, trace.Wrap(err)
	}
	f.ports.Release()
	for _, p := range f.processes() {
		if err := p.Start(); err != nil {
			return f, trace.Wrap(err)
		}
	}
	for _, c := range f.Controls {
		if err := f.WaitReady(ctx, c.Process, c.APIAddress); err != nil {
			return f, trace.Wrap(err)
		}
	}
	for _, e := range f.Entries {
		if err := f.WaitReady(ctx, e.Process, e.Settings.CallerAddress); err != nil {
			return f, trace.Wrap(err)
		}
	}
	return f, nil
}

func (f *Fleet) processes() []*Process {
	var list []*Process
	for _, c := range f.Controls {
		list = append(list, c.Process)
	}
	for _, e := range f.Entries {
		list = append(list, e.Process)
	}
	for _, u := range f.Upstreams {
		list = append(list, u.Process)
	}
	return list
}

// Close kills all processes of the fleet, suspended ones too.
func (f *Fleet) Close() {
	for _, p := range f.processes() {
		_ = p.Resume()
		p.Kill()
	}
	f.ports.Release()
	f.client.CloseIdleConnections()
}

// WaitReady waits until the process responds to /readyz with status 200.
func (f *Fleet) WaitReady(ctx context.Context, p *Process, address string) error {
	return p.pollUntil(ctx, func() error {
		response, err := f.client.Get("http://" + address + "/readyz")
		if err != nil {
			return trace.Wrap(err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return trace.BadParameter("readiness status %d", response.StatusCode)
		}
		return nil
	})
}

// prepareProcesses writes tokens and settings and creates the processes, not yet
// started.
func (f *Fleet) prepareProcesses() error {
	if err := os.MkdirAll(f.options.WorkDir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for name, token := range map[string]string{"fleet": fleetToken, "upstream": upstreamToken, "operator": operatorToken} {
		if err := os.WriteFile(f.path(name+".token"), []byte(token+"\n"), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	if err := f.prepareControls(); err != nil {
		return trace.Wrap(err)
	}
	return f.prepareEntries()
}

func (f *Fleet) path(name string) string { return filepath.Join(f.options.WorkDir, name) }

func (f *Fleet) prepareControls() error {
	var members []control.MemberSettings
	for i := range f.options.Controls {
		host := f.ports.NextHost()
		api, err := f.ports.ReserveTCP(host)
		if err != nil {
			return trace.Wrap(err)
		}
		peer, err := f.ports.ReserveTCP(host)
		if err != nil {
			return trace.Wrap(err)
		}
		region := f.options.Regions[i%len(f.options.Regions)]
		members = append(members, control.MemberSettings{
			Name: fmt.Sprintf("control-%d", i), Region: region, DataCentre: region + "-a", APIAddress: api, PeerAddress: peer,
		})
	}
	for _, m := range members {
		s := control.DefaultSettings()
		s.Name = m.Name
		s.Members = members
		s.DataFolder = f.path(m.Name + ".data")
		s.OperatorTokenFile = f.path("operator.token")
		s.FleetTokenFile = f.path("fleet.token")
		if err := os.MkdirAll(s.DataFolder, 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
		p, err := f.prepareProcess(m.Name, "sequoialane-control", s)
		if err != nil {
			return trace.Wrap(err)
		}
		f.Controls = append(f.Controls, &Control{Process: p, Settings: s, APIAddress: m.APIAddress})
	}
	return nil
}

func (f *Fleet) prepareEntries() error {
	var list []*entry.Settings
	for i := range f.options.Entries {
		s, err := f.entrySettings(i)
		if err != nil {
			return trace.Wrap(err)
		}
		list = append(list, s)
	}
	groups := claimGroups(f.options.Regions, list)
	for i, s := range list {
		s.ClaimGroups = groups
		for j, other := range list {
			if i != j {
				s.Seeds = append(s.Seeds, other.PeerAddress)
			}
		}
		if f.options.Adjust != nil {
			f.options.Adjust(s)
		}
		p, err := f.prepareProcess(s.Name, "sequoialane-entry", s)
		if err != nil {
			return trace.Wrap(err)
		}
		f.Entries = append(f.Entries, &Entry{Process: p, Settings: s})
	}
	return nil
}

func (f *Fleet) entrySettings(i int) (*entry.Settings, error) {
	s := entry.DefaultSettings()
	region := f.options.Regions[i%len(f.options.Regions)]
	s.Name = fmt.Sprintf("entry-%d", i)
	s.Region = region
	s.DataCentre = region + []string{"-a", "-b"}[i/len(f.options.Regions)%2]
	s.DataFolder = f.path(s.Name + ".data")
	s.FleetTokenFile = f.path("fleet.token")
	s.UpstreamTokenFile = f.path("upstream.token")
	s.OperatorTokenFile = f.path("operator.token")
	s.TimeToLive = settings.Duration(f.options.TimeToLive)
	s.ClockError = settings.Duration(clockError)
	if err := os.MkdirAll(s.DataFolder, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	for _, c := range f.Controls {
		self, _ := c.Settings.Self()
		s.Control = append(s.Control, configsync.ControlMember{Name: self.Name, Region: self.Region, Address: self.APIAddress})
	}
	host := f.ports.NextHost()
	var err error
	if s.CallerAddress, err = f.ports.ReserveTCP(host); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.PeerAddress, err = f.ports.ReserveTCP(host); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.GossipAddress, err = f.ports.ReserveUDP(host); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// claimGroups returns one claim group for each region: maxClaimMembers of its
// entries or, if it has fewer, the largest odd number of them.
func claimGroups(regions []string, entries []*entry.Settings) []claims.GroupSettings {
	groups := []claims.GroupSettings{}
	for _, region := range regions {
		g := claims.GroupSettings{Name: region, Region: region}
		for _, s := range entries {
			if s.Region == region && len(g.Members) < maxClaimMembers {
				g.Members = append(g.Members, claims.MemberSettings{Name: s.Name, Address: s.PeerAddress})
			}
		}
		if len(g.Members)%2 == 0 && len(g.Members) > 0 {
			g.Members = g.Members[:len(g.Members)-1]
		}
		if len(g.Members) > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// prepareProcess writes the settings file and returns the process, not yet
// started.
func (f *Fleet) prepareProcess(name, binary string, s any) (*Process, error) {
	encoded, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	file := f.path(name + ".json")
	if err := os.WriteFile(file, encoded, 0o644); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return newProcess(f.options.WorkDir, name, filepath.Join(f.options.BinDir, binary), "run", "--settings", file), nil
}
