package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/sequoialane/sequoialane/internal/fixedseed"
)

const testNowMS = 1_800_000_000_000

// tableDriver applies commands to a table at the time set by the test.
type tableDriver struct {
	t           require.TestingT
	table       *Table
	nowMS       int64
	clockSource string
	index       uint64
}

func newDriver(t require.TestingT, limits Limits) *tableDriver {
	return &tableDriver{t: t, table: NewTable(limits), nowMS: testNowMS, clockSource: "a"}
}

func (d *tableDriver) apply(c command) outcome {
	c.At = timestamp{WallMS: d.nowMS, MonoMS: d.nowMS - testNowMS, ClockSource: d.clockSource}
	d.index++
	o, err := decodeOutcome(d.table.Apply(d.index, encode(c)))
	require.NoError(d.t, err)
	return o
}

func newClaimCommand(n int, attempt string) command {
	key := NewKey(time.UnixMilli(testNowMS), [10]byte{9: byte(n)})
	return command{Plan: "p", Key: key.ID, Attempt: attempt, Holder: "holder of " + attempt}
}

func (c command) withOp(kind op) command {
	c.Op = kind
	if kind == opComplete {
		c.Answer = &storedAnswer{Status: 200, Body: []byte("answer")}
	}
	return c
}

// Guards against calls that move a claim to a wrong state, also when they are
// retried, delayed or made by another attempt.
func TestTableTransitions(t *testing.T) {
	a, b := newClaimCommand(1, "a"), newClaimCommand(1, "b")
	deadHolder := newClaimCommand(1, "a")
	deadHolder.Attempt = ""
	other := newClaimCommand(1, "b")
	other.Digest[0] = 1
	cases := []struct {
		desc     string
		commands []command
		want     []State
	}{
		{"retried claim of the same attempt", []command{a.withOp(opClaim), a.withOp(opClaim)}, []State{Granted, Granted}},
		{"claim of another attempt", []command{a.withOp(opClaim), b.withOp(opClaim)}, []State{Granted, Running}},
		{"other content", []command{a.withOp(opClaim), other.withOp(opClaim)}, []State{Granted, Conflict}},
		{"completed", []command{a.withOp(opClaim), a.withOp(opComplete), b.withOp(opClaim)}, []State{Granted, Completed, Completed}},
		{"completed by another attempt", []command{a.withOp(opClaim), b.withOp(opComplete)}, []State{Granted, Running}},
		{"released", []command{a.withOp(opClaim), a.withOp(opRelease), b.withOp(opClaim)}, []State{Granted, Released, Granted}},
		{"released by another attempt", []command{a.withOp(opClaim), b.withOp(opRelease), b.withOp(opClaim)}, []State{Granted, Running, Released}},
		{"delayed claim of a released attempt", []command{a.withOp(opRelease), a.withOp(opClaim), b.withOp(opClaim)}, []State{Released, Released, Granted}},
		{"late answer of an unknown claim", []command{a.withOp(opClaim), a.withOp(opMarkUnknown), b.withOp(opClaim), a.withOp(opComplete), b.withOp(opClaim)},
			[]State{Granted, Unknown, Unknown, Completed, Completed}},
		{"unknown claim is not released by its holder", []command{a.withOp(opClaim), a.withOp(opMarkUnknown), a.withOp(opRelease), b.withOp(opClaim)},
			[]State{Granted, Unknown, Unknown, Unknown}},
		{"holder taken for dead had sent nothing", []command{a.withOp(opClaim), deadHolder.withOp(opMarkUnknown), b.withOp(opClaim), a.withOp(opRelease), b.withOp(opClaim)},
			[]State{Granted, Unknown, Unknown, Released, Granted}},
		{"completed is not released", []command{a.withOp(opClaim), a.withOp(opComplete), a.withOp(opRelease), b.withOp(opClaim)},
			[]State{Granted, Completed, Completed, Completed}},
		{"delayed unknown after completed", []command{a.withOp(opClaim), a.withOp(opComplete), a.withOp(opMarkUnknown)}, []State{Granted, Completed, Completed}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			d := newDriver(t, DefaultLimits())
			for i, c := range tc.commands {
				assert.Equal(t, tc.want[i], d.apply(c).State, "step %d", i)
			}
		})
	}
}

// Guards against a record that is dropped while its key can still be claimed.
func TestExpiryDropsOnlyRefusedKeys(t *testing.T) {
	d := newDriver(t, DefaultLimits())
	d.apply(newClaimCommand(1, "a").withOp(opClaim))
	d.apply(newClaimCommand(1, "a").withOp(opComplete))
	last := int64(testNowMS) + (time.Hour + 30*time.Second).Milliseconds()
	for ; d.nowMS <= last+2*minuteMS; d.nowMS += 15_000 {
		want := Completed
		if d.nowMS > last {
			want = Expired
		}
		assert.Equal(t, want, d.apply(newClaimCommand(1, "b").withOp(opClaim)).State)
	}
	d.apply(newClaimCommand(1, "a").withOp(opRelease))
	records, bytes := d.table.Size()
	assert.Zero(t, records)
	assert.Zero(t, bytes)
	d.nowMS = testNowMS
	assert.Equal(t, Expired, d.apply(newClaimCommand(1, "b").withOp(opClaim)).State, "group time must not decrease")
}

