package control

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/sequoialane/sequoialane/internal/controlapi"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/jsonshape"
)

// Guards against responses that repeat the request for each of its errors.
func TestErrorsOfAChangeAreTruncated(t *testing.T) {
	handler := newSingleMemberHandler(t)
	var unknown strings.Builder
	for n := range 1000 {
		fmt.Fprintf(&unknown, `"unknown-%d":"%s",`, n, strings.Repeat("x", 100))
	}
	for _, body := range []string{
		`{` + unknown.String() + `"id":"a","base_version":0}`,
		`{"id":"a","base_version":0,"set_plans":[` + strings.Repeat(`{},`, 1000) + `{}]}`,
		`{"id":"a","base_version":"` + strings.Repeat("x", 100_000) + `"}`,
	} {
		var response controlapi.Error
		assert.Equal(t, http.StatusBadRequest, call(t, handler, "POST", "/v1/changes", body, &response))
		assert.Equal(t, fault.BadRequest, response.Kind)
		assert.Less(t, len(response.Message), (maxReportedErrors+1)*(2*maxErrorBytes))
	}
}

// Guards against changes that are decoded although they are too large or nested too
// deep, and against a rejection that does not say so.
func TestChangesOverALimit(t *testing.T) {
	handler := newSingleMemberHandler(t)
	var response controlapi.Error
	assert.Equal(t, http.StatusRequestEntityTooLarge, call(t, handler, "POST", "/v1/changes", `{"id":"`+strings.Repeat("x", maxChangeBytes)+`"}`, &response))
	assert.Equal(t, fault.BodyTooLarge, response.Kind)
	assert.Equal(t, http.StatusBadRequest, call(t, handler, "POST", "/v1/changes", strings.Repeat("[", jsonshape.MaxDepth+1), &response))
	assert.Equal(t, fault.BadRequest, response.Kind)
}
