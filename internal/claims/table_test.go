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

// tableDriver applies commands to a table at a time that the test sets.
type tableDriver struct {
	t      require.TestingT
	table  *Table
	nowMS  int64
	source string
	index  uint64
}

func newDriver(t require.TestingT, limits Limits) *tableDriver {
	return &tableDriver{t: t, table: NewTable(limits), nowMS: testNowMS, source: "a"}
}

func (d *tableDriver) apply(c command) outcome {
	c.At = stamp{WallMS: d.nowMS, MonoMS: d.nowMS - testNowMS, Source: d.source}
	d.index++
	o, err := decodeOutcome(d.table.Apply(d.index, encode(c)))
	require.NoError(d.t, err)
	return o
}

func claimOf(n int, attempt string) command {
	key := NewKey(time.UnixMilli(testNowMS), [10]byte{9: byte(n)})
	return command{Plan: "p", Key: key.ID, Attempt: attempt, Holder: "holder of " + attempt}
}

func (c command) as(what op) command {
	c.Op = what
	if what == opComplete {
		c.Answer = &storedAnswer{Status: 200, Body: []byte("answer")}
	}
	return c
}

func TestTableTransitions(t *testing.T) {
	a, b := claimOf(1, "a"), claimOf(1, "b")
	dead := claimOf(1, "a")
	dead.Attempt = ""
	other := claimOf(1, "b")
	other.Digest[0] = 1
	cases := []struct {
		desc     string
		commands []command
		want     []State
	}{
		{"retried claim of the same attempt", []command{a.as(opClaim), a.as(opClaim)}, []State{Granted, Granted}},
		{"claim of another attempt", []command{a.as(opClaim), b.as(opClaim)}, []State{Granted, Running}},
		{"other content", []command{a.as(opClaim), other.as(opClaim)}, []State{Granted, Conflict}},
		{"completed", []command{a.as(opClaim), a.as(opComplete), b.as(opClaim)}, []State{Granted, Completed, Completed}},
		{"completed by another attempt", []command{a.as(opClaim), b.as(opComplete)}, []State{Granted, Running}},
		{"released", []command{a.as(opClaim), a.as(opRelease), b.as(opClaim)}, []State{Granted, Released, Granted}},
		{"released by another attempt", []command{a.as(opClaim), b.as(opRelease), b.as(opClaim)}, []State{Granted, Running, Released}},
		{"delayed claim of a released attempt", []command{a.as(opRelease), a.as(opClaim), b.as(opClaim)}, []State{Released, Released, Granted}},
		{"late answer of an unknown claim", []command{a.as(opClaim), a.as(opUnknown), b.as(opClaim), a.as(opComplete), b.as(opClaim)},
			[]State{Granted, Undecided, Undecided, Completed, Completed}},
		{"unknown claim is not released by its holder", []command{a.as(opClaim), a.as(opUnknown), a.as(opRelease), b.as(opClaim)},
			[]State{Granted, Undecided, Undecided, Undecided}},
		{"holder taken for dead had sent nothing", []command{a.as(opClaim), dead.as(opUnknown), b.as(opClaim), a.as(opRelease), b.as(opClaim)},
			[]State{Granted, Undecided, Undecided, Released, Granted}},
		{"completed is not released", []command{a.as(opClaim), a.as(opComplete), a.as(opRelease), b.as(opClaim)},
			[]State{Granted, Completed, Completed, Completed}},
		{"delayed unknown after completed", []command{a.as(opClaim), a.as(opComplete), a.as(opUnknown)}, []State{Granted, Completed, Completed}},
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

// Guards against a claim that is dropped while its key can still be claimed.
func TestExpiryDropsOnlyRefusedKeys(t *testing.T) {
	d := newDriver(t, DefaultLimits())
	d.apply(claimOf(1, "a").as(opClaim))
	d.apply(claimOf(1, "a").as(opComplete))
	last := int64(testNowMS) + (time.Hour + 30*time.Second).Milliseconds()
	for ; d.nowMS <= last+2*minuteMS; d.nowMS += 15_000 {
		want := Completed
		if d.nowMS > last {
			want = Expired
		}
		assert.Equal(t, want, d.apply(claimOf(1, "b").as(opClaim)).State)
	}
	d.apply(claimOf(1, "a").as(opRelease))
	records, bytes := d.table.Size()
	assert.Zero(t, records)
	assert.Zero(t, bytes)
	d.nowMS = testNowMS
	assert.Equal(t, Expired, d.apply(claimOf(1, "b").as(opClaim)).State, "group time must not go back")
}

// Guards against a key that a re-formed group grants although it may have run.
func TestFence(t *testing.T) {
	d := newDriver(t, DefaultLimits())
	require.NoError(t, d.table.Restore(nil))
	d.table.SetFence(time.UnixMilli(testNowMS))
	c := claimOf(1, "a")
	c.Key = NewKey(time.UnixMilli(testNowMS).Add(60*time.Second-time.Millisecond), [10]byte{}).ID
	d.nowMS += 30_000
	assert.Equal(t, Undecided, d.apply(c.as(opClaim)).State)
	assert.Equal(t, Undecided, d.apply(c.as(opRelease)).State)
	assert.Equal(t, Undecided, d.apply(c.as(opClaim)).State, "release must not lift the fence")
	assert.Equal(t, Completed, d.apply(c.as(opComplete)).State, "late answer of a claim before the fence")
	c.Key = NewKey(time.UnixMilli(testNowMS).Add(60*time.Second), [10]byte{}).ID
	assert.Equal(t, Granted, d.apply(c.as(opClaim)).State)
}

// Guards against stored answers that grow without limit.
func TestAnswersAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.AnswerBytes = 100
	d := newDriver(t, limits)
	for n := range 5 {
		c := claimOf(n, "a")
		d.apply(c.as(opClaim))
		c.Answer = &storedAnswer{Status: 200, Body: make([]byte, 40)}
		c.Op = opComplete
		d.apply(c)
	}
	_, bytes := d.table.Size()
	assert.EqualValues(t, 80, bytes)
	assert.True(t, d.apply(claimOf(0, "b").as(opClaim)).Answer.Omitted)
	assert.Len(t, d.apply(claimOf(4, "b").as(opClaim)).Answer.Body, 40)
}

// Guards against a lease that two holders have at once, also when the leader
// and with it the clock changes, or the group loses its state.
func TestLeases(t *testing.T) {
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
	d.source, d.nowMS = "b", d.nowMS+1_000_000
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

// Guards against two attempts that may both send, and against members whose
// tables differ after a snapshot.
func TestTableModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.AnswerBytes = 30
		d := newDriver(t, limits)
		mirror := newDriver(t, limits)
		sender := map[int]string{} // attempt that was granted and did not release
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "key")
			attempt := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "attempt"))
			what := op(rapid.IntRange(int(opClaim), int(opUnknown)).Draw(t, "op"))
			holds := sender[n] == attempt
			if what != opClaim && !holds && what != opRelease {
				continue // only the holder completes or marks
			}
			c := claimOf(n, attempt).as(what)
			d.nowMS += rapid.Int64Range(0, 60_000).Draw(t, "pause")
			mirror.nowMS = d.nowMS
			o := d.apply(c)
			assert.Equal(t, o, mirror.apply(c))
			switch {
			case o.State == Granted:
				if sender[n] != "" && !holds {
					t.Fatalf("key %d granted to %s while %s may send", n, attempt, sender[n])
				}
				sender[n] = attempt
			case what == opRelease && holds && o.State == Released:
				delete(sender, n)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				saved, err := d.table.Snapshot()
				require.NoError(t, err)
				other, err := mirror.table.Snapshot()
				require.NoError(t, err)
				assert.Equal(t, saved, other)
				mirror.table = NewTable(limits)
				require.NoError(t, mirror.table.Restore(saved))
			}
		}
	})
}
