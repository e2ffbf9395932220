package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDistance(t *testing.T) {
	l := NewLocations("a1", map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	l.Update(map[string]string{"1:1": "a1", "2:1": "a2", "3:1": "b1"})
	assert.Equal(t, SameDataCentre, l.Distance("1:1"))
	assert.Equal(t, SameRegion, l.Distance("2:1"))
	assert.Equal(t, OtherRegion, l.Distance("3:1"))
	assert.Equal(t, Unknown, l.Distance("4:1"))
}

// Guards against bytes that are counted for the call before on a connection, or
// for an unknown distance once the peer is known.
func TestAttributedBytes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	l := NewLocations("a1", map[string]string{"a1": "a", "a2": "a"})
	client := &http.Client{Transport: &http.Transport{DialContext: CountDials((&net.Dialer{}).DialContext, l, Other)}}
	call := func(cause Cause, size int) {
		r, err := http.NewRequestWithContext(Attribute(context.Background(), cause), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		response, err := client.Do(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
	labels := []string{
		`cause="grant",distance="unknown",direction="sent"`,
		`cause="evidence",distance="same_region",direction="sent"`,
		`cause="evidence",distance="same_region",direction="received"`,
	}
	before := lo.Map(labels, func(l string, _ int) int { return count(l) })
	call(Grant, 1000)
	l.Update(map[string]string{address: "a2"})
	call(Evidence, 5000)
	for i, size := range []int{1000, 5000, 5000} {
		assert.InDelta(t, size+150, count(labels[i])-before[i], 150, labels[i])
	}
}

func count(labels string) int {
	return int(metrics.GetOrCreateCounter("sequoialane_traffic_bytes_total{" + labels + "}").Get())
}
