package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Guards against a fleet of one entry, which keeps claims in memory, granting the
// claim of a key again after a restart.
func TestSingleEntryReportsEarlierKeysAsUnknown(t *testing.T) {
	key := newKey()
	c, err := StartClaims(ClaimOptions{Limits: claims.DefaultLimits(), Clock: sys.RealClock{}})
	require.NoError(t, err)
	result, err := c.Client.Claim(context.Background(), claims.Request{
		Plan: "council", Service: testService, Key: key, Attempt: "a", Holder: "entry", Deadline: time.Now().Add(time.Second),
	})
	require.NoError(t, err)
	assert.Equal(t, claims.Unknown, result.State)
}
