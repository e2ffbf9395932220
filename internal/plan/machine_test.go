package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/sequoialane/sequoialane/internal/fixedseed"
)

func sha256Of(text string) [32]byte { return sha256.Sum256([]byte(text)) }

// drawChange generates a change that may be accepted, stale or invalid.
func drawChange(t *rapid.T, base uint64) Change {
	ids := rapid.IntRange(0, 12)
	plans := rapid.Custom(func(t *rapid.T) Plan {
		p := numberedPlan(ids.Draw(t, "plan"))
		p.Weight = rapid.IntRange(1, 3).Draw(t, "weight")
		p.HomeRegion = rapid.SampledFrom([]string{"norte", "norte", "norte", "sul"}).Draw(t, "home")
		return p
	})
	entitlements := rapid.Custom(func(t *rapid.T) Entitlement {
		return Entitlement{Plan: numberedPlan(ids.Draw(t, "plan")).ID, Service: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"), Concurrency: ids.Draw(t, "concurrency")}
	})
	return Change{
		ID:              fmt.Sprintf("c-%d", rapid.IntRange(0, 1000).Draw(t, "id")),
		BaseVersion:     base - min(base, uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind"))),
		SetPlans:        rapid.SliceOfN(plans, 0, 2).Draw(t, "set"),
		RemovePlans:     rapid.SliceOfN(rapid.Map(ids, func(n int) string { return numberedPlan(n).ID }), 0, 1).Draw(t, "remove"),
		SetEntitlements: rapid.SliceOfN(entitlements, 0, 2).Draw(t, "entitlements"),
	}
}

// Guards against members whose state differs after the same commands, against
// snapshots that lose state, and against deltas that lead to another catalog.
func TestStateMachinesAndReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := NewStateMachine(), NewStateMachine()
		follower, newReplica := NewReplica(), NewReplica()
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			command := drawChange(t, one.Current().Version()).Encode()
			want := one.Apply(uint64(step), command)
			require.Equal(t, want, other.Apply(uint64(step), command))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				encoded, err := other.Snapshot()
				require.NoError(t, err)
				other = NewStateMachine()
				require.NoError(t, other.Restore(encoded))
			}
			if rapid.Bool().Draw(t, "follow") {
				require.NoError(t, follower.Apply(roundTrip(t, other.DeltaSince(follower.Current().Version()))))
				require.Equal(t, one.Current().Records(), follower.Current().Records())
			}
		}
		require.NoError(t, newReplica.Apply(follower.DeltaSince(newReplica.Current().Version())))
		require.Equal(t, follower.Current().Digest(), newReplica.Current().Digest())
		first, err := one.Snapshot()
		require.NoError(t, err)
		second, err := other.Snapshot()
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}

func roundTrip(t require.TestingT, d Delta) Delta {
	var buffer bytes.Buffer
	require.NoError(t, d.Write(&buffer))
	read, err := ReadDelta(json.NewDecoder(&buffer))
	require.NoError(t, err)
	return read
}

// Guards against a resent change that a member applies again after it was
// restored from a snapshot.
func TestResendAfterRestore(t *testing.T) {
	m := NewStateMachine()
	command := Change{ID: "once", SetPlans: []Plan{numberedPlan(1)}}.Encode()
	first := m.Apply(1, command)
	encoded, err := m.Snapshot()
	require.NoError(t, err)
	restored := NewStateMachine()
	require.NoError(t, restored.Restore(encoded))
	assert.Equal(t, first, restored.Apply(2, command))
	assert.Equal(t, uint64(1), restored.Current().Version())
}

// Guards against a damaged or truncated snapshot that replaces the catalog.
func TestRestoreRejectsDamagedSnapshot(t *testing.T) {
	m := NewStateMachine()
	for n := range 5 {
		m.Apply(uint64(n), Change{ID: fmt.Sprintf("c%d", n), BaseVersion: uint64(n), SetPlans: []Plan{numberedPlan(n)}}.Encode())
	}
	encoded, err := m.Snapshot()
	require.NoError(t, err)
	damaged := [][]byte{
		encoded[:1],
		encoded[:len(encoded)/2],
		encoded[:len(encoded)-2],
		bytes.Replace(encoded, []byte(`"format":1`), []byte(`"format":2`), 1),
		bytes.Replace(encoded, []byte(`"weight":2`), []byte(`"weight":3`), 1),
		append(bytes.Clone(encoded), '{'),
	}
	for i, raw := range damaged {
		kept := m.Current()
		assert.Error(t, m.Restore(raw), "case %d", i)
		assert.True(t, kept == m.Current(), "a damaged snapshot must leave the catalog unchanged")
	}
	require.NoError(t, m.Restore(nil), "an empty snapshot stands for the initial state")
	assert.Zero(t, m.Current().Version())
}

