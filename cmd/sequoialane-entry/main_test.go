package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/daemon"
	"github.com/sequoialane/sequoialane/internal/entry"
)

func validSettings(t *testing.T) *entry.Settings {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	require.NoError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	s := entry.DefaultSettings()
	s.Name, s.Region, s.DataCentre = "entry-1", "north", "north-a"
	s.CallerAddress, s.PeerAddress, s.GossipAddress = "127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"
	s.FleetTokenFile, s.UpstreamTokenFile, s.OperatorTokenFile = token, token, token
	s.Control = []configsync.ControlMember{{Name: "control-1", Region: "north", Address: "127.0.0.1:9004"}}
	return s
}

// Guards against accepting invalid settings, and against reporting them other
// than with exit code 2 and one line.
func TestCheckSettings(t *testing.T) {
	cases := []struct {
		desc   string
		change func(s *entry.Settings)
		code   int
		want   string
	}{
		{"valid", func(*entry.Settings) {}, 0, "settings are valid"},
		{"no name", func(s *entry.Settings) { s.Name = "" }, 2, "name: found"},
		{"host name", func(s *entry.Settings) { s.CallerAddress = "localhost:80" }, 2, "caller_address"},
		{"unspecified address", func(s *entry.Settings) { s.PeerAddress = "0.0.0.0:80" }, 2, "peer_address"},
		{"same address twice", func(s *entry.Settings) { s.PeerAddress = s.CallerAddress }, 2, "must differ"},
		{"bad seed", func(s *entry.Settings) { s.Seeds = []string{"x"} }, 2, "seeds[0]"},
		{"seeds without claim groups", func(s *entry.Settings) { s.Seeds = []string{"127.0.0.1:1"} }, 2, "claim_groups"},
		{"no source of plans", func(s *entry.Settings) { s.Control = nil }, 2, "control"},
		{"time to live", func(s *entry.Settings) { s.TimeToLive = 0 }, 2, "time_to_live"},
		{"floor", func(s *entry.Settings) { s.FloorPercent = 0 }, 2, "floor_percent"},
		{"missing token file", func(s *entry.Settings) { s.FleetTokenFile = "/nonexistent" }, 2, "token file"},
		{"telemetry", func(s *entry.Settings) { s.Telemetry.LogLevel = "loud" }, 2, "telemetry.log_level"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := validSettings(t)
			tc.change(s)
			raw, err := json.Marshal(s)
			require.NoError(t, err)
			file := filepath.Join(t.TempDir(), "entry.json")
			require.NoError(t, os.WriteFile(file, raw, 0o600))
			var stdout, stderr bytes.Buffer
			code := program().Execute(context.Background(), []string{"sequoialane-entry", "check-settings", "--settings", file}, &stdout, &stderr)
			assert.Equal(t, tc.code, code, stderr.String())
			assert.Contains(t, stdout.String()+stderr.String(), tc.want)
			assert.LessOrEqual(t, bytes.Count(stderr.Bytes(), []byte("\n")), 1)
		})
	}
}

// Guards against print-defaults writing output that cannot be read as settings.
func TestPrintDefaults(t *testing.T) {
	var stdout, stderr bytes.Buffer
	require.Zero(t, program().Execute(context.Background(), []string{"sequoialane-entry", "print-defaults"}, &stdout, &stderr))
	var read entry.Settings
	require.NoError(t, json.Unmarshal(stdout.Bytes(), &read))
	assert.Equal(t, *entry.DefaultSettings(), read)
}

// Guards against a usage error ending with another exit code than 2.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{"nonsense"}, {"--nonsense"}, {"run"}, {"run", "--nonsense"}, {"check-settings", "--nonsense"}, {"run", "--settings", "/nonexistent.json"}} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, daemon.ExitInvalidSettings, program().Execute(context.Background(), append([]string{"sequoialane-entry"}, args...), &stdout, &stderr), args)
	}
}
