package ctl

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const trafficMetrics = `go_goroutines 12
sequoialane_traffic_bytes_total{cause="grant",distance="same_region",direction="sent"} 5000
sequoialane_traffic_bytes_total{cause="grant",distance="same_region",direction="received"} 2000
sequoialane_traffic_bytes_total{cause="poll",distance="other_region",direction="sent"} 1500
sequoialane_view_polls_total 9
`

func serveMetrics(t *testing.T, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestTrafficOfAFleet(t *testing.T) {
	address := serveMetrics(t, trafficMetrics)
	list, err := NewClient([]string{address, address}, "").Traffic(context.Background())
	require.NoError(t, err)
	assert.Equal(t, []Traffic{
		{TrafficKey: TrafficKey{Cause: "poll", Distance: "other_region"}, Sent: 3000},
		{TrafficKey: TrafficKey{Cause: "grant", Distance: "same_region"}, Sent: 10_000, Received: 4000},
	}, list)
	_, rows := TrafficTable(list)
	assert.Equal(t, []string{"same_region", "grant", "10", "4"}, rows[1])
}

// Guards against sums that leave out a process without saying so.
func TestTrafficOfAnUnreadableProcess(t *testing.T) {
	for desc, address := range map[string]string{
		"down":      "127.0.0.1:1",
		"malformed": serveMetrics(t, `sequoialane_traffic_bytes_total{cause="x"} many`),
	} {
		_, err := NewClient([]string{serveMetrics(t, trafficMetrics), address}, "").Traffic(context.Background())
		assert.Error(t, err, desc)
	}
}