// Guards against a command that cannot be decoded and stops the state machine.
func TestUnreadableCommandIsInvalid(t *testing.T) {
	m := NewStateMachine()
	var result Result
	require.NoError(t, json.Unmarshal(m.Apply(1, []byte("{")), &result))
	assert.Equal(t, Invalid, result.Outcome)
}

// Guards against a replica that goes to a lower version, or that applies a
// delta with a gap, a wrong digest or an invalid record.
func TestReplicaRejectsInvalidDeltas(t *testing.T) {
	c := NewCatalog()
	for n := range 4 {
		mustAccept(t, c, Change{SetPlans: []Plan{numberedPlan(n)}})
	}
	r := NewReplica()
	require.NoError(t, r.Apply(c.Snapshot().FullDelta()))
	held := r.Current()
	wrongDigest := c.DeltaSince(3)
	wrongDigest.Digest++
	repeated := Delta{From: 4, To: 5, Records: []*Record{{Plan: numberedPlan(9)}, {Plan: numberedPlan(9)}}}
	cases := []struct {
		desc  string
		delta Delta
		want  error
	}{
		{"lower version", Delta{Full: true, To: 3}, ErrLowerVersion},
		{"gap", Delta{From: 6, To: 7}, ErrDeltaBase},
		{"digest", wrongDigest, ErrDeltaDigest},
		{"record breaks a rule", Delta{From: 4, To: 5, Records: []*Record{{}}}, ErrDeltaInvalid},
		{"record twice", repeated, ErrDeltaInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			assert.ErrorIs(t, r.Apply(tc.delta), tc.want)
			assert.True(t, held == r.Current(), "a rejected delta must leave the replica unchanged")
		})
	}
	assert.NoError(t, r.Apply(Delta{Full: true, To: 4, Digest: 0}), "a full delta to the same version replaces wrong contents")
}

// Guards against a history that grows without bound, and against one that
// reports itself complete for versions that it no longer covers.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	ids := make([]string, 1000)
	for n := range ids {
		ids[n] = fmt.Sprint(n)
	}
	for v := range uint64(150) {
		h.add(step{From: v, To: v + 1, IDs: ids})
	}
	assert.LessOrEqual(t, h.ids, maxHistoryIDs)
	_, complete := h.since(0)
	assert.False(t, complete)
	changed, complete := h.since(149)
	assert.True(t, complete)
	assert.Len(t, changed, 1000)
}

func FuzzReadDelta(f *testing.F) {
	c := NewCatalog()
	mustAccept(f, c, Change{SetPlans: []Plan{numberedPlan(1), numberedPlan(2)}, SetEntitlements: []Entitlement{{Plan: "plan-1", Service: "s"}}})
	mustAccept(f, c, Change{RemovePlans: []string{"plan-2"}})
	for _, d := range []Delta{c.Snapshot().FullDelta(), c.DeltaSince(1)} {
		var buffer bytes.Buffer
		require.NoError(f, d.Write(&buffer))
		f.Add(buffer.Bytes())
	}
	f.Add([]byte(`{"records":1}null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := ReadDelta(json.NewDecoder(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		_, _ = NewCatalog().Snapshot().Apply(d)
	})
}

func FuzzApplyCommand(f *testing.F) {
	f.Add(Change{ID: "a", SetPlans: []Plan{numberedPlan(1)}}.Encode())
	f.Add([]byte(`{"id":"a","remove_plans":["x"]}`))
	f.Fuzz(func(t *testing.T, command []byte) {
		one, other := NewStateMachine(), NewStateMachine()
		require.Equal(t, one.Apply(1, command), other.Apply(1, command))
		encoded, err := one.Snapshot()
		require.NoError(t, err)
		require.NoError(t, other.Restore(encoded))
	})
}

func FuzzRestore(f *testing.F) {
	m := NewStateMachine()
	m.Apply(1, Change{ID: "a", SetPlans: []Plan{numberedPlan(1), numberedPlan(2)}}.Encode())
	m.Apply(2, Change{ID: "b", BaseVersion: 1, RemovePlans: []string{"plan-2"}}.Encode())
	encoded, err := m.Snapshot()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, raw []byte) {
		restored := NewStateMachine()
		if restored.Restore(raw) != nil {
			return
		}
		again, err := restored.Snapshot()
		require.NoError(t, err)
		require.NoError(t, NewStateMachine().Restore(again))
	})
}
