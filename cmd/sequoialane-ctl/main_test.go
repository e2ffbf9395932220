package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/ctl"
	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// testEnv is a control member and the token file that a command needs.
type testEnv struct {
	t            *testing.T
	handler      http.Handler
	stateMachine *plan.StateMachine
	address      string
	tokenFile    string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	stateMachine := plan.NewStateMachine()
	group := startGroup(t, stateMachine)
	handler := control.NewHandler(control.Options{
		Group: group, Catalog: stateMachine, Submitter: control.NewSubmitter(group, stateMachine, sys.RealClock{}, zap.NewNop()),
		InContact: func() bool { return true }, OperatorToken: "operator", FleetToken: "fleet", Clock: sys.RealClock{},
	})
	env := &testEnv{t: t, handler: handler, stateMachine: stateMachine, address: serve(t, handler)}
	env.tokenFile = env.file("operator.token", "operator\n")
	return env
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (env *testEnv) file(name, content string) string {
	env.t.Helper()
	path := filepath.Join(env.t.TempDir(), name)
	require.NoError(env.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run executes a command with the given control addresses.
func (env *testEnv) run(addresses string, args ...string) (code int, stdout, stderr string) {
	env.t.Helper()
	var out, errors bytes.Buffer
	all := append([]string{"sequoialane-ctl", "--control", addresses, "--token-file", env.tokenFile}, args...)
	code = execute(context.Background(), all, &out, &errors)
	return code, out.String(), errors.String()
}

func hash(n int) string { return fmt.Sprintf("%064x", n) }

// Guards against commands that do not change or show plans and entitlements.
func TestCommandsChangeAndShowCatalog(t *testing.T) {
	env := newTestEnv(t)
	steps := []struct {
		args []string
		want string // in the output
	}{
		{[]string{"plans", "set", "camara-norte", "--weight", "7", "--home-region", "norte", "--plan-token-file", env.file("plan.token", "secret")}, "accepted"},
		{[]string{"plans", "set", "camara-sul", "--token-sha256", hash(2)}, "accepted"},
		{[]string{"plans", "set", "camara-norte", "--weight", "9"}, "accepted"},
		{[]string{"plans", "list"}, "camara-norte  9       norte        2bb80d53"},
		{[]string{"entitlements", "set", "camara-norte", "orders", "--concurrency", "4"}, "accepted"},
		{[]string{"entitlements", "set", "camara-norte", "orders", "--requests-per-second", "2.5"}, "accepted"},
		{[]string{"entitlements", "list", "--plan", "camara-norte"}, "camara-norte  orders   2.5         4"},
		{[]string{"entitlements", "show", "camara-norte", "orders", "-o", "json"}, `"concurrency": 4`},
		{[]string{"plans", "show", "camara-norte"}, "orders"},
		{[]string{"diff", "--after", "4"}, "set     entitlement  camara-norte/orders"},
		{[]string{"entitlements", "remove", "camara-norte", "orders"}, "accepted"},
		{[]string{"plans", "remove", "camara-sul"}, "accepted"},
		{[]string{"status"}, "c1"},
		{[]string{"status", "-o", "json"}, `"catalog_version": 7`},
	}
	for _, step := range steps {
		code, stdout, stderr := env.run(env.address, step.args...)
		require.Equal(t, ctl.ExitOK, code, "%v: %s", step.args, stderr)
		require.Contains(t, stdout, step.want, "%v", step.args)
	}
	_, found := env.stateMachine.Current().Authenticate("secret")
	assert.True(t, found)
}

// Guards against a failure reported with the wrong exit code.
func TestExitCodes(t *testing.T) {
	env := newTestEnv(t)
	code, _, _ := env.run(env.address, "plans", "set", "p", "--token-sha256", hash(1))
	require.Equal(t, ctl.ExitOK, code)
	notFoundServer := serve(t, http.NotFoundHandler())
	cases := []struct {
		desc, addresses string
		args            []string
		want            int
	}{
		{"unknown flag", env.address, []string{"plans", "list", "--wrong"}, ctl.ExitUsage},
		{"missing argument", env.address, []string{"plans", "show"}, ctl.ExitUsage},
		{"wrong output", env.address, []string{"plans", "list", "-o", "xml"}, ctl.ExitUsage},
		{"missing file", env.address, []string{"apply", "-f", "/absent.json"}, ctl.ExitUsage},
		{"unknown field in file", env.address, []string{"apply", "-f", env.file("f.json", `{"plan":[]}`)}, ctl.ExitUsage},
		{"version conflict", env.address, []string{"plans", "set", "p", "--weight", "2", "--base-version", "0"}, ctl.ExitVersionConflict},
		{"invalid change", env.address, []string{"plans", "set", "p", "--weight", "2000"}, ctl.ExitInvalidChange},
		{"home region", env.address, []string{"plans", "set", "p", "--home-region", "sul"}, ctl.ExitInvalidChange},
		{"nobody answers", "127.0.0.1:1", []string{"plans", "list"}, ctl.ExitUnavailable},
		{"status, nobody answers", "127.0.0.1:1", []string{"status"}, ctl.ExitUnavailable},
		{"not found", env.address, []string{"plans", "show", "absent"}, ctl.ExitNotFound},
		{"not a control member", notFoundServer, []string{"plans", "list"}, ctl.ExitUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			code, _, stderr := env.run(tc.addresses, tc.args...)
			assert.Equal(t, tc.want, code, stderr)
		})
	}
	env.tokenFile = env.file("wrong.token", "wrong")
	code, _, _ = env.run(env.address, "plans", "list")
	assert.Equal(t, ctl.ExitUnauthorized, code)
}

// Guards against a change taking effect twice, or being reported as failed, when
// the response of the first control member is lost.
func TestLostResponseIsResentWithSameID(t *testing.T) {
	env := newTestEnv(t)
	lossy := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			env.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		env.handler.ServeHTTP(w, r)
	}))
	code, stdout, stderr := env.run(lossy+","+env.address, "plans", "set", "p", "--token-sha256", hash(1), "-o", "json")
	require.Equal(t, ctl.ExitOK, code, stderr)
	var printed acceptedChange
	require.NoError(t, json.Unmarshal([]byte(stdout), &printed))
	assert.Equal(t, uint64(1), printed.Version)
	assert.Equal(t, uint64(1), env.stateMachine.Current().Version())
	assert.Contains(t, stderr, "change id "+printed.ChangeID+", base version 0")

	code, _, stderr = env.run(lossy, "plans", "set", "p", "--weight", "5", "--change-id", "by-hand")
	assert.Equal(t, ctl.ExitCommitUnknown, code)
	assert.Contains(t, stderr, "--change-id by-hand --base-version 1")
	assert.Equal(t, uint64(2), env.stateMachine.Current().Version())
	code, stdout, _ = env.run(env.address, "plans", "set", "p", "--weight", "5", "--change-id", "by-hand", "--base-version", "1")
	assert.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, stdout, "accepted")
	assert.Equal(t, uint64(2), env.stateMachine.Current().Version())
}

