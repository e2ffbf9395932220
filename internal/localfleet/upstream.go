package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/entry"
)

// Upstream is the process of a simulated upstream.
type Upstream struct {
	*Process
	Address        string
	ControlAddress string
	runsFile       string
}

// UpstreamOptions configure a simulated upstream.
type UpstreamOptions struct {
	Service     string
	Region      string // default: the first region
	Slots       int
	ServiceTime time.Duration
	Idempotent  []string // path prefixes whose requests are announced as idempotent
	Seed        uint64
}

// UpstreamStats holds the counters of a simulated upstream since its start.
type UpstreamStats struct {
	Requests    int            `json:"requests"`
	MaxInFlight int            `json:"max_in_flight"`
	Probes      int            `json:"probes"`
	Shed        int            `json:"shed"`
	Runs        map[string]int `json:"runs"` // by idempotency key
}

// StartUpstream starts a simulated upstream and waits until an owner lists it as a
// target.
func (f *Fleet) StartUpstream(ctx context.Context, o UpstreamOptions) (*Upstream, error) {
	if o.Region == "" {
		o.Region = f.options.Regions[0]
	}
	host := f.ports.NextHost()
	address, err := f.ports.ReserveTCP(host)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	controlAddress, err := f.ports.ReserveTCP(host)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	args := []string{
		"--listen", address, "--control", controlAddress, "--service", o.Service, "--region", o.Region,
		"--data-centre", o.Region + "-a", "--slots", strconv.Itoa(o.Slots), "--service-time", o.ServiceTime.String(),
		"--token-file", f.path("upstream.token"), "--seed", strconv.FormatUint(o.Seed, 10),
	}
	for _, e := range f.Entries {
		args = append(args, "--entry", e.Settings.CallerAddress)
	}
	for _, prefix := range o.Idempotent {
		args = append(args, "--idempotent", prefix)
	}
	name := fmt.Sprintf("upstream-%d", len(f.Upstreams))
	runsFile := f.path(name + ".runs")
	args = append(args, "--runs-file", runsFile)
	u := &Upstream{
		Process:        newProcess(f.options.WorkDir, name, filepath.Join(f.options.BinDir, "upstream"), args...),
		Address:        address,
		ControlAddress: controlAddress,
		runsFile:       runsFile,
	}
	f.Upstreams = append(f.Upstreams, u)
	f.ports.Release()
	if err := u.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	return u, u.pollUntil(ctx, func() error { return f.CheckListed(u) })
}

// CheckListed returns an error unless the owner of the service lists the upstream
// as a target.
func (f *Fleet) CheckListed(u *Upstream) error {
	for _, e := range f.Entries {
		var body entry.Upstreams
		if f.Get(e.Settings.CallerAddress, "/admin/v1/upstreams", &body) != nil {
			continue
		}
		for _, s := range body.Services {
			for _, t := range s.Targets {
				if s.Owner && t.Address == u.Address {
					return nil
				}
			}
		}
	}
	return trace.NotFound("no owner lists target %s", u.Address)
}

// SetMode sets the failure mode of a simulated upstream. mode is the JSON body that
// tools/upstream documents, such as {"mode":"slow","factor":10}.
func (f *Fleet) SetMode(u *Upstream, mode string) error {
	response, err := f.client.Post("http://"+u.ControlAddress+"/mode", "application/json", strings.NewReader(mode))
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		raw, _ := io.ReadAll(response.Body)
		return trace.BadParameter("simulated upstream rejected mode %s: %s", mode, raw)
	}
	return nil
}

// Stats returns the counters of a simulated upstream.
func (f *Fleet) Stats(u *Upstream) (UpstreamStats, error) {
	var s UpstreamStats
	response, err := f.client.Get("http://" + u.ControlAddress + "/stats")
	if err != nil {
		return s, trace.Wrap(err)
	}
	defer response.Body.Close()
	return s, trace.Wrap(json.NewDecoder(response.Body).Decode(&s))
}
