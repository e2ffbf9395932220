package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/disk/fakedisk"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const testToken = "operator"

// newTestHandler returns the handler of one member of a group.
func newTestHandler(t *testing.T, group Group, stateMachine *plan.StateMachine) http.Handler {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	return NewHandler(Options{
		Group: group, Catalog: stateMachine, Submitter: NewSubmitter(group, stateMachine, sys.RealClock{}, zap.NewNop()),
		InContact:     func() bool { return true },
		OperatorToken: testToken, FleetToken: "fleet", Clock: sys.RealClock{}, Done: done,
	})
}

func newSingleMemberHandler(t *testing.T) http.Handler {
	t.Helper()
	stateMachine := plan.NewStateMachine()
	return newTestHandler(t, startGroup(t, stateMachine), stateMachine)
}

func call(t *testing.T, handler http.Handler, method, target, body string, out any) int {
	t.Helper()
	request := httptest.NewRequest(method, target, bytes.NewReader([]byte(body)))
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	raw, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	if out != nil {
		require.NoError(t, json.Unmarshal(raw, out), string(raw))
	}
	return recorder.Code
}

func testPlan(n int) plan.Plan {
	return plan.Plan{ID: fmt.Sprintf("plan-%03d", n), Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", n)}}
}

func changeBody(id string, base uint64, plans ...plan.Plan) string {
	return string(plan.Change{ID: id, BaseVersion: base, SetPlans: plans}.Encode())
}

// Guards against a page limit that is ignored.
func TestListPages(t *testing.T) {
	handler := newSingleMemberHandler(t)
	require.Equal(t, http.StatusOK, call(t, handler, "POST", "/v1/changes", changeBody("c", 0, testPlan(1), testPlan(2), testPlan(3)), nil))
	var page controlapi.PlanList
	require.Equal(t, http.StatusOK, call(t, handler, "GET", "/v1/plans?limit=2", "", &page))
	assert.Len(t, page.Plans, 2)
	assert.Equal(t, "plan-002", page.Next)
	page = controlapi.PlanList{}
	require.Equal(t, http.StatusOK, call(t, handler, "GET", "/v1/plans?limit=2&after=plan-002", "", &page))
	assert.Len(t, page.Plans, 1)
	assert.Empty(t, page.Next)
	require.Equal(t, http.StatusOK, call(t, handler, "GET", "/v1/plans", "", &page))
	assert.Len(t, page.Plans, 3)
}

// Guards against API errors without a kind of package fault, and against a
// conflict response without the current version.
func TestErrorsCarryKindAndVersion(t *testing.T) {
	handler := newSingleMemberHandler(t)
	require.Equal(t, http.StatusOK, call(t, handler, "POST", "/v1/changes", changeBody("first", 0, testPlan(1)), nil))
	cases := []struct {
		desc, method, target, body string
		status                     int
		kind                       fault.Kind
		version                    *uint64
	}{
		{"equal base version", "POST", "/v1/changes", changeBody("second", 0, testPlan(2)), 409, fault.VersionConflict, new(uint64(1))},
		{"weight out of range", "POST", "/v1/changes", changeBody("third", 1, plan.Plan{ID: "x", TokenSHA256: []string{fmt.Sprintf("%064x", 9)}}), 422, fault.InvalidChange, new(uint64(1))},
		{"unknown field", "POST", "/v1/changes", `{"id":"a","base_version":0,"plans":[]}`, 400, fault.BadRequest, nil},
		{"not JSON", "POST", "/v1/changes", `{`, 400, fault.BadRequest, nil},
		{"absent plan", "GET", "/v1/plans/absent", "", 404, fault.NotFound, new(uint64(1))},
		{"absent change", "GET", "/v1/changes/absent", "", 404, fault.NotFound, new(uint64(1))},
		{"limit out of range", "GET", "/v1/plans?limit=0", "", 400, fault.BadRequest, nil},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			var body controlapi.Error
			assert.Equal(t, tc.status, call(t, handler, tc.method, tc.target, tc.body, &body))
			assert.Equal(t, tc.kind, body.Kind)
			assert.Equal(t, tc.version, body.CurrentVersion)
		})
	}
}

func TestOperatorTokenIsRequired(t *testing.T) {
	handler := newSingleMemberHandler(t)
	for _, authorization := range []string{"", "Bearer ", "Bearer fleet", "operator", "Bearer operator2"} {
		request := httptest.NewRequest("GET", "/v1/plans", nil)
		request.Header.Set("Authorization", authorization)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, http.StatusUnauthorized, recorder.Code, authorization)
	}
}

// startGroup starts a group of one member.
func startGroup(t *testing.T, stateMachine *plan.StateMachine) Group {
	t.Helper()
	settings := DefaultSettings()
	settings.Name = "c1"
	settings.Members = []MemberSettings{{Name: "c1"}}
	group, err := StartGroup(GroupOptions{
		Settings: settings, Storage: consensus.DiskStorage(fakedisk.New()), StateMachine: stateMachine, Clock: sys.RealClock{}, Log: zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(group.Stop)
	return NewGroup(group)
}