// Guards against apply removing items that the file does not name without
// --prune, and against losing parts of a large file.
func TestApply(t *testing.T) {
	env := newTestEnv(t)
	lists := ctl.CatalogItems{}
	for n := range 5100 {
		id := fmt.Sprintf("p%d", n)
		lists.Plans = append(lists.Plans, plan.Plan{ID: id, Weight: 1, TokenSHA256: []string{hash(n)}})
		lists.Entitlements = append(lists.Entitlements, plan.Entitlement{Plan: id, Service: "orders"})
	}
	write := func(l ctl.CatalogItems) string {
		encoded, err := json.Marshal(l)
		require.NoError(t, err)
		return env.file("lists.json", string(encoded))
	}
	code, _, stderr := env.run(env.address, "apply", "-f", write(lists))
	require.Equal(t, ctl.ExitOK, code, stderr)
	assert.Equal(t, 5100, env.stateMachine.Current().PlanCount())
	assert.Equal(t, 5100, env.stateMachine.Current().EntitlementCount())
	assert.Equal(t, 4, strings.Count(stderr, "part "))
	fewer := ctl.CatalogItems{Plans: lists.Plans[:5099], Entitlements: lists.Entitlements[:5098]}
	code, _, stderr = env.run(env.address, "apply", "-f", write(fewer))
	require.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, stderr, "nothing to change")
	code, stdout, _ := env.run(env.address, "diff", "--prune", "-f", write(fewer))
	require.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, stdout, "remove  plan         p5099")
	assert.Contains(t, stdout, "remove  entitlement  p5098/orders")
	code, _, _ = env.run(env.address, "apply", "--prune", "-f", write(fewer))
	require.Equal(t, ctl.ExitOK, code)
	assert.Equal(t, 5099, env.stateMachine.Current().PlanCount())
	assert.Equal(t, 5098, env.stateMachine.Current().EntitlementCount())
}

// Guards against members and upstreams failing on either form of an entry's
// response.
func TestFleetCommandsReadAnEntry(t *testing.T) {
	env := newTestEnv(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/members", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"name":"e1","region":"norte","data_centre":"n1","state":"alive","catalog_version":3}]`)
	})
	mux.HandleFunc("GET /admin/v1/upstreams", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"services":[{"service":"orders","owner":true,"targets":[{"address":"10.0.0.9:80","health":"in"}]}]}`)
	})
	entry := serve(t, mux)
	for args, want := range map[string]string{"members": "e1     norte   n1           alive", "upstreams": "10.0.0.9:80"} {
		code, stdout, stderr := env.run("127.0.0.1:1", args, "--entry", entry)
		require.Equal(t, ctl.ExitOK, code, stderr)
		assert.Contains(t, stdout, want)
	}
}

func TestShellCompletion(t *testing.T) {
	var out, errors bytes.Buffer
	require.Equal(t, ctl.ExitOK, execute(context.Background(), []string{"sequoialane-ctl", "completion", "bash"}, &out, &errors), errors.String())
	assert.Contains(t, out.String(), "sequoialane-ctl")
}

// startGroup starts a group of one member.
func startGroup(t *testing.T, stateMachine *plan.StateMachine) control.Group {
	t.Helper()
	settings := control.DefaultSettings()
	settings.Name = "c1"
	settings.Members = []control.MemberSettings{{Name: "c1"}}
	group, err := control.StartGroup(control.GroupOptions{
		Settings: settings, Storage: consensus.DiskStorage(fakedisk.New()), StateMachine: stateMachine, Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(group.Stop)
	return control.NewGroup(group)
}
