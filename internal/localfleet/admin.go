package localfleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/entry"
	"github.com/sequoialane/sequoialane/internal/loadgen"
	"github.com/sequoialane/sequoialane/internal/plan"
)

const requestTimeout = 10 * time.Second

// Get sends a GET request with the operator token and decodes the JSON response
// into the given value.
func (f *Fleet) Get(address, path string, into any) error {
	return f.requestJSON(http.MethodGet, address, path, nil, into)
}

// requestJSON sends body as JSON with the operator token and decodes the response
// into the given value. A status other than 2xx is an error.
func (f *Fleet) requestJSON(method, address, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	r.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode/100 != 2 {
		return trace.BadParameter("%s %s: status %d: %s", method, path, response.StatusCode, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, into))
}

// ApplyChange submits a change of plans and entitlements on top of the current
// catalog version and returns the version that it created. If a member fails,
// the change goes to the next one; its id makes the resend safe.
func (f *Fleet) ApplyChange(ch plan.Change) (uint64, error) {
	ch.ID = uuid.NewString()
	var last error
	for _, c := range f.Controls {
		var status struct {
			CatalogVersion uint64 `json:"catalog_version"`
		}
		if last = f.Get(c.APIAddress, "/v1/status", &status); last != nil {
			continue
		}
		ch.BaseVersion = status.CatalogVersion
		var result plan.Result
		if last = f.requestJSON(http.MethodPost, c.APIAddress, "/v1/changes", ch, &result); last == nil {
			return result.Version, nil
		}
	}
	return 0, trace.Wrap(last, "no control member accepted the change")
}

// WaitCatalog waits until each given entry has the catalog version or a newer one.
func (f *Fleet) WaitCatalog(ctx context.Context, version uint64, entries ...*Entry) error {
	for _, e := range entries {
		err := e.pollUntil(ctx, func() error {
			status, err := f.Status(e)
			if err != nil {
				return err
			}
			if status.CatalogVersion < version {
				return trace.NotFound("catalog version is %d, want %d", status.CatalogVersion, version)
			}
			return nil
		})
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Status returns the status of an entry.
func (f *Fleet) Status(e *Entry) (entry.Status, error) {
	var s entry.Status
	err := f.Get(e.Settings.CallerAddress, "/admin/v1/status", &s)
	return s, err
}

// Token returns the token of a plan and the hash that the catalog stores.
func Token(planID string) (token, hash string) {
	token = "token-of-" + planID
	sum := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(sum[:])
}

// CallerAddresses returns the addresses of all entries.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, e := range f.Entries {
		list = append(list, e.Settings.CallerAddress)
	}
	return list
}

// Load is a running load generator.
type Load struct {
	*Process
	keysFile string
	output   string
}

// StartLoad starts the load generator against all entries. The region defaults to
// the first one.
func (f *Fleet) StartLoad(name string, cfg loadgen.Config) (*Load, error) {
	cfg.Entries = f.CallerAddresses()
	if cfg.Region == "" {
		cfg.Region = f.options.Regions[0]
	}
	encoded, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	file := f.path(name + ".json")
	if err := os.WriteFile(file, encoded, 0o644); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	l := &Load{keysFile: f.path(name + ".keys"), output: f.path(name + ".summary")}
	l.Process = newProcess(f.options.WorkDir, name, filepath.Join(f.options.BinDir, "load"),
		"--settings", file, "--keys", l.keysFile, "--output", l.output)
	return l, l.Start()
}

// Finish waits until the load generator ends and returns its summary. If ctx ends
// first, it kills the load generator.
func (l *Load) Finish(ctx context.Context) (loadgen.Summary, error) {
	var s loadgen.Summary
	select {
	case <-l.Done():
	case <-ctx.Done():
		l.Kill()
		return s, trace.Wrap(ctx.Err())
	}
	raw, err := os.ReadFile(l.output)
	if err != nil {
		return s, trace.Wrap(err, "the load generator wrote no summary: %s", logTail(l.Log()))
	}
	return s, trace.Wrap(json.Unmarshal(raw, &s))
}

// Keys returns the idempotency keys that the load generator used.
func (l *Load) Keys() ([]loadgen.UsedKey, error) { return loadgen.ReadKeys(l.keysFile) }

// Build builds the binaries of the module at root into the folder binDir.
func Build(root, binDir string) error {
	build := exec.Command("go", "build", "-o", binDir+string(filepath.Separator), "./cmd/...", "./tools/upstream", "./tools/load")
	build.Dir = root
	out, err := build.CombinedOutput()
	if err != nil {
		return trace.Wrap(err, "%s", out)
	}
	return nil
}

// Owner returns the entry that owns the service in the region.
func (f *Fleet) Owner(service, region string) (*Entry, error) {
	for _, e := range f.Entries {
		if e.Settings.Region != region {
			continue
		}
		var body entry.Upstreams
		if f.Get(e.Settings.CallerAddress, "/admin/v1/upstreams", &body) != nil {
			continue
		}
		for _, s := range body.Services {
			if s.Owner && s.Service == service {
				return e, nil
			}
		}
	}
	return nil, trace.NotFound("no entry owns %s in %s", service, region)
}
