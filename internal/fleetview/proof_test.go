package fleetview

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetcontrol"
	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const limit = 5 * time.Second

// fakeMember responds to polls as a control member. The test replaces its fields between
// polls.
type fakeMember struct {
	address  string
	response fleetcontrol.PollResponse
	during   func() // called while a poll waits; may be nil
	requests []fleetcontrol.PollRequest
}

func startMember(t *testing.T) *fakeMember {
	t.Helper()
	m := &fakeMember{response: fleetcontrol.PollResponse{InContact: true, Update: fleetstate.Update{Index: 10}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request fleetcontrol.PollRequest
		call, ok := peerhttp.Decode(w, r, &request)
		if !ok {
			return
		}
		m.requests = append(m.requests, request)
		if m.during != nil {
			m.during()
		}
		call.Respond(m.response)
	}))
	t.Cleanup(server.Close)
	m.address = server.Listener.Addr().String()
	return m
}

func (m *fakeMember) confirm(age time.Duration) { m.response.ConfirmedAge = &age }

func newProofTest(members ...*fakeMember) (*Follower, *sys.ManualBootClock, *sys.ManualClock) {
	boot, clock := sys.NewManualBootClock(time.Hour), sys.NewManualClock(time.Unix(1000, 0))
	o := Options{
		Self:  fleetstate.Entry{Name: "e", Region: "r", DataCentre: "d"},
		Peers: peerhttp.New(nil), Clock: clock, Log: zap.NewNop(), Boot: boot, RevocationLimit: limit, OnChange: func(*View) {},
	}
	for _, m := range members {
		o.Seeds = append(o.Seeds, m.address)
	}
	return NewFollower(o), boot, clock
}

// Guards against a key that is accepted later than the limit after its withdrawal: at an
// entry that is cut off, after a pause of the process or machine, during which the boot
// clock alone goes on, and with a member that is cut off from its leader.
func TestConfirmedWithin(t *testing.T) {
	ctx := context.Background()
	m := startMember(t)
	f, boot, _ := newProofTest(m)
	assert.False(t, f.ConfirmedWithin(limit), "before the first poll")
	assert.False(t, f.HasProof())

	m.confirm(time.Second)
	assert.True(t, f.poll(ctx, m.address))
	assert.True(t, m.requests[0].Confirm)
	assert.True(t, m.requests[0].ConfirmSoon, "the first poll is in a hurry")
	assert.True(t, f.ConfirmedWithin(limit))

	boot.Advance(4 * time.Second)
	assert.True(t, f.ConfirmedWithin(limit))
	boot.Advance(time.Nanosecond)
	assert.False(t, f.ConfirmedWithin(limit), "cut off for the limit less the age")
	assert.True(t, f.HasProof())

	m.during = func() { boot.Advance(10 * time.Second) }
	f.poll(ctx, m.address)
	assert.True(t, m.requests[1].ConfirmSoon)
	assert.False(t, f.ConfirmedWithin(limit), "paused while the response was on its way")

	m.during = nil
	f.poll(ctx, m.address)
	assert.True(t, f.ConfirmedWithin(limit), "contact is restored")
	f.poll(ctx, m.address)
	assert.False(t, m.requests[3].ConfirmSoon, "the proof is recent")

	boot.Advance(3 * time.Second)
	m.confirm(4 * time.Second) // no barrier has succeeded since
	f.poll(ctx, m.address)
	boot.Advance(time.Second)
	assert.True(t, f.ConfirmedWithin(limit))
	boot.Advance(time.Nanosecond)
	assert.False(t, f.ConfirmedWithin(limit), "the member is cut off from its leader")
}

// Guards against proofs that are none: from a member of an earlier release, whose
// responses hold no age, and from one whose state is older than the entry's copy. An
// earlier proof still holds as long as it did.
func TestResponsesWithoutProof(t *testing.T) {
	cases := []struct {
		desc    string
		respond func(m *fakeMember)
	}{
		{"earlier release", func(m *fakeMember) { m.response.ConfirmedAge = nil }},
		{"older state", func(m *fakeMember) { m.response.Update.Index = 9 }},
		{"no confirmation", func(m *fakeMember) { m.confirm(fleetcontrol.NotConfirmed) }},
		{"age below zero", func(m *fakeMember) { m.confirm(-time.Hour) }},
		{"age beyond the time since boot", func(m *fakeMember) { m.confirm(2 * time.Hour) }},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			ctx := context.Background()
			m := startMember(t)
			f, boot, _ := newProofTest(m)
			m.confirm(0)
			f.poll(ctx, m.address)
			tc.respond(m)
			boot.Advance(limit)
			f.poll(ctx, m.address)
			assert.True(t, f.ConfirmedWithin(limit))
			boot.Advance(time.Nanosecond)
			assert.False(t, f.ConfirmedWithin(limit))
		})
	}
}

// Guards against a proof that is seen before the view that it belongs to.
func TestProofIsStoredAfterTheView(t *testing.T) {
	m := startMember(t)
	f, _, _ := newProofTest(m)
	m.confirm(0)
	f.options.OnChange = func(v *View) {
		assert.False(t, f.ConfirmedWithin(limit))
		assert.Same(t, v, f.View())
	}
	m.response.Update.Routing = &fleetstate.Routing{Document: &routing.Document{Version: 3}}
	f.poll(context.Background(), m.address)
	assert.True(t, f.ConfirmedWithin(limit))
	assert.EqualValues(t, 3, f.View().Version())
}

// Guards against an entry that stays with a member which cannot prove anything, although
// another one can, and against one that changes its member at each poll, which costs a
// record in the log, while none can.
func TestMemberWithoutProofIsLeft(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		desc    string
		respond func(m *fakeMember)
		lasts   time.Duration // how long the member is not chosen
	}{
		{"cut off from its leader", func(m *fakeMember) { m.confirm(limit/2 + 1) }, avoidDuration},
		{"no confirmation", func(m *fakeMember) { m.confirm(fleetcontrol.NotConfirmed) }, avoidDuration},
		{"earlier release", func(m *fakeMember) { m.response.ConfirmedAge = nil }, earlierReleaseDuration},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			one, other := startMember(t), startMember(t)
			f, _, clock := newProofTest(one, other)
			tc.respond(one)
			other.confirm(time.Second)
			assert.Equal(t, one.address, f.chooseSource())
			assert.True(t, f.poll(ctx, one.address))
			assert.Equal(t, other.address, f.chooseSource())
			assert.True(t, f.poll(ctx, other.address))
			clock.Advance(tc.lasts - 1)
			assert.Equal(t, other.address, f.chooseSource())

			tc.respond(one)
			tc.respond(other)
			assert.True(t, f.poll(ctx, one.address))
			assert.True(t, f.poll(ctx, other.address))
			chosen := f.chooseSource()
			for range 5 {
				f.poll(ctx, chosen)
				assert.Equal(t, chosen, f.chooseSource())
			}
		})
	}
}

// Guards against polls that request proofs without a limit, whose entry has no use for
// them.
func TestNoProofWithoutLimit(t *testing.T) {
	m := startMember(t)
	f, _, _ := newProofTest(m)
	f = NewFollower(Options{Self: f.options.Self, Seeds: f.options.Seeds, Peers: f.options.Peers, Clock: f.options.Clock, Log: zap.NewNop(), OnChange: func(*View) {}})
	assert.True(t, f.poll(context.Background(), m.address))
	assert.False(t, m.requests[0].Confirm || m.requests[0].ConfirmSoon)
	assert.False(t, f.ConfirmedWithin(limit))
}
