package configsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func ago(d time.Duration) time.Time { return testNow.Add(-d) }

// others returns the given ages of the data centres other than the own one; a
// negative age stands for never.
func others(ages ...time.Duration) []Heard {
	var list []Heard
	for i, age := range ages {
		h := Heard{DataCentre: string(rune('b' + i))}
		if age >= 0 {
			h.At = ago(age)
		}
		list = append(list, h)
	}
	return list
}

// Guards against an entry that serves an old copy, and against one that stops
// serving while it can hear enough of the fleet.
func TestDecide(t *testing.T) {
	const never = -time.Second
	const s = time.Second
	cases := []struct {
		desc string
		view View
		want Freshness
	}{
		{"nothing heard, others known", View{Others: others(never, never), OtherEntries: 2}, Isolated},
		{"control heard", View{ControlHeard: ago(9 * s), Others: others(never, never), OtherEntries: 2}, Fresh},
		{"control heard 10 s ago", View{ControlHeard: ago(10 * s), Others: others(never, never), OtherEntries: 2}, Isolated},
		{"majority of three", View{Others: others(1*s, never), OtherEntries: 2}, Fresh},
		{"majority heard 10 s ago", View{Others: others(10*s, never), OtherEntries: 2}, Isolated},
		{"one of two is no majority", View{Others: others(never), OtherEntries: 1}, Isolated},
		{"both of two", View{Others: others(1 * s), OtherEntries: 1}, Fresh},
		{"half of six", View{Others: others(1*s, 1*s, never, never, never), OtherEntries: 5, LastFresh: ago(1 * s), RegionCutTime: time.Minute}, RegionCut},
		{"four of six", View{Others: others(1*s, 1*s, 1*s, never, never), OtherEntries: 5}, Fresh},
		{"region cut, within the time", View{Others: others(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(59 * s), RegionCutTime: time.Minute}, RegionCut},
		{"region cut, time over", View{Others: others(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(60 * s), RegionCutTime: time.Minute}, Isolated},
		{"region cut, no time allowed", View{Others: others(1*s, never, never, never, never), OtherEntries: 5, LastFresh: ago(0)}, Isolated},
		{"region cut since the start", View{Others: others(1*s, never, never, never, never), OtherEntries: 5, RegionCutTime: time.Minute}, Isolated},
		{"only the own data centre heard", View{Others: others(never, never), OtherEntries: 3, EntryHeard: ago(1 * s), LastFresh: ago(1 * s), RegionCutTime: time.Minute}, Isolated},
		{"higher version missing 9 s", View{ControlHeard: ago(0), HigherSince: ago(9 * s)}, Fresh},
		{"higher version missing 10 s, control heard", View{ControlHeard: ago(0), HigherSince: ago(10 * s)}, Isolated},
		{"higher version missing 10 s, region cut", View{Others: others(1*s, never, never), OtherEntries: 3, HigherSince: ago(10 * s), LastFresh: ago(1 * s), RegionCutTime: time.Minute}, Isolated},
		{"one data centre, another entry heard", View{OtherEntries: 1, EntryHeard: ago(1 * s)}, Fresh},
		{"one data centre, another entry silent", View{OtherEntries: 1, EntryHeard: ago(10 * s)}, Isolated},
		{"one data centre, another entry never heard", View{OtherEntries: 1}, Isolated},
		{"one data centre, no other entry known", View{}, Fresh},
		{"clock reading in the future", View{ControlHeard: ago(-1 * s), OtherEntries: 1}, Fresh},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tc.view.Now = testNow
			tc.view.DataCentre = "a"
			assert.Equal(t, tc.want, Decide(tc.view))
		})
	}
}

// Guards against an entry that starts to serve with a copy that is known to be
// old, or with the empty catalog while control is away.
func TestReady(t *testing.T) {
	fromControl := View{ControlHeard: ago(time.Second), Others: others(-1), OtherEntries: 1}
	majority := View{Others: others(time.Second, -1), OtherEntries: 2}
	minority := View{Others: others(-1, -1), OtherEntries: 2}
	alone := View{}
	cases := []struct {
		desc     string
		view     View
		versions Versions
		want     bool
	}{
		{"control heard, copy current", fromControl, Versions{Held: 5, Highest: 5}, true},
		{"control heard, empty catalog", fromControl, Versions{}, true},
		{"control heard, copy behind", fromControl, Versions{Held: 4, Highest: 5}, false},
		{"control not tried yet", majority, Versions{Held: 5, Highest: 5}, false},
		{"control away, majority", majority, Versions{Held: 5, Highest: 5, ControlTried: true}, true},
		{"control away, majority, copy behind", majority, Versions{Held: 4, Highest: 5, ControlTried: true}, false},
		{"control away, majority, empty catalog", majority, Versions{ControlTried: true}, false},
		{"control away, minority", minority, Versions{Held: 5, Highest: 5, ControlTried: true}, false},
		{"control away, alone, just started", alone, Versions{Held: 5, Highest: 5, ControlTried: true, Started: ago(time.Second)}, false},
		{"control away, alone for 10 s", alone, Versions{Held: 5, Highest: 5, ControlTried: true, Started: ago(10 * time.Second)}, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tc.view.Now = testNow
			assert.Equal(t, tc.want, Ready(tc.view, tc.versions))
		})
	}
}
