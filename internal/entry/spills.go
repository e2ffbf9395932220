package entry

import (
	"sync"
	"time"
)

// maxPaused bounds the paused (service, region) pairs that are remembered.
const maxPaused = 10_000

// spills remembers which regions refused overflow of a service lately.
type spills struct {
	mu    sync.Mutex
	until map[spillKey]time.Time
}

type spillKey struct{ service, region string }

func newSpills() *spills { return &spills{until: map[spillKey]time.Time{}} }

func (s *spills) pause(service, region string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxPaused {
		clear(s.until)
	}
	s.until[spillKey{service, region}] = until
}

func (s *spills) paused(service, region string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[spillKey{service, region}])
}
