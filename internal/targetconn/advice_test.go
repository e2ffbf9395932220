package targetconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membudget"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/retryafter"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// adviceClient returns a client and the advice that it passes on.
func adviceClient() (*Client, chan Advice) {
	withLeaving := names
	withLeaving.Leaving = "X-Leaving"
	c := New(sys.RealClock{}, withLeaving, membudget.New(1<<30), nil)
	advice := make(chan Advice, 8)
	c.OnAdvice(func(_ Target, a Advice) { advice <- a })
	return c, advice
}

// Guards against an advice of a target that is not noticed, in whatever response it
// comes, and against a 503 with Retry-After that counts as a failure or as proof
// that the request did not run.
func TestAdviceInResponses(t *testing.T) {
	const leaving = "X-Leaving: 1\r\n"
	cases := []struct {
		desc    string
		head    string // after the id
		want    Advice
		outcome pool.OutcomeKind
		ran     bool
	}{
		{"success", "200 OK\r\nX-Mark: m\r\n" + leaving, Advice{Leaving: true}, pool.OK, true},
		{"error", "500 E\r\n" + leaving, Advice{Leaving: true}, pool.Failed, true},
		{"refusal", "503 S\r\nX-Not-Run: 1\r\n" + leaving, Advice{Leaving: true}, pool.Shed, false},
		{"misdirected", "421 M\r\n" + leaving, Advice{Leaving: true}, pool.Misdirected, false},
		{"not leaving", "200 OK\r\nX-Mark: m\r\nX-Leaving: 0\r\n", Advice{}, pool.OK, true},
		{"refusal with time", "503 S\r\nX-Not-Run: 1\r\nRetry-After: 3\r\n", Advice{RetryAfter: 3 * time.Second}, pool.Postponed, false},
		{"503 with time that may have run", "503 S\r\nRetry-After: 0.25\r\n", Advice{RetryAfter: 250 * time.Millisecond}, pool.Postponed, true},
		{"negative time", "503 S\r\nX-Not-Run: 1\r\nRetry-After: -5\r\n", Advice{Malformed: "-5"}, pool.Shed, false},
		{"malformed time", "503 S\r\nRetry-After: soon\r\n", Advice{Malformed: "soon"}, pool.Failed, true},
		{"absurd time", "503 S\r\nRetry-After: 1e300\r\n", Advice{RetryAfter: retryafter.Max, Malformed: "1e300"}, pool.Postponed, true},
		{"time of another status", "500 E\r\nRetry-After: 3\r\n", Advice{}, pool.Failed, true},
		{"both", "503 S\r\nX-Not-Run: 1\r\nRetry-After: 1\r\n" + leaving, Advice{Leaving: true, RetryAfter: time.Second}, pool.Postponed, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			f := startTarget(t, func(_ int, c net.Conn, r *http.Request) {
				status, head, _ := strings.Cut(tc.head, "\r\n")
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("X-Id"), head)
			})
			c, advice := adviceClient()
			result := send(c, f.target(), "a", "")
			assert.Equal(t, tc.outcome, result.Outcome)
			assert.Equal(t, tc.ran, result.MayHaveRun)
			assert.Equal(t, tc.want.Leaving, result.Leaving)
			got := Advice{}
			if len(advice) > 0 {
				got = <-advice
			}
			assert.Equal(t, tc.want, got)
		})
	}
}

// Guards against an advice that is noticed only at the end of a long body, or not
// at all because its response belongs to a request that was given up.
func TestAdviceIsNoticedWithTheHead(t *testing.T) {
	release := make(chan struct{})
	f := startTarget(t, func(n int, c net.Conn, r *http.Request) {
		if n == 0 {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: late\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			respond(c, r.Header.Get("X-Id"), "", "body")
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\nX-Leaving: 1\r\nContent-Length: 10\r\n\r\n", r.Header.Get("X-Id"))
		<-release
	})
	c, advice := adviceClient()
	require.Equal(t, pool.OK, send(c, f.target(), "a", "").Outcome)
	assert.True(t, (<-advice).Leaving, "in a late response to another request")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Send(ctx, f.target(), Request{ID: "b", Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-Id": {"b"}}, TimeLeft: time.Second})
	select {
	case a := <-advice:
		assert.True(t, a.Leaving, "while the body is still to come")
	case <-time.After(10 * time.Second):
		t.Error("no advice before the end of the body")
	}
	close(release)
}
