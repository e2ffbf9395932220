package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/fault"
)

// echo responds with the request body. It reads all of it first, since net/http
// drops the unread part when the response begins.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Guards against an invalid request that gets an unexpected error kind or effect,
// or stops the process.
func TestInvalidRequests(t *testing.T) {
	c := newCluster(t, "north", "north")
	c.addTarget(t, "north", echo)
	malformed := map[string]string{headerKey: "not-a-uuid"}
	version4 := map[string]string{headerKey: "9b2d7a56-3f0e-4c5d-8a11-2f9d6f1c0a77"}
	withKey := func(more ...string) map[string]string {
		h := map[string]string{headerKey: newKey()}
		for i := 0; i < len(more); i += 2 {
			h[more[i]] = more[i+1]
		}
		return h
	}
	long := strings.Repeat("x", 40<<10)
	cases := []struct {
		desc, method, path, body string
		header                   map[string]string
		kind                     fault.Kind
		effect                   fault.Effect
	}{
		{"no service", "GET", "/nothing", "", nil, fault.UnknownService, fault.NotRun},
		{"bad service name", "GET", "/s/a%20b/x", "", nil, fault.UnknownService, fault.NotRun},
		{"service without entitlement", "GET", "/s/other/x", "", nil, fault.NotEntitled, fault.NotRun},
		{"wrong token", "GET", "/s/consents/x", "", map[string]string{"Authorization": "Bearer wrong"}, fault.Unauthorized, fault.NotRun},
		{"no bearer", "GET", "/s/consents/x", "", map[string]string{"Authorization": "Basic x"}, fault.Unauthorized, fault.NotRun},
		{"wrong token with key", "POST", "/s/consents/x", "b", withKey("Authorization", "Bearer wrong"), fault.Unauthorized, fault.Unknown},
		{"malformed key", "POST", "/s/consents/x", "b", malformed, fault.KeyInvalid, fault.NotRun},
		{"key of another version", "POST", "/s/consents/x", "b", version4, fault.KeyInvalid, fault.NotRun},
		{"no key", "POST", "/s/consents/x", "b", nil, fault.KeyRequired, fault.NotRun},
		{"bad timeout", "GET", "/s/consents/x", "", map[string]string{headerTimeout: "5"}, fault.BadRequest, fault.NotRun},
		{"long timeout", "GET", "/s/consents/x", "", map[string]string{headerTimeout: "2m"}, fault.BadRequest, fault.NotRun},
		{"bad request id", "GET", "/s/consents/x", "", map[string]string{headerRequestID: "a b"}, fault.BadRequest, fault.NotRun},
		{"large header", "GET", "/s/consents/x", "", map[string]string{"X-Long": long}, fault.HeaderTooLarge, fault.NotRun},
		{"large header with key", "POST", "/s/consents/x", "b", withKey("X-Long", long), fault.HeaderTooLarge, fault.Unknown},
		{"large body with key", "POST", "/s/consents/x", strings.Repeat("b", maxKeyedBody+1), withKey(), fault.BodyTooLarge, fault.Unknown},
		{"method", "TRACE", "/s/consents/x", "", nil, fault.BadRequest, fault.NotRun},
		{"no targets", "GET", "/s/idle/x", "", nil, fault.NoUpstream, fault.NotRun},
		{"no targets with key", "POST", "/s/idle/x", "b", withKey(), fault.NoUpstream, fault.Unknown},
	}
	for _, tc := range cases {
		for i, n := range c.nodes {
			t.Run(fmt.Sprintf("%s at node %d", tc.desc, i), func(t *testing.T) {
				g := n.call(t, tc.method, tc.path, tc.body, tc.header)
				require.NotNil(t, g.err, "status %d", g.status)
				assert.Equal(t, tc.kind, g.err.Kind, g.err.Detail)
				assert.Equal(t, tc.effect, g.err.Effect)
				assert.Equal(t, fault.ResponseOf(tc.kind).Status, g.status)
				assert.NotEmpty(t, g.header.Get(headerRequestID))
			})
		}
	}
	for _, n := range c.nodes {
		assert.Equal(t, http.StatusOK, n.call(t, "GET", "/s/consents/x", "", nil).status, "the entry must still serve requests")
	}
}

// Guards against bodies, request ids, paths, queries and headers being changed
// when a request is forwarded, whichever entry receives it.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		assert.Empty(t, r.Header.Get("Authorization"))
		assert.Empty(t, r.Header.Get(headerPlan))
		w.Header().Set("X-Saw", r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+r.Header.Get("X-Own"))
		w.WriteHeader(http.StatusTeapot)
		echo(w, r)
	})
	for i, n := range c.nodes {
		for _, size := range []int{0, 10, 70_000, 3 << 20} {
			body := strings.Repeat("u", size)
			header := map[string]string{headerRequestID: fmt.Sprintf("id-%d-%d", i, size), "X-Own": "v", headerPlan: "forged"}
			g := n.call(t, "PUT", "/s/consents/uploads/a%2Fb//c?q=1&r=%20", body, header)
			require.Nil(t, g.err)
			assert.Equal(t, http.StatusTeapot, g.status)
			assert.Equal(t, "/uploads/a%2Fb//c?q=1&r=%20 v", g.header.Get("X-Saw"))
			assert.Equal(t, header[headerRequestID], g.header.Get(headerRequestID))
			assert.True(t, body == g.body, "body of %d bytes", size)
		}
	}
}

// Guards against a sender that stalls within the body keeping a request open
// forever.
func TestSlowSender(t *testing.T) {
	c := newCluster(t, "north")
	c.addTarget(t, "north", echo)
	conn, err := net.Dial("tcp", c.nodes[0].callers.Address())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "PUT /s/consents/uploads HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nabc", testToken)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*readTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, fault.SlowSender, fault.Decode(raw).Kind)
	assert.Equal(t, http.StatusOK, c.nodes[0].call(t, "GET", "/s/consents/x", "", nil).status)
}

