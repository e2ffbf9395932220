package tcpalive

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

// Guards against a peer that is taken for gone because its window is closed or its
// connection was idle, and against one that is gone and never noticed.
func TestIsSilent(t *testing.T) {
	const long, short = 3000, 300 // milliseconds
	cases := []struct {
		desc    string
		unacked uint32
		sinceMS uint32
		watched time.Duration
		want    bool
	}{
		{"acknowledges nothing", 1, long, 3 * time.Second, true},
		{"acknowledges", 1, short, 3 * time.Second, false},
		{"has closed its window", 0, long, 3 * time.Second, false},
		{"was idle before the request", 1, long, 100 * time.Millisecond, false},
	}
	for _, tc := range cases {
		got := isSilent(&unix.TCPInfo{Unacked: tc.unacked, Last_ack_recv: tc.sinceMS}, tc.watched)
		assert.Equal(t, tc.want, got, tc.desc)
	}
}