// Guards against a re-formed group that grants a key whose request may have run
// before the group lost its state.
func TestFenceCoversEarlierKeys(t *testing.T) {
	d := newDriver(t, DefaultLimits())
	require.NoError(t, d.table.Restore(nil))
	d.table.SetFence(time.UnixMilli(testNowMS))
	c := newClaimCommand(1, "a")
	c.Key = NewKey(time.UnixMilli(testNowMS).Add(60*time.Second-time.Millisecond), [10]byte{}).ID
	d.nowMS += 30_000
	assert.Equal(t, Unknown, d.apply(c.withOp(opClaim)).State)
	assert.Equal(t, Unknown, d.apply(c.withOp(opRelease)).State)
	assert.Equal(t, Unknown, d.apply(c.withOp(opClaim)).State, "release must not lift the fence")
	assert.Equal(t, Completed, d.apply(c.withOp(opComplete)).State, "late answer of a claim before the fence")
	c.Key = NewKey(time.UnixMilli(testNowMS).Add(60*time.Second), [10]byte{}).ID
	assert.Equal(t, Granted, d.apply(c.withOp(opClaim)).State)
}

// Guards against stored answers that take unbounded memory.
func TestAnswersAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxTotalAnswerBytes = 100
	d := newDriver(t, limits)
	for n := range 5 {
		c := newClaimCommand(n, "a")
		d.apply(c.withOp(opClaim))
		c.Answer = &storedAnswer{Status: 200, Body: make([]byte, 40)}
		c.Op = opComplete
		d.apply(c)
	}
	_, bytes := d.table.Size()
	assert.EqualValues(t, 80, bytes)
	assert.True(t, d.apply(newClaimCommand(0, "b").withOp(opClaim)).Answer.Omitted)
	assert.Len(t, d.apply(newClaimCommand(4, "b").withOp(opClaim)).Answer.Body, 40)
}

// Guards against a lease that two holders have at once, also after a change of the
// leader, and so of the clock, and after the group lost its state.
func TestLeaseHasOneHolder(t *testing.T) {
	d := newDriver(t, DefaultLimits())
	acquire := func(holder string) bool {
		return d.apply(command{Op: opLease, Lease: "l", Holder: holder, TTLMS: 3000}).OK
	}
	assert.True(t, acquire("x"))
	assert.False(t, acquire("y"))
	d.nowMS += 2999
	assert.False(t, acquire("y"))
	assert.True(t, acquire("x"), "renewal")
	d.nowMS += 3000
	assert.True(t, acquire("y"))
	d.clockSource, d.nowMS = "b", d.nowMS+1_000_000
	assert.False(t, acquire("x"), "a clock that is ahead must not end the lease")
	d.nowMS += 4000
	assert.True(t, acquire("x"))
	require.NoError(t, d.table.Restore(nil))
	d.table.SetFence(time.UnixMilli(testNowMS))
	assert.False(t, acquire("y"))
	d.nowMS += 5_999
	assert.False(t, acquire("y"))
	d.nowMS++
	assert.True(t, acquire("y"))
}

// Guards against two attempts that may both send the request, and against members
// whose tables differ after a snapshot is restored.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.MaxTotalAnswerBytes = 30
		d := newDriver(t, limits)
		replica := newDriver(t, limits)
		sender := map[int]string{} // attempt that was granted the claim and has not released it
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "key")
			attempt := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "attempt"))
			kind := op(rapid.IntRange(int(opClaim), int(opMarkUnknown)).Draw(t, "op"))
			holds := sender[n] == attempt
			if kind != opClaim && !holds && kind != opRelease {
				continue // only the holder completes the claim or marks it unknown
			}
			c := newClaimCommand(n, attempt).withOp(kind)
			d.nowMS += rapid.Int64Range(0, 60_000).Draw(t, "pause")
			replica.nowMS = d.nowMS
			o := d.apply(c)
			assert.Equal(t, o, replica.apply(c))
			switch {
			case o.State == Granted:
				if sender[n] != "" && !holds {
					t.Fatalf("key %d granted to %s while %s may send", n, attempt, sender[n])
				}
				sender[n] = attempt
			case kind == opRelease && holds && o.State == Released:
				delete(sender, n)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				snapshot, err := d.table.Snapshot()
				require.NoError(t, err)
				replicated, err := replica.table.Snapshot()
				require.NoError(t, err)
				assert.Equal(t, snapshot, replicated)
				replica.table = NewTable(limits)
				require.NoError(t, replica.table.Restore(snapshot))
			}
		}
	})
}
