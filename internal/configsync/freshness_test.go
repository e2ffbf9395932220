package configsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func ago(d time.Duration) time.Time { return testNow.Add(-d) }

// otherDataCentres returns one other data centre per age of the last contact. A
// negative age means never.
func otherDataCentres(ages ...time.Duration) []DataCentreContact {
	var list []DataCentreContact
	for i, age := range ages {
		contact := DataCentreContact{DataCentre: string(rune('b' + i))}
		if age >= 0 {
			contact.LastContact = ago(age)
		}
		list = append(list, contact)
	}
	return list
}

// Guards against an entry that serves an outdated copy, and against one that
// stops serving although it is in contact with enough of the fleet.
func TestDecideFreshness(t *testing.T) {
	const never = -time.Second
	const s = time.Second
	cases := []struct {
		desc string
		view View
		want Freshness
	}{
		{"no contact, others known", View{OtherDataCentres: otherDataCentres(never, never), OtherEntries: 2}, Isolated},
		{"contact with control", View{LastControlContact: ago(9 * s), OtherDataCentres: otherDataCentres(never, never), OtherEntries: 2}, Fresh},
		{"contact with control 10 s ago", View{LastControlContact: ago(10 * s), OtherDataCentres: otherDataCentres(never, never), OtherEntries: 2}, Isolated},
		{"majority of three", View{OtherDataCentres: otherDataCentres(1*s, never), OtherEntries: 2}, Fresh},
		{"contact with majority 10 s ago", View{OtherDataCentres: otherDataCentres(10*s, never), OtherEntries: 2}, Isolated},
		{"one of two is no majority", View{OtherDataCentres: otherDataCentres(never), OtherEntries: 1}, Isolated},
		{"both of two", View{OtherDataCentres: otherDataCentres(1 * s), OtherEntries: 1}, Fresh},
		{"half of six", View{OtherDataCentres: otherDataCentres(1*s, 1*s, never, never, never), OtherEntries: 5, LastFresh: ago(1 * s), RegionCutGrace: time.Minute}, RegionCut},
		{"four of six", View{OtherDataCentres: otherDataCentres(1*s, 1*s, 1*s, never, never), OtherEntries: 5}, Fresh},
		{"region cut, within grace time", View{OtherDataCentres: otherDataCentres(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(59 * s), RegionCutGrace: time.Minute}, RegionCut},
		{"region cut, grace time over", View{OtherDataCentres: otherDataCentres(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(60 * s), RegionCutGrace: time.Minute}, Isolated},
		{"region cut, no grace time", View{OtherDataCentres: otherDataCentres(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(0)}, Isolated},
		{"region cut since the start", View{OtherDataCentres: otherDataCentres(1*s, never, never, never, never), OtherEntries: 5, RegionCutGrace: time.Minute}, Isolated},
		{"contact with own data centre only", View{OtherDataCentres: otherDataCentres(never, never), OtherEntries: 3, LastEntryContact: ago(1 * s), LastFresh: ago(1 * s), RegionCutGrace: time.Minute}, Isolated},
		{"higher version missing 9 s", View{LastControlContact: ago(0), MissingSince: ago(9 * s)}, Fresh},
		{"higher version missing 10 s, contact with control", View{LastControlContact: ago(0), MissingSince: ago(10 * s)}, Isolated},
		{"higher version missing 10 s, region cut", View{OtherDataCentres: otherDataCentres(1*s, never, never), OtherEntries: 3, MissingSince: ago(10 * s), LastFresh: ago(1 * s), RegionCutGrace: time.Minute}, Isolated},
		{"one data centre, contact with another entry", View{OtherEntries: 1, LastEntryContact: ago(1 * s)}, Fresh},
		{"one data centre, contact with another entry 10 s ago", View{OtherEntries: 1, LastEntryContact: ago(10 * s)}, Isolated},
		{"one data centre, no contact with another entry", View{OtherEntries: 1}, Isolated},
		{"one data centre, no other entry known", View{}, Fresh},
		{"clock reading in the future", View{LastControlContact: ago(-1 * s), OtherEntries: 1}, Fresh},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tc.view.Now = testNow
			tc.view.DataCentre = "a"
			assert.Equal(t, tc.want, DecideFreshness(tc.view))
		})
	}
}

// Guards against an entry that starts to serve with a copy that is known to be
// outdated, or with the empty catalog while control is unavailable.
func TestReady(t *testing.T) {
	fromControl := View{LastControlContact: ago(time.Second), OtherDataCentres: otherDataCentres(-1), OtherEntries: 1}
	majority := View{OtherDataCentres: otherDataCentres(time.Second, -1), OtherEntries: 2}
	minority := View{OtherDataCentres: otherDataCentres(-1, -1), OtherEntries: 2}
	noOtherEntry := View{}
	cases := []struct {
		desc  string
		view  View
		state StartState
		want  bool
	}{
		{"contact with control, copy current", fromControl, StartState{Held: 5, HighestKnown: 5}, true},
		{"contact with control, empty catalog", fromControl, StartState{}, true},
		{"contact with control, copy behind", fromControl, StartState{Held: 4, HighestKnown: 5}, false},
		{"control not tried yet", majority, StartState{Held: 5, HighestKnown: 5}, false},
		{"control unavailable, majority", majority, StartState{Held: 5, HighestKnown: 5, ControlTried: true}, true},
		{"control unavailable, majority, copy behind", majority, StartState{Held: 4, HighestKnown: 5, ControlTried: true}, false},
		{"control unavailable, majority, empty catalog", majority, StartState{ControlTried: true}, false},
		{"control unavailable, minority", minority, StartState{Held: 5, HighestKnown: 5, ControlTried: true}, false},
		{"control unavailable, no other entry, just started", noOtherEntry, StartState{Held: 5, HighestKnown: 5, ControlTried: true, StartedAt: ago(time.Second)}, false},
		{"control unavailable, no other entry for 10 s", noOtherEntry, StartState{Held: 5, HighestKnown: 5, ControlTried: true, StartedAt: ago(10 * time.Second)}, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tc.view.Now = testNow
			assert.Equal(t, tc.want, Ready(tc.view, tc.state))
		})
	}
}
