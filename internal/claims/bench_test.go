package claims

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fillTable claims and completes keys whose creation times are spread over the
// retention time, with answer bodies of the given size.
func fillTable(table *Table, records, answerBytes int) {
	body := make([]byte, answerBytes)
	for n := range records {
		var random [10]byte
		binary.BigEndian.PutUint64(random[2:], uint64(n))
		created := time.UnixMilli(testNowMS + int64(n)*3_600_000/int64(records))
		c := command{
			Op: opClaim, Plan: fmt.Sprintf("plan-%d", n%1000), Key: NewKey(created, random).ID,
			Attempt: fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", n), Holder: fmt.Sprintf("entry-%d/1800000000000", n%44),
			At: timestamp{WallMS: created.UnixMilli(), ClockSource: "a"},
		}
		table.Apply(0, encode(c))
		c.Op = opComplete
		c.Answer = &storedAnswer{Status: 200, Header: map[string][]cbor.ByteString{"Content-Type": {"application/json"}}, Body: body}
		table.Apply(0, encode(c))
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkTable measures the memory per completed claim with an answer of 128
// bytes, and the time and size of a snapshot of the whole table.
func BenchmarkTable(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxTotalAnswerBytes = 1 << 40
	for _, records := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := heapBytes()
			table := NewTable(limits)
			fillTable(table, records, 128)
			used := heapBytes() - before
			var size int
			for b.Loop() {
				snapshot, err := table.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(snapshot)
			}
			b.ReportMetric(float64(used)/float64(records), "B/claim")
			b.ReportMetric(float64(size)/float64(records), "snapshot-B/claim")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkApply measures the state machine without consensus: one claim and its
// release.
func BenchmarkApply(b *testing.B) {
	table := NewTable(DefaultLimits())
	var random [10]byte
	var n uint64
	for b.Loop() {
		n++
		binary.BigEndian.PutUint64(random[2:], n)
		c := command{Op: opClaim, Plan: "plan", Key: NewKey(time.UnixMilli(testNowMS), random).ID, Attempt: "a", Holder: "h", At: timestamp{WallMS: testNowMS}}
		table.Apply(0, encode(c))
		c.Op = opRelease
		table.Apply(0, encode(c))
	}
}
