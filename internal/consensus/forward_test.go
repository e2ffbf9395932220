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

// silentTripper loses the answers to forwarded proposals, and the requests too
// if loseRequests is set. Other requests pass.
type silentTripper struct {
	next         http.RoundTripper
	loseRequests atomic.Bool
	lost         atomic.Int32
}

func (s *silentTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, pathPropose) {
		return s.next.RoundTrip(r)
	}
	s.lost.Add(1)
	if !s.loseRequests.Load() {
		response, err := s.next.RoundTrip(r.Clone(context.WithoutCancel(r.Context())))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Guards against a forwarded command that is proposed twice, or not at all,
// when the connection to the leader is silent.
func TestForwardOverSilentConnection(t *testing.T) {
	for _, loseRequests := range []bool{false, true} {
		tripper := &silentTripper{next: newClient(time.Second, true).Transport}
		tripper.loseRequests.Store(loseRequests)
		c := newCluster(t, 3, false, func(c *Config) { c.Client = &http.Client{Transport: tripper} })
		c.settled()
		follower := (c.leader() + 1) % 3
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := c.nodes[follower].group.Propose(ctx, []byte("a"))
		cancel()
		require.NoError(t, err)
		assert.Equal(t, int32(1), tripper.lost.Load())
		c.expect(follower, "a")
	}
}

// Guards against a repeated request that is proposed a second time.
func TestRepeatedForwardIsProposedOnce(t *testing.T) {
	c := newCluster(t, 3, false, nil)
	c.settled()
	leading := c.nodes[c.leader()].group
	status := c.nodes[(c.leader()+1)%3].group.Status()
	request := proposeRequest{
		Group: "g", Command: []byte("a"), ID: [16]byte{1},
		Lead: lead{Epoch: status.Epoch, Term: status.Term}, Stamp: status.leaderStamp,
	}
	require.NotZero(t, request.Stamp)
	first, err := leading.proposeForwarded(context.Background(), request)
	require.NoError(t, err)
	again, err := leading.proposeForwarded(context.Background(), request)
	require.NoError(t, err)
	assert.Equal(t, first, again)

	request.ID[0]++
	request.Stamp -= int64(2 * forwardRetention)
	_, err = leading.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errOtherLeader, "an old request")
	request.ID[0]++
	request.Stamp = status.leaderStamp
	request.Lead.Term++
	_, err = leading.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errOtherLeader, "a request for another lead")
	request.ID[0]++
	request.Lead = lead{}
	_, err = leading.proposeForwarded(context.Background(), request)
	assert.ErrorIs(t, err, errOtherLeader, "a request of a blank member")
	c.expect(c.leader(), "a")
}

// Guards against forwarded calls that are kept without end.
func TestForwardTableForgets(t *testing.T) {
	f := newForwardTable()
	now := time.Unix(0, 0)
	for i := range 100 {
		_, first := f.get([16]byte{byte(i)}, now)
		assert.True(t, first)
		now = now.Add(time.Second)
	}
	assert.Len(t, f.calls, 5)
	assert.Len(t, f.order, 5)
}

// Guards against members of other groups and strangers being listened to.
func TestHandlerRefusesStrangers(t *testing.T) {
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
			tr := &transport{config: Config{Token: tc.token, Client: newClient(time.Second, false)}}
			err := tr.post(context.Background(), url+tc.path, tc.body, nil)
			var status *statusError
			require.ErrorAs(t, err, &status)
			assert.Equal(t, tc.want, status.code)
			assert.Equal(t, tc.path != "/other", neverSent(err))
		})
	}
}
