package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func validDocument() *Document {
	route := func(prefix string, destinations ...Destination) Route {
		return Route{
			Name: "r" + prefix, Kind: Once, PathPrefix: prefix, Objective: time.Second, Timeout: 2 * time.Second,
			MaxAttempts: 2, Destinations: destinations,
		}
	}
	return &Document{
		Version:  7,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Hosts: []Host{
			{Name: "One.example", Routes: []Route{route("/x/", Destination{"a", 1}), route("/x/y/", Destination{"b", 1})}},
			{Name: "two.example", Routes: []Route{route("/", Destination{"a", 75}, Destination{"b", 25})}},
		},
	}
}

// Guards against accepting a document with a route that cannot be applied.
func TestInvalidDocuments(t *testing.T) {
	first := func(d *Document) *Route { return &d.Hosts[0].Routes[0] }
	cases := []struct {
		desc   string
		change func(d *Document)
	}{
		{"unknown service", func(d *Document) { first(d).Destinations[0].Service = "c" }},
		{"no service", func(d *Document) { first(d).Destinations[0].Service = "" }},
		{"no destination", func(d *Document) { first(d).Destinations = nil }},
		{"weight below zero", func(d *Document) { d.Hosts[1].Routes[0].Destinations[1].Weight = -1 }},
		{"all weights zero", func(d *Document) { first(d).Destinations[0].Weight = 0 }},
		{"objective a minute above the timeout", func(d *Document) { first(d).Objective = first(d).Timeout + time.Minute }},
		{"empty host", func(d *Document) { d.Hosts[0].Name = "" }},
		{"unknown kind", func(d *Document) { first(d).Kind = "" }},
		{"no timeout", func(d *Document) { first(d).Timeout = 0 }},
		{"no attempts", func(d *Document) { first(d).MaxAttempts = 0 }},
		{"prefix without slash", func(d *Document) { first(d).PathPrefix = "/x" }},
		{"two routes for one path prefix", func(d *Document) { d.Hosts[0].Routes[1].PathPrefix = "/x/" }},
		{"service listed twice", func(d *Document) { d.Services[1].Name = "a" }},
		{"tenant without a name", func(d *Document) { d.Tenants = []Tenant{{}} }},
		{"tenant whose name ends a header line", func(d *Document) { d.Tenants = []Tenant{{Name: "t\r\nX: y"}} }},
		{"tenant listed twice", func(d *Document) { d.Tenants = []Tenant{{Name: "t"}, {Name: "t"}} }},
		{"key of two tenants", func(d *Document) {
			d.Tenants = []Tenant{{Name: "t", KeyDigests: []string{KeyDigest("k")}}, {Name: "u", KeyDigests: []string{KeyDigest("k")}}}
		}},
		{"rate below zero", func(d *Document) { d.Tenants = []Tenant{{Name: "t", Rate: -1}} }},
	}
	require.NoError(t, validDocument().Validate())
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			d := validDocument()
			tc.change(d)
			assert.Error(t, d.Validate())
		})
	}
}

// Guards against matching the route of a shorter prefix or of another host.
func TestMatchLongestPrefix(t *testing.T) {
	table := NewTable(validDocument())
	cases := []struct{ host, path, want string }{
		{"one.example", "/x/1", "r/x/"},
		{"ONE.example:80", "/x/y/1", "r/x/y/"},
		{"one.example", "/x/y", "r/x/"},
		{"one.example", "/x", ""},
		{"two.example", "/anything", "r/"},
		{"three.example", "/x/1", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			r := table.Match(tc.host, tc.path)
			if tc.want == "" {
				assert.Nil(t, r)
				return
			}
			require.NotNil(t, r)
			assert.Equal(t, tc.want, r.Name)
		})
	}
}

// Guards against shares that drift from the weights over any number of requests.
func TestSplitFollowsWeights(t *testing.T) {
	for _, phase := range []float64{0, 0.3, 0.74, 0.99} {
		s := NewSplitter()
		r := &validDocument().Hosts[1].Routes[0]
		counts := map[string]int{}
		for n := 1; n <= 400; n++ {
			counts[s.Next("two.example", r, phase)]++
			assert.InDelta(t, 0.75*float64(n), float64(counts["a"]), 1.5, "phase %v after %d requests", phase, n)
		}
	}
}

// Guards against sending requests to a destination with weight zero.
func TestSplitSkipsZeroWeights(t *testing.T) {
	s := NewSplitter()
	r := &Route{Name: "r", Destinations: []Destination{{"a", 0}, {"b", 3}, {"c", 0}}}
	for range 50 {
		assert.Equal(t, "b", s.Next("h", r, 0.5))
	}
}

// Guards against a document whose validation takes the length of a host name for each
// of its routes.
func TestValidateTakesLittleMemory(t *testing.T) {
	d := validDocument()
	route := d.Hosts[0].Routes[0]
	long := Host{Name: strings.Repeat("H", 1<<20)}
	for n := range 200 {
		route.PathPrefix = fmt.Sprintf("/%d/", n)
		long.Routes = append(long.Routes, route)
	}
	d.Hosts = append(d.Hosts, long)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.NoError(t, d.Validate())
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(20<<20))
}
