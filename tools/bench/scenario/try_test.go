package scenario

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sequoialane/sequoialane/tools/bench/fleet"
	"github.com/sequoialane/sequoialane/tools/bench/virtual"
)

func TestTry(t *testing.T) {
	var wg sync.WaitGroup
	sem := make(chan bool, 4)
	do := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); sem <- true; f(); <-sem }()
	}
	for seed := range uint64(3) {
		do(func() {
			fmt.Printf("%+v\n", RunQuiet(virtual.Run, Consents, 40*time.Millisecond, 0.2, 15*time.Minute, Policies()["sequoialane"](), seed))
		})
	}
	for _, spec := range []fleet.Spec{Consents} {
		for _, load := range []float64{0.3, 0.6, 0.85} {
			for _, kind := range []fleet.FaultKind{fleet.Slow, fleet.HalfErrors, fleet.Silent, fleet.Flapping, fleet.OneWay} {
				do(func() {
					c := DetectionCase{Spec: spec, Short: 40 * time.Millisecond, Idempotent: 0.2, Load: load, Kind: kind, Count: 13, Length: 10 * time.Second, Gap: 8 * time.Second}
					fmt.Println(c.Run(virtual.Run, Policies()["sequoialane"](), 1))
				})
			}
		}
	}
	wg.Wait()
}
