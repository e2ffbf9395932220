package consensus

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// silentRoundTripper drops the responses to forwarded proposals, and also the
// requests if dropRequests is set. Other requests pass.
type silentRoundTripper struct {
	next         http.RoundTripper
	dropRequests atomic.Bool
	intercepted  atomic.Int32
}

func (s *silentRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, pathPropose) {
		return s.next.RoundTrip(r)
	}
	s.intercepted.Add(1)
	if !s.dropRequests.Load() {
		response, err := s.next.RoundTrip(r.Clone(context.WithoutCancel(r.Context())))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a forwarded command that is proposed twice, or not at all, when
// the connection to the leader stops responding.
func TestForwardOverSilentConnection(t *testing.T) {
	for _, loseRequests := range []bool{false, true} {
		tripper := &silentRoundTripper{next: newClient(time.Second, true, nil).Transport}
		tripper.dropRequests.Store(loseRequests)
		c := newCluster(t, 3, false, func(c *Config) { c.Client = &http.Client{Transport: tripper} })
		c.waitUntilSettled()
		follower := (c.leader() + 1) % 3
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := c.nodes[follower].group.Propose(ctx, []byte("a"))
		cancel()
		require.NoError(t, err)
		assert.Equal(t, int32(1), tripper.intercepted.Load())
		c.requireCommands(follower, "a")
	}
}

// Guards against a repeated request that is proposed a second time.
func TestRepeatedForwardIsProposedOnce(t *testing.T) {
	c := newCluster(t, 3, false, nil)
	c.waitUntilSettled()
	leaderGroup := c.nodes[c.leader()].group
	status := c.nodes[(c.leader()+1)%3].group.Status()
	request := proposeRequest{
		Group: "g", Command: []byte("a"), ID: [16]byte{1},
		Leadership: leadership{Epoch: status.Epoch, Term: status.Term}, LeaderSent: status.lastLeaderSent,
	}
	require.NotZero(t, request.LeaderSent)
	first, err := leaderGroup.proposeForwarded(context.Background(), request)
	require.NoError(t, err)
	again, err := leaderGroup.proposeForwarded(context.Background(), request)
	require.NoError(t, err)
	assert.Equal(t, first, again)

	request.ID[0]++
	request.LeaderSent -= int64(2 * forwardRetention)
	_, err = leaderGroup.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errNotLeading, "an old request")
	request.ID[0]++
	request.LeaderSent = status.lastLeaderSent
	request.Leadership.Term++
	_, err = leaderGroup.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errNotLeading, "a request for another term")
	request.ID[0]++
	request.Leadership = leadership{}
	_, err = leaderGroup.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errNotLeading, "a request from a blank member")
	c.requireCommands(c.leader(), "a")
}

// Guards against forwarded calls that are kept forever.
func TestForwardTableExpiresCalls(t *testing.T) {
	f := newForwardTable()
	now := time.Unix(0, 0)
	for i := range 100 {
		_, first := f.getOrCreate([16]byte{byte(i)}, now)
		assert.True(t, first)
		now = now.Add(time.Second)
	}
	assert.Len(t, f.calls, 5)
	assert.Len(t, f.byArrival, 5)
}

// Guards against requests that are accepted from members of other groups or
// without the token.
func TestHandlerRejectsForeignRequests(t *testing.T) {
	c := newCluster(t, 1, false, nil)
	url := "http://" + c.nodes[0].address + "/consensus/v1/g"
	cases := []struct {
		desc, path, token string
		body              any
		want              int
	}{
		{"wrong token", pathMessages, "guess", messageBatch{Group: "g"}, http.StatusUnauthorized},
		{"no token", pathMessages, "", messageBatch{Group: "g"}, http.StatusUnauthorized},
		{"other group", pathMessages, "secret", messageBatch{Group: "other"}, http.StatusNotFound},
		{"not CBOR", pathPropose, "secret", "text", http.StatusBadRequest},
		{"unknown path", "/other", "secret", "text", http.StatusNotFound},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tr := &transport{config: Config{Token: tc.token, Client: newClient(time.Second, false, nil)}}
			err := tr.post(context.Background(), url+tc.path, tc.body, nil)
			var status *statusError
			require.ErrorAs(t, err, &status)
			assert.Equal(t, tc.want, status.code)
			assert.Equal(t, tc.path != "/other", wasNotProcessed(err))
		})
	}
}
