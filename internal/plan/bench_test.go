package plan

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// benchSizes are catalog sizes in plans: the present size, one in between, and
// the size expected in two years.
var benchSizes = []int{1_000, 10_000, 93_000}

// benchRecords returns plans with one entitlement and one token each.
func benchRecords(count int) []*Record {
	records := make([]*Record, 0, count)
	for n := range count {
		id := fmt.Sprintf("client-%04d.workspace-%06d", n/23, n)
		records = append(records, &Record{
			Plan:         Plan{ID: id, Weight: 1 + n%MaxWeight, TokenSHA256: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(id)))}, HomeRegion: []string{"norte", "centro", "sul"}[n%3]},
			Entitlements: []Entitlement{{Plan: id, Service: fmt.Sprintf("service-%04d", n%1500), RequestsPerSecond: float64(1 + n%50), Concurrency: 1 + n%8}},
		})
	}
	return records
}

// benchStateMachine returns a state machine with a catalog of count plans at
// version 1.
func benchStateMachine(b *testing.B, count int) *StateMachine {
	b.Helper()
	m := NewStateMachine()
	next, err := EmptySnapshot().update(1, benchRecords(count), nil)
	require.NoError(b, err)
	catalog := NewCatalog()
	catalog.current = next
	m.setCatalog(catalog)
	return m
}

func forSizes(b *testing.B, run func(b *testing.B, count int)) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("plans=%d", count), func(b *testing.B) { run(b, count) })
	}
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkReadFullDelta decodes and applies a compressed full delta, as an
// entry does when it starts. It reports the heap that the replica occupies and
// the size of the delta with and without compression.
func BenchmarkReadFullDelta(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		full := benchStateMachine(b, count).Current().FullDelta()
		var plain, compressed bytes.Buffer
		require.NoError(b, full.Write(&plain))
		w := gzip.NewWriter(&compressed)
		require.NoError(b, full.Write(w))
		require.NoError(b, w.Close())
		full = Delta{}
		before := heapInUse()
		var held *Replica
		b.ReportAllocs()
		for b.Loop() {
			held = readFullDelta(b, compressed.Bytes())
		}
		b.ReportMetric(float64(heapInUse()-before), "heap-B")
		b.ReportMetric(float64(plain.Len()), "plain-B")
		b.ReportMetric(float64(compressed.Len()), "gzip-B")
		runtime.KeepAlive(held)
	})
}

func readFullDelta(b *testing.B, compressed []byte) *Replica {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	require.NoError(b, err)
	d, err := ReadDelta(json.NewDecoder(r))
	require.NoError(b, err)
	replica := NewReplica()
	require.NoError(b, replica.Apply(d))
	return replica
}

// BenchmarkOneChange applies a change of one plan to the state machine, and the
// resulting delta to a replica. It reports the compressed size of the delta.
func BenchmarkOneChange(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		m := benchStateMachine(b, count)
		replica := NewReplica()
		require.NoError(b, replica.Apply(m.Current().FullDelta()))
		changed := benchRecords(1)[0].Plan
		var size int
		n := 0
		for b.Loop() {
			n++
			changed.Weight = 1 + n%MaxWeight
			version := m.Current().Version()
			m.Apply(0, Change{ID: fmt.Sprintf("c%d", n), BaseVersion: version, SetPlans: []Plan{changed}}.Encode())
			d := m.DeltaSince(version)
			require.NoError(b, replica.Apply(d))
			size = gzipSize(b, d)
		}
		b.ReportMetric(float64(size), "gzip-B")
	})
}

func gzipSize(b *testing.B, d Delta) int {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	require.NoError(b, d.Write(w))
	require.NoError(b, w.Close())
	return buffer.Len()
}

// BenchmarkStateMachineSnapshot encodes the state with the maximum number of
// stored results. The consensus group is blocked for that time.
func BenchmarkStateMachineSnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		m := benchStateMachine(b, count)
		for n := range maxResults {
			m.catalog.results.add(storedResult{ID: fmt.Sprintf("01936f6e-0000-7000-8000-%012d", n), Result: Result{Outcome: Accepted, Version: uint64(n)}})
		}
		var size int
		for b.Loop() {
			encoded, err := m.Snapshot()
			require.NoError(b, err)
			size = len(encoded)
		}
		b.ReportMetric(float64(size), "B")
	})
}

func BenchmarkAuthenticate(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		m := benchStateMachine(b, count)
		b.ReportAllocs()
		for b.Loop() {
			m.Current().Authenticate("client-0000.workspace-000000")
		}
	})
}

func BenchmarkEntitlement(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		s := benchStateMachine(b, count).Current()
		for b.Loop() {
			s.Entitlement("client-0000.workspace-000000", "service-0000")
		}
	})
}
