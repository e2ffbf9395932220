package control

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a process that keeps running after a failed sync, and against a
// change reported as not run although it may be on disk.
func TestProcessStopsOnStorageFailure(t *testing.T) {
	settings := DefaultSettings()
	settings.Name = "c1"
	settings.Members = []MemberSettings{{Name: "c1", APIAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}}
	dir := fakedisk.New()
	stateMachine := plan.NewStateMachine()
	group, err := StartGroup(GroupOptions{
		Settings: settings, Storage: consensus.DiskStorage(dir), StateMachine: stateMachine, Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	defer group.Stop()
	process, err := NewProcess(ProcessOptions{
		Settings: settings, Group: NewGroup(group), GroupHandler: group.Handler(), GroupStopped: group.Done(), Catalog: stateMachine,
		OperatorToken: testToken, FleetToken: "fleet", Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- process.Run(t.Context()) }()
	api := newTestHandler(t, NewGroup(group), stateMachine)
	require.Equal(t, http.StatusOK, call(t, api, "POST", "/v1/changes", changeBody("good", 0, testPlan(1)), nil))
	dir.FailSyncs(1)
	var apiErr controlapi.Error
	assert.Equal(t, http.StatusGatewayTimeout, call(t, api, "POST", "/v1/changes", changeBody("lost", 1, testPlan(2)), &apiErr))
	assert.ErrorIs(t, <-ended, ErrGroupStopped)
	var status controlapi.Status
	require.Equal(t, http.StatusOK, call(t, api, "GET", "/v1/status", "", &status))
	assert.NotEmpty(t, status.Failure)
	assert.Empty(t, status.Leader)
}

// Guards against transferring leadership after the peer address has closed:
// responses of the other members arrive there.
func TestLeadershipTransferPrecedesPeerShutdown(t *testing.T) {
	settings := DefaultSettings()
	settings.Name = "c1"
	settings.Members = []MemberSettings{{Name: "c1", APIAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}}
	stateMachine := plan.NewStateMachine()
	group, err := StartGroup(GroupOptions{
		Settings: settings, Storage: consensus.DiskStorage(fakedisk.New()), StateMachine: stateMachine, Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	defer group.Stop()
	var process *Process
	calls := 0
	process, err = NewProcess(ProcessOptions{
		Settings: settings, Group: NewGroup(group), GroupHandler: group.Handler(), GroupStopped: group.Done(), Catalog: stateMachine,
		OperatorToken: testToken, FleetToken: "fleet", Clock: sys.RealClock{}, Log: zap.NewNop(),
		TransferLeadership: func(context.Context) error {
			calls++
			conn, err := net.Dial("tcp", process.peer.Address())
			if assert.NoError(t, err) {
				assert.NoError(t, conn.Close())
			}
			return group.TransferLeadership(t.Context())
		},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NoError(t, process.Run(ctx))
	assert.Equal(t, 1, calls)
}
