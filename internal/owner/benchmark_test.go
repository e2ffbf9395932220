package owner

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of one request at light load.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ targets, plans int }{{13, 4}, {28, 200}} {
		b.Run(fmt.Sprintf("targets=%d,plans=%d", size.targets, size.plans), func(b *testing.B) {
			s, clock := newTestService()
			for i := range size.targets {
				s.ApplyAnnouncement(serving(address(i), 6, 100))
			}
			for i := 0; b.Loop(); i++ {
				r := request("r", clock.Now())
				r.Plan = fmt.Sprint(i % size.plans)
				ticket, err := s.Submit(r)
				if err != nil {
					b.Fatal(err)
				}
				s.EndAttempt(<-ticket.Granted(), Outcome{Kind: OK, ServiceTime: time.Millisecond})
			}
		})
	}
}
