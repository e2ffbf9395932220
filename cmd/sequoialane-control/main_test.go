package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/daemon"
	"github.com/sequoialane/sequoialane/internal/freeports"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errors bytes.Buffer
	code = program().Execute(context.Background(), append([]string{processName}, args...), &out, &errors)
	return code, out.String(), errors.String()
}

func writeFile(t testing.TB, folder, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(path, content, 0o600))
	return path
}

// freeAddress returns an address with a port that stays reserved until
// ports.Release.
func freeAddress(t testing.TB, ports *freeports.Ports, host string) string {
	t.Helper()
	address, err := ports.ReserveTCP(host)
	require.NoError(t, err)
	return address
}

// writeSettings writes the settings files of a group of three members and returns
// their paths.
func writeSettings(t testing.TB) ([]string, []control.MemberSettings) {
	t.Helper()
	folder := t.TempDir()
	s := control.DefaultSettings()
	s.OperatorTokenFile = writeFile(t, folder, "operator.token", []byte("operator\n"))
	s.FleetTokenFile = writeFile(t, folder, "fleet.token", []byte("fleet\n"))
	var ports freeports.Ports
	defer ports.Release()
	for n := range 3 {
		host := ports.NextHost()
		s.Members = append(s.Members, control.MemberSettings{
			Name: fmt.Sprintf("c%d", n), Region: "norte", DataCentre: "n1",
			APIAddress: freeAddress(t, &ports, host), PeerAddress: freeAddress(t, &ports, host),
		})
	}
	var files []string
	for _, m := range s.Members {
		s.Name = m.Name
		s.DataFolder = filepath.Join(folder, m.Name)
		encoded, err := json.Marshal(s)
		require.NoError(t, err)
		files = append(files, writeFile(t, folder, m.Name+".json", encoded))
	}
	return files, s.Members
}

// Guards against accepting invalid settings, and against reporting them other
// than with exit code 2 and one line.
func TestInvalidSettings(t *testing.T) {
	files, _ := writeSettings(t)
	raw, err := os.ReadFile(files[0])
	require.NoError(t, err)
	good := string(raw)
	cases := []struct {
		desc, settings, want string
	}{
		{"unknown field", strings.Replace(good, `"name":"c0","data_folder"`, `"names":1,"name":"c0","data_folder"`, 1), "names: found 1: unknown field"},
		{"name that is not a member", strings.Replace(good, `{"name":"c0"`, `{"name":"c9"`, 1), "name: found \"c9\""},
		{"number for a duration", strings.Replace(good, `"drain_timeout":"10s"`, `"drain_timeout":10`, 1), "drain_timeout: found 10: want a string with a unit"},
		{"missing token file", strings.Replace(good, "operator.token", "absent.token", 1), "absent.token: token file cannot be read"},
		{"region missing", strings.Replace(good, `"region":"norte"`, `"region":""`, 1), "members[0].region"},
		{"trace exporter", strings.Replace(good, `"trace_exporter":"off"`, `"trace_exporter":"file"`, 1), "telemetry.trace_exporter"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			require.NotEqual(t, good, tc.settings)
			file := writeFile(t, t.TempDir(), "wrong.json", []byte(tc.settings))
			for _, command := range []string{"check-settings", "run"} {
				code, _, stderr := runCommand(command, "--settings", file)
				assert.Equal(t, daemon.ExitInvalidSettings, code)
				assert.Contains(t, stderr, tc.want)
				assert.Equal(t, 1, strings.Count(stderr, "\n"))
			}
		})
	}
	code, _, stderr := runCommand("check-settings", "-s", files[0])
	assert.Zero(t, code, stderr)
	code, _, _ = runCommand("run")
	assert.Equal(t, daemon.ExitInvalidSettings, code)
	code, _, _ = runCommand("run", "--no-such-flag")
	assert.Equal(t, daemon.ExitInvalidSettings, code)
	code, stdout, _ := runCommand("print-defaults")
	assert.Zero(t, code)
	assert.Contains(t, stdout, `"drain_timeout": "10s"`)
}

