package targetadvice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/targetconn"
)

func target(startedAtMS int64) fleetstate.Target {
	return fleetstate.Target{ID: "t", Address: "10.0.0.1:1", StartedAtMS: startedAtMS, State: fleetstate.Ready}
}

func newTable() (*Table, *sys.ManualClock) {
	clock := sys.NewManualClock(time.Unix(1_700_000_000, 0))
	return New(clock, zap.NewNop()), clock
}

// Guards against an advice that ends too early or binds another incarnation.
func TestAdviceBindsOneIncarnation(t *testing.T) {
	table, clock := newTable()
	from := targetconn.Target{ID: "t", Address: "10.0.0.1:1", StartedAtMS: 1}
	table.Record(from, targetconn.Advice{Leaving: true})
	clock.Advance(time.Hour)
	assert.False(t, table.Allows(target(1)))
	assert.True(t, table.Allows(target(2)), "a restart under the same id")
	table.Retain([]fleetstate.Target{target(1)})
	assert.False(t, table.Allows(target(1)), "its announcement may still say that it is ready")
	table.Retain([]fleetstate.Target{target(2)})
	table.Retain([]fleetstate.Target{target(1)})
	assert.False(t, table.Allows(target(1)), "a late announcement lists it again")
	clock.Advance(leavingMemory + 1)
	table.Retain([]fleetstate.Target{target(2)})
	assert.Empty(t, table.leaving)
}

// Guards against a shorter Retry-After that cuts off a longer one.
func TestPostponedUntilTheLatestTime(t *testing.T) {
	table, clock := newTable()
	from := targetconn.Target{ID: "t", StartedAtMS: 1}
	table.Record(from, targetconn.Advice{RetryAfter: 3 * time.Second})
	clock.Advance(time.Second)
	table.Record(from, targetconn.Advice{RetryAfter: time.Second})
	assert.Equal(t, 2*time.Second, table.PostponedFor(target(1)))
	clock.Advance(2*time.Second - 1)
	assert.False(t, table.Allows(target(1)))
	clock.Advance(1)
	assert.True(t, table.Allows(target(1)))
	table.Retain([]fleetstate.Target{target(1)})
	assert.True(t, table.IsEmpty())
	assert.True(t, (*Table)(nil).Allows(target(1)), "without a table there is no advice")
}
