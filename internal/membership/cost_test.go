package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkGossip measures what gossip costs a node in a steady fleet. One
// iteration is one simulated second of all nodes.
func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(1, n)
			f.run(20 * time.Second)
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
		})
	}
}

// exchangeBytes is the size of a full exchange between two nodes.
func exchangeBytes(f *fleet, i, j int) int {
	a, c := f.nodes[address(i)], f.nodes[address(j)]
	request := a.ExchangeRequest()
	answer, err := c.AnswerExchange(f.now, request)
	if err != nil {
		panic(err)
	}
	push, err := a.FinishExchange(f.now, answer)
	if err != nil {
		panic(err)
	}
	total := 0
	for _, part := range []any{request, answer, push} {
		encoded, err := cbor.Marshal(part)
		if err != nil {
			panic(err)
		}
		total += len(encoded)
	}
	return total
}