// Guards against processes that do not form a group, lose a change on restart,
// or do not exit cleanly.
func TestThreeProcessesFormAGroup(t *testing.T) {
	files, members := writeSettings(t)
	stop := startAll(t, files)
	body := plan.Change{ID: "first", SetPlans: []plan.Plan{{ID: "p", Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", 1)}}}}.Encode()
	require.Eventually(t, func() bool {
		return request(t, http.MethodPost, members[0].APIAddress, "/v1/changes", body) == http.StatusOK
	}, waitTimeout, pollInterval)
	for _, m := range members {
		require.Eventually(t, func() bool {
			return request(t, http.MethodGet, m.APIAddress, "/readyz", nil) == http.StatusOK
		}, waitTimeout, pollInterval)
		assert.Equal(t, http.StatusOK, request(t, http.MethodGet, m.APIAddress, "/v1/plans/p", nil))
		assert.Equal(t, http.StatusOK, request(t, http.MethodGet, m.APIAddress, "/metrics", nil))
	}
	stop()
	stop = startAll(t, files)
	defer stop()
	require.Eventually(t, func() bool {
		return request(t, http.MethodGet, members[2].APIAddress, "/v1/plans/p", nil) == http.StatusOK
	}, waitTimeout, pollInterval)
}

// Guards against a change not reaching an entry while a control process restarts,
// and against a follower's catalog going back to an older version meanwhile.
func TestFollowersReceiveChangesThroughRestarts(t *testing.T) {
	files, members := writeSettings(t)
	stops := make([]func(), len(files))
	for n := range files {
		stops[n] = startAll(t, files[n:n+1])
	}
	followers := startFollowers(t, members, 4)
	version := uint64(0)
	change := func(address string) {
		t.Helper()
		p := plan.Plan{ID: "p", Weight: int(version%1000) + 1, TokenSHA256: []string{fmt.Sprintf("%064x", 1)}}
		body := plan.Change{ID: fmt.Sprintf("c%d", version), BaseVersion: version, SetPlans: []plan.Plan{p}}.Encode()
		require.Eventually(t, func() bool {
			return request(t, http.MethodPost, address, "/v1/changes", body) == http.StatusOK
		}, waitTimeout, pollInterval)
		version++
		for _, f := range followers {
			require.Eventually(t, func() bool { return f.Current() != nil && f.Current().Version() == version }, waitTimeout, pollInterval)
			require.Equal(t, configsync.Fresh, f.Freshness())
		}
	}
	change(members[0].APIAddress)
	for n := range files {
		stops[n]()
		other := members[(n+1)%len(members)].APIAddress
		change(other)
		stops[n] = startAll(t, files[n:n+1])
		change(other)
		change(members[n].APIAddress)
	}
	for _, stop := range stops {
		stop()
	}
}

// startFollowers runs count catalog followers of the control members, as entries
// do.
func startFollowers(t testing.TB, members []control.MemberSettings, count int) []*configsync.Follower {
	t.Helper()
	var followers []*configsync.Follower
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for n := range count {
		options := configsync.Options{
			Name: fmt.Sprintf("e%d", n), Region: "norte", DataCentre: "n1", Peers: func() []configsync.Peer { return nil },
			HTTP: &http.Client{Transport: &http.Transport{}}, FleetToken: "fleet", Clock: sys.RealClock{}, Log: zap.NewNop(),
		}
		for _, m := range members {
			options.Control = append(options.Control, configsync.ControlMember{Name: m.Name, Region: m.Region, Address: m.APIAddress})
		}
		f := configsync.New(options)
		followers = append(followers, f)
		wg.Go(func() { f.Run(ctx) })
	}
	return followers
}

// startAll runs a process for each settings file and returns a function that
// stops them.
func startAll(t testing.TB, files []string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	codes := make(chan int, len(files))
	for _, file := range files {
		go func() {
			var out, errors bytes.Buffer
			codes <- program().Execute(ctx, []string{processName, "run", "--settings", file}, &out, &errors)
		}()
	}
	return func() {
		cancel()
		for range files {
			assert.Zero(t, <-codes)
		}
	}
}

// request sends a request and returns the HTTP status, or 0 if it failed.
func request(t testing.TB, method, address, path string, body []byte) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer operator")
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a second process on the same data folder, which would corrupt
// the log of the first.
func TestDataFolderIsLocked(t *testing.T) {
	files, members := writeSettings(t)
	stop := startAll(t, files)
	defer stop()
	change := func(id string, base uint64) int {
		p := plan.Plan{ID: "p", Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", 1)}}
		return request(t, http.MethodPost, members[0].APIAddress, "/v1/changes", plan.Change{ID: id, BaseVersion: base, SetPlans: []plan.Plan{p}}.Encode())
	}
	require.Eventually(t, func() bool { return change("first", 0) == http.StatusOK }, waitTimeout, pollInterval)
	code, _, stderr := runCommand("run", "--settings", files[0])
	assert.Equal(t, daemon.ExitFailure, code)
	assert.Contains(t, stderr, "is used by another process")
	assert.Equal(t, http.StatusOK, change("second", 1))
}
