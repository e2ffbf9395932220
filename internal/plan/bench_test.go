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

// Sizes of the catalog: both firms today, between, and in two years.
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

// benchMachine returns a machine with a catalog of count plans at version 1.
func benchMachine(b *testing.B, count int) *Machine {
	b.Helper()
	m := NewMachine()
	next, err := Empty().replace(1, benchRecords(count), nil)
	require.NoError(b, err)
	catalog := NewCatalog()
	catalog.current = next
	m.replace(catalog)
	return m
}

func forSizes(b *testing.B, run func(b *testing.B, count int)) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("plans=%d", count), func(b *testing.B) { run(b, count) })
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFullCopy reads a compressed full copy, as a starting entry does. It
// reports the memory that the copy keeps and the bytes that are transferred.
func BenchmarkFullCopy(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		full := benchMachine(b, count).Current().FullDelta()
		var plain, compressed bytes.Buffer
		require.NoError(b, full.Write(&plain))
		w := gzip.NewWriter(&compressed)
		require.NoError(b, full.Write(w))
		require.NoError(b, w.Close())
		full = Delta{}
		before := heap()
		var held *Replica
		b.ReportAllocs()
		for b.Loop() {
			held = readCopy(b, compressed.Bytes())
		}
		b.ReportMetric(float64(heap()-before), "heap-B")
		b.ReportMetric(float64(plain.Len()), "plain-B")
		b.ReportMetric(float64(compressed.Len()), "gzip-B")
		runtime.KeepAlive(held)
	})
}

func readCopy(b *testing.B, compressed []byte) *Replica {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	require.NoError(b, err)
	d, err := ReadDelta(json.NewDecoder(r))
	require.NoError(b, err)
	replica := NewReplica()
	require.NoError(b, replica.Apply(d))
	return replica
}

// BenchmarkOneChange applies a change of one plan on control, and its delta on
// an entry. It reports the bytes of the delta.
func BenchmarkOneChange(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		m := benchMachine(b, count)
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

// BenchmarkMachineSnapshot encodes the state for the consensus group, with all
// results kept. The group does nothing else meanwhile.
func BenchmarkMachineSnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		m := benchMachine(b, count)
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
		m := benchMachine(b, count)
		b.ReportAllocs()
		for b.Loop() {
			m.Current().Authenticate("client-0000.workspace-000000")
		}
	})
}

func BenchmarkEntitlement(b *testing.B) {
	forSizes(b, func(b *testing.B, count int) {
		s := benchMachine(b, count).Current()
		for b.Loop() {
			s.Entitlement("client-0000.workspace-000000", "service-0000")
		}
	})
}
