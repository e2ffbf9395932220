package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type sample struct {
	Listen  string   `json:"listen"`
	Wait    Duration `json:"wait"`
	Members []member `json:"members"`
}

type member struct {
	Name string `json:"name"`
}

func (s *sample) Check(report Report) {
	RequireAddress(report, "listen", s.Listen)
	RequireDurationRange(report, "wait", s.Wait, time.Second, time.Minute)
}

// Guards against an invalid settings file being accepted, or rejected without
// naming the file, path, value and problem on one line.
func TestParseReportsInvalidField(t *testing.T) {
	cases := []struct {
		desc, raw, want string
	}{
		{"unknown field", `{"listen":"127.0.0.1:1","lissten":1}`, `f.json: lissten: found 1: unknown field; known: listen, members, wait`},
		{"unknown nested field", `{"members":[{"name":"a"},{"nam":"b"}]}`, `f.json: members[1].nam: found "b": unknown field; known: name`},
		{"number without unit", `{"wait":5}`, `f.json: wait: found 5: want a string with a unit`},
		{"unknown unit", `{"wait":"5 parsecs"}`, `f.json: wait: found "5 parsecs": want a string with a unit`},
		{"out of range", `{"listen":"127.0.0.1:1","wait":"2h"}`, `f.json: wait: found "2h0m0s": want a duration from 1s to 1m0s`},
		{"host name", `{"listen":"localhost:80","wait":"2s"}`, `f.json: listen: found "localhost:80": want an IP address with a port`},
		{"wrong type", `{"listen":5}`, `f.json: listen: found number: want string`},
		{"invalid JSON", `{`, `f.json: unexpected EOF`},
		{"two objects", `{"listen":"127.0.0.1:1","wait":"2s"}{}`, `f.json: exactly one JSON object is allowed`},
		{"list for object", `[]`, `f.json: found []: want an object`},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			err := Parse("f.json", []byte(tc.raw), &sample{})
			require.Error(t, err)
			assert.Contains(t, err.Error(), tc.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	err := Load(filepath.Join(t.TempDir(), "absent.json"), &sample{})
	require.Error(t, err)
	assert.Contains(t, err.Error(), "absent.json: cannot be read: no such file or directory")
}

func TestLoadKeepsDefaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"listen":"127.0.0.1:80"}`), 0o600))
	s := &sample{Wait: Duration(3 * time.Second)}
	require.NoError(t, Load(file, s))
	assert.Equal(t, 3*time.Second, s.Wait.Std())
}

func FuzzParse(f *testing.F) {
	f.Add(`{"listen":"127.0.0.1:1","wait":"2s","members":[{"name":"a"}]}`)
	f.Add(`{"members":{}}`)
	f.Add(strings.Repeat("[", 100))
	f.Fuzz(func(t *testing.T, raw string) {
		_ = Parse("f.json", []byte(raw), &sample{})
	})
}
