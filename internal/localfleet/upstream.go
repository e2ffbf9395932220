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

// Upstream is a stand-in upstream.
type Upstream struct {
	*Process
	Address        string
	ControlAddress string
	runsFile       string
}

// UpstreamOptions describe a stand-in upstream.
type UpstreamOptions struct {
	Service     string
	Region      string // default: the first region
	Slots       int
	ServiceTime time.Duration
	Idempotent  []string // path prefixes
	Seed        uint64
}

// UpstreamStats is what a stand-in upstream counted.
type UpstreamStats struct {
	Requests    int            `json:"requests"`
	MaxInFlight int            `json:"max_in_flight"`
	Probes      int            `json:"probes"`
	Shed        int            `json:"shed"`
	Runs        map[string]int `json:"runs"` // for each idempotency key
}

// StartUpstream starts a stand-in upstream and waits until an owner knows it.
func (f *Fleet) StartUpstream(ctx context.Context, o UpstreamOptions) (*Upstream, error) {
	if o.Region == "" {
		o.Region = f.options.Regions[0]
	}
	host := f.ports.Host()
	address, err := f.ports.TCP(host)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	controlAddress, err := f.ports.TCP(host)
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
	return u, u.poll(ctx, func() error { return f.Known(u) })
}

// Known reports an error until the owner lists the target.
func (f *Fleet) Known(u *Upstream) error {
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

// SetMode switches the failure mode; the argument is the JSON body that the
// stand-in upstream documents, such as {"mode":"slow","factor":10}.
func (f *Fleet) SetMode(u *Upstream, mode string) error {
	response, err := f.client.Post("http://"+u.ControlAddress+"/mode", "application/json", strings.NewReader(mode))
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		raw, _ := io.ReadAll(response.Body)
		return trace.BadParameter("mode %s was refused: %s", mode, raw)
	}
	return nil
}

// Stats returns what the stand-in upstream counted since its start.
func (f *Fleet) Stats(u *Upstream) (UpstreamStats, error) {
	var s UpstreamStats
	response, err := f.client.Get("http://" + u.ControlAddress + "/stats")
	if err != nil {
		return s, trace.Wrap(err)
	}
	defer response.Body.Close()
	return s, trace.Wrap(json.NewDecoder(response.Body).Decode(&s))
}
