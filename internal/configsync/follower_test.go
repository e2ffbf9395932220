package configsync

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/control"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const (
	testToken     = "fleet"
	operatorToken = "operator"
	waitLimit     = 20 * time.Second
	pollStep      = 10 * time.Millisecond
)

// controlServer is a control member of its own group.
type controlServer struct {
	*httptest.Server
	machine *plan.Machine
	cut     atomic.Bool // pretends to be out of contact with a leader
}

func (s *controlServer) contact() bool { return !s.cut.Load() }

func newControlServer(t *testing.T) *controlServer {
	t.Helper()
	machine := plan.NewMachine()
	group := control.NewSolo("c1", machine)
	submitter := control.NewSubmitter(group, machine, sys.RealClock{}, zap.NewNop())
	done := make(chan struct{})
	s := &controlServer{machine: machine}
	handler := control.NewHandler(control.Options{
		Group: group, Catalog: machine, Submitter: submitter, OperatorToken: operatorToken, Contact: s.contact,
		FleetToken: testToken, Clock: sys.RealClock{}, Done: done,
	})
	s.Server = httptest.NewServer(handler)
	t.Cleanup(func() {
		close(done)
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// addPlan submits a change that adds the n-th plan, and returns the version.
func (s *controlServer) addPlan(t *testing.T, n int) uint64 {
	t.Helper()
	ch := plan.Change{
		ID: fmt.Sprintf("change-%d", n), BaseVersion: s.machine.Current().Version(),
		SetPlans: []plan.Plan{{ID: fmt.Sprintf("plan-%d", n), Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", n)}}},
	}
	request, err := http.NewRequest(http.MethodPost, s.URL+"/v1/changes", bytes.NewReader(ch.Encode()))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var result plan.Result
	require.NoError(t, json.NewDecoder(response.Body).Decode(&result))
	return result.Version
}

func (s *controlServer) address() string { return s.Listener.Addr().String() }

func runFollower(t *testing.T, options Options) *Follower {
	t.Helper()
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	options.HTTP = &http.Client{Transport: &http.Transport{}}
	options.FleetToken = testToken
	options.Clock = sys.RealClock{}
	options.Log = zap.NewNop()
	f := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return f
}

func awaitVersion(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		current := f.Current()
		return current != nil && current.Version() >= version
	}, waitLimit, pollStep)
}

func TestFollowerReceivesAnAcceptedChange(t *testing.T) {
	server := newControlServer(t)
	f := runFollower(t, Options{Name: "e1", DataCentre: "a1", Control: []ControlMember{{Name: "c1", Address: server.address()}}})
	awaitVersion(t, f, 0)
	version := server.addPlan(t, 1)
	awaitVersion(t, f, version)
	_, found := f.Current().Plan("plan-1")
	assert.True(t, found)
	assert.Equal(t, Fresh, f.Freshness())
}
