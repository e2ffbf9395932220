package claims

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fill claims and completes keys spread over the retention time, with answers
// of the given size.
func fill(table *Table, records, answer int) {
	body := make([]byte, answer)
	for n := range records {
		var random [10]byte
		binary.BigEndian.PutUint64(random[2:], uint64(n))
		created := time.UnixMilli(testNowMS + int64(n)*3_600_000/int64(records))
		c := command{
			Op: opClaim, Plan: fmt.Sprintf("plan-%d", n%1000), Key: NewKey(created, random).ID,
			Attempt: fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", n), Holder: fmt.Sprintf("entry-%d/1800000000000", n%44),
			At: stamp{WallMS: created.UnixMilli(), Source: "a"},
		}
		table.Apply(0, encode(c))
		c.Op = opComplete
		c.Answer = &storedAnswer{Status: 200, Header: map[string][]cbor.ByteString{"Content-Type": {"application/json"}}, Body: body}
		table.Apply(0, encode(c))
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkTable measures the memory of a completed claim with an answer of
// 128 bytes, and a snapshot of the whole table.
func BenchmarkTable(b *testing.B) {
	limits := DefaultLimits()
	limits.AnswerBytes = 1 << 40
	for _, records := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := heap()
			table := NewTable(limits)
			fill(table, records, 128)
			used := heap() - before
			var size int
			for b.Loop() {
				saved, err := table.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(saved)
			}
			b.ReportMetric(float64(used)/float64(records), "B/claim")
			b.ReportMetric(float64(size)/float64(records), "snapshot-B/claim")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkApply measures the state machine alone: one claim and its end.
func BenchmarkApply(b *testing.B) {
	table := NewTable(DefaultLimits())
	var random [10]byte
	var n uint64
	for b.Loop() {
		n++
		binary.BigEndian.PutUint64(random[2:], n)
		c := command{Op: opClaim, Plan: "plan", Key: NewKey(time.UnixMilli(testNowMS), random).ID, Attempt: "a", Holder: "h", At: stamp{WallMS: testNowMS}}
		table.Apply(0, encode(c))
		c.Op = opRelease
		table.Apply(0, encode(c))
	}
}
