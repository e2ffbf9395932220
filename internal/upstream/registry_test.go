package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "github.com/sequoialane/sequoialane/internal/fixedseed"
)

var t0 = time.Date(2025, 3, 1, 8, 0, 0, 0, time.UTC)

func announcement(state State, incarnation, sequence uint64) Announcement {
	return Announcement{Service: "s", Address: "10.0.0.1:80", Slots: 2, State: state, Incarnation: incarnation, Sequence: sequence}
}

// Guards against new work for a target that has announced that it drains or
// leaves, when its announcements arrive out of order.
func TestOrderOfAnnouncements(t *testing.T) {
	cases := []struct {
		desc   string
		sent   []Announcement
		last   ApplyResult
		usable Availability
	}{
		{"first", []Announcement{announcement(Serving, 1, 1)}, Applied, Usable},
		{"renewed", []Announcement{announcement(Serving, 1, 1), announcement(Serving, 1, 2)}, Renewed, Usable},
		{"repeated", []Announcement{announcement(Serving, 1, 2), announcement(Serving, 1, 2)}, Outdated, Usable},
		{"older sequence", []Announcement{announcement(Serving, 1, 2), announcement(Serving, 1, 1)}, Outdated, Usable},
		{"older incarnation", []Announcement{announcement(Serving, 2, 1), announcement(Serving, 1, 9)}, Outdated, Usable},
		{"late serving after leave", []Announcement{announcement(Leaving, 1, 5), announcement(Serving, 1, 9)}, Outdated, Unusable},
		{"leave with an older sequence", []Announcement{announcement(Serving, 1, 9), announcement(Leaving, 1, 5)}, Applied, Unusable},
		{"late draining after leave", []Announcement{announcement(Leaving, 1, 5), announcement(Draining, 1, 9)}, Outdated, Unusable},
		{"draining", []Announcement{announcement(Draining, 1, 5), announcement(Serving, 1, 9)}, Outdated, Unusable},
		{"restart after leave", []Announcement{announcement(Leaving, 1, 5), announcement(Serving, 2, 1)}, Applied, Usable},
		{"no slots", []Announcement{{Address: "a", State: Serving}}, Rejected, Unusable},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			r := NewRegistry()
			var last ApplyResult
			for _, a := range tc.sent {
				last = r.Apply(a, t0)
			}
			assert.Equal(t, tc.last, last)
			assert.Equal(t, tc.usable, r.Availability("10.0.0.1:80", t0))
		})
	}
}

// Guards against a final state being undone, whatever the order in which
// announcements arrive.
func TestFinalStatesAreNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		ended := map[uint64]bool{}
		for i := range rapid.IntRange(1, 30).Draw(t, "announcements") {
			state := rapid.SampledFrom([]State{Serving, Draining, Leaving}).Draw(t, "state")
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			now := t0.Add(time.Duration(i) * time.Second)
			r.Apply(announcement(state, incarnation, rapid.Uint64Range(1, 9).Draw(t, "sequence")), now)
			r.Expire(now)
			if state != Serving {
				ended[incarnation] = true
			}
			if r.Availability("10.0.0.1:80", now) != Unusable {
				current, _ := r.Target("10.0.0.1:80")
				assert.False(t, ended[current.Incarnation], "incarnation %d is used after it drained or left", current.Incarnation)
			}
		}
	})
}

// Guards against work for an expired target, and against dropping a tombstone
// while late announcements may still arrive.
func TestLeaseAndTombstone(t *testing.T) {
	r := NewRegistry()
	r.Apply(announcement(Serving, 1, 1), t0)
	assert.Equal(t, Usable, r.Availability("10.0.0.1:80", t0.Add(LeaseDuration-1)))
	assert.Equal(t, Unusable, r.Availability("10.0.0.1:80", t0.Add(LeaseDuration)))
	assert.Len(t, r.Expire(t0.Add(LeaseDuration)), 1)

	r.Apply(announcement(Leaving, 1, 2), t0)
	r.Expire(t0.Add(TombstoneRetention - 1))
	assert.Equal(t, Outdated, r.Apply(announcement(Serving, 1, 3), t0.Add(TombstoneRetention-1)))
}

// Guards against losing all targets when the owner's own network paths fail, and
// against keeping single targets that died.
func TestMassExpiry(t *testing.T) {
	cases := []struct {
		desc    string
		expired int // of 8; target 0 has left
		kept    bool
	}{
		{"one of seven", 1, false},
		{"three of seven", 3, false},
		{"four of seven", 4, true},
		{"all", 7, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			r := NewRegistry()
			announce := func(i int, state State, sequence uint64, now time.Time) {
				a := announcement(state, 1, sequence)
				a.Address = fmt.Sprint("10.0.0.", i)
				r.Apply(a, now)
			}
			for i := range 8 {
				announce(i, Serving, 1, t0)
			}
			announce(0, Leaving, 2, t0)
			for i := 1 + tc.expired; i < 8; i++ {
				announce(i, Serving, 2, t0.Add(LeaseDuration/2))
			}
			end := t0.Add(LeaseDuration)
			gone := r.Expire(end)
			assert.Equal(t, Unusable, r.Availability("10.0.0.0", end))
			if !tc.kept {
				assert.Len(t, gone, tc.expired)
				return
			}
			assert.Empty(t, gone)
			assert.Equal(t, LastResort, r.Availability("10.0.0.1", end))
			assert.Equal(t, Unusable, r.Availability("10.0.0.1", end.Add(MassExpiryRetention)))
		})
	}
}

// Guards against repeating a request although one target announces that it is not
// idempotent.
func TestRouteIsIdempotentOnlyIfAllTargetsAgree(t *testing.T) {
	consents := Route{Method: "PUT", PathPrefix: "/consents", Idempotent: true}
	disagreeing := Route{Method: "PUT", PathPrefix: "/consents"}
	narrower := Route{Method: "PUT", PathPrefix: "/consents/urgent"}
	cases := []struct {
		desc         string
		tables       [][]Route
		method, path string
		want         bool
	}{
		{"safe method", nil, "GET", "/x", true},
		{"no announcements", nil, "PUT", "/consents/1", false},
		{"all agree", [][]Route{{consents}, {consents}}, "PUT", "/consents/1", true},
		{"one disagrees", [][]Route{{consents}, {disagreeing}}, "PUT", "/consents/1", false},
		{"one has no routes", [][]Route{{consents}, {}}, "PUT", "/consents/1", false},
		{"narrower route in one table", [][]Route{{consents}, {consents, narrower}}, "PUT", "/consents/urgent/1", false},
		{"other method", [][]Route{{consents}}, "POST", "/consents/1", false},
		{"prefix within a segment", [][]Route{{consents}}, "PUT", "/consentsheet", false},
		{"any method", [][]Route{{{Method: "*", PathPrefix: "/", Idempotent: true}}}, "POST", "/x", true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			_, idempotent := newRouteTable(tc.tables).Match(tc.method, tc.path)
			assert.Equal(t, tc.want, idempotent)
		})
	}
}
