package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/routing"
)

func announced(id, address string, state TargetState, startedAtMS int64, sequence uint64) Target {
	return Target{ID: id, Service: "s", Address: address, DataCentre: "d", Slots: 2, State: state, StartedAtMS: startedAtMS, Sequence: sequence}
}

type recorder struct {
	stateMachine *StateMachine
	index        uint64
}

func (r *recorder) apply(c Command) Result {
	r.index++
	result, err := DecodeResult(r.stateMachine.Apply(r.index, c.Encode()))
	if err != nil {
		panic(err)
	}
	return result
}

func newRecorder() *recorder { return &recorder{stateMachine: NewStateMachine()} }

// Guards against late, reordered and repeated announcements that revive a
// draining or gone target, or that take an address from a target that started
// later.
func TestAnnouncements(t *testing.T) {
	cases := []struct {
		desc string
		sent []Target
		want map[string]TargetState
	}{
		{"draining target stays draining", []Target{announced("i", "a:1", Ready, 5, 1), announced("i", "a:1", Draining, 5, 2), announced("i", "a:1", Ready, 5, 3)}, map[string]TargetState{"i": Draining}},
		{"gone target stays gone", []Target{announced("i", "a:1", Ready, 5, 1), {ID: "i", State: Gone}, announced("i", "a:1", Ready, 5, 9)}, map[string]TargetState{"i": Gone}},
		{"new incarnation with the same id", []Target{announced("i", "a:1", Ready, 5, 8), {ID: "i", State: Gone}, announced("i", "a:1", Ready, 6, 1)}, map[string]TargetState{"i": Ready}},
		{"departure of an older incarnation", []Target{announced("i", "a:1", Ready, 6, 1), {ID: "i", State: Gone, StartedAtMS: 5}}, map[string]TargetState{"i": Ready}},
		{"departure before the announcement", []Target{{ID: "i", State: Gone, StartedAtMS: 5}, announced("i", "a:1", Ready, 5, 1)}, map[string]TargetState{"i": Gone}},
		{"address reused by a new target", []Target{announced("i", "a:1", Ready, 5, 1), announced("j", "a:1", Ready, 7, 1)}, map[string]TargetState{"i": Gone, "j": Ready}},
		{"late announcement of the former target at the address", []Target{announced("j", "a:1", Ready, 7, 1), announced("i", "a:1", Ready, 5, 9)}, map[string]TargetState{"j": Ready}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			r := newRecorder()
			for _, target := range tc.sent {
				r.apply(Command{Targets: []Target{target}})
			}
			got := map[string]TargetState{}
			for id, target := range r.stateMachine.state.Targets {
				got[id] = target.State
			}
			assert.Equal(t, tc.want, got)
		})
	}
}

// Guards against replacing a document by one with the same or a lower version.
func TestHighestVersionWins(t *testing.T) {
	r := newRecorder()
	for _, c := range []struct {
		version, held uint64
		text          string
	}{{3, 3, "first"}, {3, 3, "other content"}, {2, 3, "older"}, {9, 9, "newer"}, {8, 9, "late"}} {
		result := r.apply(Command{Document: &routing.Document{Version: c.version}, Text: []byte(c.text)})
		assert.Equal(t, c.held, result.Version)
	}
	assert.Equal(t, "newer", string(r.stateMachine.Routing().Text))
}

// Guards against updates that miss a change or reset a copy without need, also
// after a snapshot is restored.
func TestUpdatesContainAllChanges(t *testing.T) {
	r := newRecorder()
	r.apply(Command{Targets: []Target{announced("i", "a:1", Ready, 5, 1)}})
	first := r.stateMachine.Since(0)
	require.True(t, first.Reset)
	r.apply(Command{Targets: []Target{{ID: "i", State: Gone}}, Entries: []Entry{{Name: "e", Incarnation: 1, State: Serving}}})

	snapshot, err := r.stateMachine.Snapshot()
	require.NoError(t, err)
	restored := NewStateMachine()
	require.NoError(t, restored.Restore(snapshot))
	for _, m := range []*StateMachine{r.stateMachine, restored} {
		update := m.Since(first.Index)
		assert.False(t, update.Reset)
		require.Len(t, update.Targets, 1)
		assert.Equal(t, Gone, update.Targets[0].State)
		assert.Len(t, update.Entries, 1)
	}
	assert.Empty(t, r.stateMachine.Since(r.index).Targets)
	ahead := r.stateMachine.Since(r.index + 5)
	assert.False(t, ahead.Reset, "a copy ahead of the member must not be reset")
}

// Guards against marking an entry as lost that polls another member by now, or
// that has a later incarnation.
func TestLostEntry(t *testing.T) {
	serving := Entry{Name: "e", Incarnation: 5, State: Serving, ControlMember: "m1"}
	cases := []struct {
		desc string
		loss Entry
		want EntryState
	}{
		{"same member", Entry{Name: "e", Incarnation: 5, State: Lost, ControlMember: "m1"}, Lost},
		{"former member", Entry{Name: "e", Incarnation: 5, State: Lost, ControlMember: "m2"}, Serving},
		{"former incarnation", Entry{Name: "e", Incarnation: 4, State: Lost, ControlMember: "m1"}, Serving},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			r := newRecorder()
			r.apply(Command{Entries: []Entry{serving}})
			r.apply(Command{Entries: []Entry{tc.loss}})
			e, _ := r.stateMachine.Entry("e")
			assert.Equal(t, tc.want, e.State)
		})
	}
}

// Guards against unbounded growth of tombstones, and against updates that omit
// removed tombstones instead of sending the whole state.
func TestTombstonesAreCompacted(t *testing.T) {
	r := newRecorder()
	r.apply(Command{Targets: []Target{announced("stays", "a:1", Ready, 1, 1)}})
	old := r.index
	for n := range maxTombstones + 1 {
		r.apply(Command{Targets: []Target{{ID: string(rune('a'+n%26)) + string(rune(0x4e00+n)), State: Gone, StartedAtMS: 1}}})
	}
	assert.LessOrEqual(t, len(r.stateMachine.state.Targets), maxTombstones+1)
	assert.True(t, r.stateMachine.Since(old).Reset)
	assert.False(t, r.stateMachine.Since(r.index-1).Reset)
}
