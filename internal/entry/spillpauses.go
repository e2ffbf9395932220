package entry

import (
	"sync"
	"time"
)

// maxSpillPauses bounds the number of (service, region) pairs that are held.
const maxSpillPauses = 10_000

// spillPauses records which regions recently rejected spilled requests of a
// service and until when they get no more of them.
type spillPauses struct {
	mu    sync.Mutex
	until map[spillKey]time.Time
}

type spillKey struct{ service, region string }

func newSpillPauses() *spillPauses { return &spillPauses{until: map[spillKey]time.Time{}} }

func (s *spillPauses) pause(service, region string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxSpillPauses {
		clear(s.until)
	}
	s.until[spillKey{service, region}] = until
}

func (s *spillPauses) paused(service, region string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[spillKey{service, region}])
}
