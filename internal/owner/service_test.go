package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

var start = time.Date(2025, 3, 1, 8, 0, 0, 0, time.UTC)

func newTestService() (*Service, *sys.ManualClock) {
	clock := sys.NewManualClock(start)
	s := New(Config{
		Service:    "consents",
		Region:     "north",
		DataCentre: "north-1",
		Clock:      clock,
		Rand:       rand.New(rand.NewPCG(1, 2)),
	})
	return s, clock
}

func serving(address string, slots int, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		Service:     "consents",
		Address:     address,
		Region:      "north",
		DataCentre:  "north-1",
		Slots:       slots,
		State:       upstream.Serving,
		Incarnation: 1,
		Sequence:    sequence,
		ProbePath:   "/health",
	}
}

func request(id string, now time.Time) Request {
	return Request{ID: id, Plan: "a", Route: "GET /orders", Weight: 1, Deadline: now.Add(time.Second), Idempotent: true}
}

// Guards against a slot that is never freed, or that is granted twice because
// EndAttempt was called twice.
func TestSlotIsGrantedOnceAndFreedByEndAttempt(t *testing.T) {
	s, clock := newTestService()
	s.ApplyAnnouncement(serving("10.0.0.1:80", 1, 1))
	first, err := s.Submit(request("1", clock.Now()))
	require.Nil(t, err)
	second, err := s.Submit(request("2", clock.Now()))
	require.Nil(t, err)

	grant := <-first.Granted()
	assert.Empty(t, second.Granted())
	s.EndAttempt(grant, Outcome{Kind: OK, ServiceTime: time.Millisecond})
	s.EndAttempt(grant, Outcome{Kind: OK, ServiceTime: time.Millisecond})

	assert.Len(t, second.Granted(), 1)
	assert.Equal(t, 1, s.Snapshot().Targets[0].InFlight)
}

// Guards against a leaked slot when a request is cancelled before its grant is
// received.
func TestCancelReleasesUnreceivedGrant(t *testing.T) {
	s, clock := newTestService()
	s.ApplyAnnouncement(serving("10.0.0.1:80", 1, 1))
	ticket, err := s.Submit(request("1", clock.Now()))
	require.Nil(t, err)
	ticket.Cancel()
	ticket.Cancel()
	assert.Equal(t, 0, s.Snapshot().Targets[0].InFlight)
}
