package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkGossip measures the cost of gossip per node in a steady fleet. One
// iteration simulates one second on all nodes. A change is one member that
// becomes isolated.
func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(1, n)
			f.settle()
			f.sent, f.bytes = 0, 0
			b.ResetTimer()
			started := time.Now()
			for range b.N {
				f.run(time.Second)
			}
			nodeSeconds := float64(b.N * n)
			b.ReportMetric(float64(f.bytes)/nodeSeconds, "sent_B/s/node")
			b.ReportMetric(float64(f.sent)/nodeSeconds, "packets/s/node")
			b.ReportMetric(time.Since(started).Seconds()/nodeSeconds*100, "cpu_percent/node")
			b.ReportMetric(float64(exchangeBytes(f, 0, 1)), "exchange_B")
			b.StopTimer()
			b.ReportMetric(changeBytes(f, float64(f.bytes)/float64(b.N)), "change_B/node")
		})
	}
}

// settle makes all tables equal, as in a fleet that has run for a long time.
func (f *fleet) settle() {
	for _, at := range f.order {
		f.exchange(f.nodes[at], f.nodes[f.order[0]])
	}
	for _, at := range f.order {
		f.exchange(f.nodes[at], f.nodes[f.order[0]])
		f.nodes[at].queue.items = nil
	}
	f.run(3 * time.Second)
}

// changeBytes returns the bytes that each node sends for one change. The steady
// traffic, in bytes per simulated second of all nodes, is subtracted.
func changeBytes(f *fleet, steady float64) float64 {
	const seconds = 30
	f.bytes = 0
	f.send(f.order[1], f.nodes[f.order[1]].SetIsolated(true))
	f.run(seconds * time.Second)
	return (float64(f.bytes) - steady*seconds) / float64(len(f.order))
}

// exchangeBytes returns the encoded size of a full exchange between two nodes.
func exchangeBytes(f *fleet, i, j int) int {
	a, c := f.nodes[address(i)], f.nodes[address(j)]
	request := a.StartExchange()
	reply, err := c.HandleExchange(f.now, request)
	if err != nil {
		panic(err)
	}
	push, err := a.FinishExchange(f.now, reply)
	if err != nil {
		panic(err)
	}
	total := 0
	for _, part := range []any{request, reply, push} {
		encoded, err := cbor.Marshal(part)
		if err != nil {
			panic(err)
		}
		total += len(encoded)
	}
	return total
}
