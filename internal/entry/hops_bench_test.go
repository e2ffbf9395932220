package entry

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkHops measures the duration of a GET sent directly to the upstream, to
// the owner, and to another entry that forwards it to the owner.
func BenchmarkHops(b *testing.B) {
	t := &testing.T{}
	c := newCluster(t, "north", "north", "north")
	target := c.addTarget(t, "north", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	ranked := c.ranked("north")
	cases := []struct{ desc, url string }{
		{"direct", target.URL + "/x"},
		{"owner", "http://" + ranked[0].callers.Address() + "/s/consents/x"},
		{"forwarded", "http://" + ranked[2].callers.Address() + "/s/consents/x"},
	}
	for _, tc := range cases {
		b.Run(tc.desc, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				started := time.Now()
				r, err := http.NewRequest(http.MethodGet, tc.url, strings.NewReader(""))
				require.NoError(b, err)
				r.Header.Set("Authorization", "Bearer "+testToken)
				response, err := http.DefaultClient.Do(r)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				require.Equal(b, http.StatusOK, response.StatusCode)
				times = append(times, time.Since(started))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50_us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99_us")
		})
	}
}