// Guards against a status that says that the request did not run, if its sender
// stalls after part of the body has reached the target.
func TestSlowSenderOfStreamedBody(t *testing.T) {
	c := newCluster(t, "north")
	c.addTarget(t, "north", echo)
	conn, err := net.Dial("tcp", c.nodes[0].callers.Address())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "PUT /s/consents/uploads HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 30s\r\nContent-Length: %d\r\n\r\n%s",
		testToken, 4*maxBufferedBody, strings.Repeat("x", 2*maxBufferedBody))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*readTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "%s", raw)
	assert.Equal(t, fault.Unknown, fault.Decode(raw).Effect)
}

// stalledBody sends its data, waits until the owner must have acknowledged the
// request, and then fails like a body of net/http whose read deadline has passed:
// the context of the request is canceled before Read returns.
type stalledBody struct {
	data   io.Reader
	cancel context.CancelFunc
}

func (b *stalledBody) Read(p []byte) (int, error) {
	n, err := b.data.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	time.Sleep(ackTimeout)
	b.cancel()
	time.Sleep(50 * time.Millisecond)
	return 0, os.ErrDeadlineExceeded
}

func newStalledUpload(t *testing.T) *http.Request {
	ctx, cancel := context.WithCancel(t.Context())
	body := &stalledBody{data: strings.NewReader(strings.Repeat("x", 2*maxBufferedBody)), cancel: cancel}
	r := httptest.NewRequestWithContext(ctx, http.MethodPut, "/s/consents/uploads", body)
	r.ContentLength = 4 * maxBufferedBody
	return r
}

// serveTestCaller has the node serve a request without a server, so that a test
// decides when its context ends.
func (n *node) serveTestCaller(r *http.Request) *httptest.ResponseRecorder {
	r.Header.Set("Authorization", "Bearer "+testToken)
	w := httptest.NewRecorder()
	n.CallerHandler().ServeHTTP(w, r)
	return w
}

// Guards against an error that names the deadline or the owner as the cause, if the
// canceled context of a stalled request is noticed before the error of its body.
func TestStalledBodyNoticedByContextFirst(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", echo)
	for rank, n := range c.ranked("north") {
		w := n.serveTestCaller(newStalledUpload(t))
		got := fault.Decode(w.Body.Bytes())
		assert.Equal(t, http.StatusBadGateway, w.Code, "rank %d: %s", rank, w.Body)
		assert.Equal(t, fault.OutcomeUnknown, got.Kind, "rank %d", rank)
		assert.Equal(t, fault.Unknown, got.Effect, "rank %d", rank)
	}
}

// Guards against an isolated entry, whose plans may be outdated, serving requests.
func TestIsolatedEntryRejectsRequests(t *testing.T) {
	c := newCluster(t, "north")
	c.addTarget(t, "north", echo)
	c.catalog.freshness.Store(configsync.Isolated)
	g := c.nodes[0].call(t, "GET", "/s/consents/x", "", nil)
	require.NotNil(t, g.err)
	assert.Equal(t, fault.Isolated, g.err.Kind)
	c.catalog.freshness.Store(configsync.RegionCut)
	assert.Equal(t, http.StatusOK, c.nodes[0].call(t, "GET", "/s/consents/x", "", nil).status)
}

// Guards against the operator API, the peer API and announcements being
// accessible without their tokens.
func TestTokensAreRequired(t *testing.T) {
	c := newCluster(t, "north")
	n := c.nodes[0]
	for _, path := range []string{"/admin/v1/members", "/admin/v1/upstreams", "/admin/v1/status"} {
		assert.Equal(t, fault.Unauthorized, n.call(t, "GET", path, "", nil).err.Kind)
		g := n.call(t, "GET", path, "", map[string]string{"Authorization": "Bearer operator"})
		assert.Equal(t, http.StatusOK, g.status)
		assert.Contains(t, g.body, "{")
	}
	assert.Equal(t, fault.Unauthorized, n.call(t, "POST", "/v1/announcements", "{}", nil).err.Kind)
	peer := &node{callers: n.peerServer}
	assert.Equal(t, fault.Unauthorized, peer.call(t, "GET", "/peer/v1/requests/consents/x", "", nil).err.Kind)
	assert.Equal(t, fault.Unauthorized, peer.call(t, "POST", "/peer/v1/announcements", "{}", nil).err.Kind)
}

// Guards against a response that starts before the end of the upload being held
// back until the whole upload has been sent.
func TestResponseStartsBeforeEndOfBody(t *testing.T) {
	c := newCluster(t, "north", "north", "north")
	c.addTarget(t, "north", func(w http.ResponseWriter, r *http.Request) {
		assert.NoError(t, http.NewResponseController(w).EnableFullDuplex())
		_, _ = io.WriteString(w, strings.Repeat("a", 4*maxBufferedResponse))
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "read %d %v", n, err)
	})
	for _, n := range c.ranked("north") {
		sender, content := io.Pipe()
		r, err := http.NewRequest(http.MethodPut, "http://"+n.callers.Address()+"/s/consents/uploads", sender)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+testToken)
		part := []byte(strings.Repeat("u", 2*maxBufferedBody))
		go func() { _, _ = content.Write(part) }()
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		go func() {
			_, _ = content.Write(part)
			_ = content.Close()
		}()
		raw, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.True(t, strings.HasSuffix(string(raw), fmt.Sprintf("aread %d <nil>", 2*len(part))), string(raw[max(0, len(raw)-50):]))
	}
}
