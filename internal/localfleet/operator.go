package localfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/gravitational/trace"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Version returns the current catalog version, by a linearizable read at the
// given control member.
func (f *Fleet) Version(c *Control) (uint64, error) {
	var list controlapi.PlanList
	err := f.Get(c.APIAddress, "/v1/plans", &list)
	return list.Version, trace.Wrap(err)
}

// Submit sends a change to one control member and leaves its base version and id
// as they are. An error means that the result is unknown; the same change may be
// sent again.
func (f *Fleet) Submit(c *Control, ch plan.Change) (plan.Result, error) {
	var result plan.Result
	encoded, err := json.Marshal(ch)
	if err != nil {
		return result, trace.Wrap(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.APIAddress+"/v1/changes", bytes.NewReader(encoded))
	if err != nil {
		return result, trace.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	r.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(r)
	if err != nil {
		return result, trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return result, trace.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return result, trace.Wrap(json.Unmarshal(raw, &result))
	}
	return parseErrorResponse(raw)
}

// parseErrorResponse converts an error response to the result of the change. It
// returns an error if the change may still be accepted.
func parseErrorResponse(raw []byte) (plan.Result, error) {
	var errResp controlapi.Error
	if err := json.Unmarshal(raw, &errResp); err != nil {
		return plan.Result{}, trace.Wrap(err)
	}
	result := plan.Result{Detail: errResp.Message}
	if errResp.CurrentVersion != nil {
		result.Version = *errResp.CurrentVersion
	}
	switch errResp.Kind {
	case fault.VersionConflict:
		result.Outcome = plan.Stale
	case fault.InvalidChange:
		result.Outcome = plan.Invalid
	default:
		return plan.Result{}, trace.Wrap(&errResp)
	}
	return result, nil
}

// ControlStatus returns the status of the control members as seen by one of them.
func (f *Fleet) ControlStatus(c *Control) (controlapi.Status, error) {
	var s controlapi.Status
	err := f.Get(c.APIAddress, "/v1/status", &s)
	return s, trace.Wrap(err)
}

// KillAndEraseData kills a control member and empties its data folder.
func (c *Control) KillAndEraseData() error {
	c.Kill()
	if err := os.RemoveAll(c.Settings.DataFolder); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.MkdirAll(c.Settings.DataFolder, 0o755))
}
