package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a target that refuses connections using up the retry budget
// while all other slots are busy. Each attempt on it fails immediately, so its
// slots are always free.
func TestRefusingTargetIsNotPickedAgainAtOnce(t *testing.T) {
	s, clock := newTestService()
	s.ApplyAnnouncement(serving("10.0.0.1:80", 1, 1))
	s.ApplyAnnouncement(serving("10.0.0.2:80", 1, 1))
	first, rejected := s.Submit(request("a", clock.Now()))
	require.Nil(t, rejected)
	busy := <-first.Granted()
	second, rejected := s.Submit(request("b", clock.Now()))
	require.Nil(t, rejected)
	failed := <-second.Granted()
	require.NotEqual(t, busy.Target.Address, failed.Target.Address)
	s.EndAttempt(failed, Outcome{Kind: ConnectFailed})
	require.True(t, s.Retry(second, Outcome{Kind: ConnectFailed}))
	select {
	case g := <-second.Granted():
		t.Fatalf("granted %s at once", g.Target.Address)
	default:
	}
	clock.Advance(5 * time.Millisecond)
	s.EndAttempt(busy, Outcome{Kind: OK, ServiceTime: 5 * time.Millisecond, BytesSent: true})
	assert.Equal(t, busy.Target.Address, (<-second.Granted()).Target.Address)
}

// Guards against a request waiting forever when every target refused a
// connection.
func TestRequestIsGrantedWhenAllTargetsRefused(t *testing.T) {
	s, clock := newTestService()
	s.ApplyAnnouncement(serving("10.0.0.1:80", 1, 1))
	ticket, rejected := s.Submit(request("a", clock.Now()))
	require.Nil(t, rejected)
	s.EndAttempt(<-ticket.Granted(), Outcome{Kind: ConnectFailed})
	require.True(t, s.Retry(ticket, Outcome{Kind: ConnectFailed}))
	assert.Equal(t, "10.0.0.1:80", (<-ticket.Granted()).Target.Address)
}
