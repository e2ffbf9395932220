package catalogfeed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

const testIdleTimeout = 5 * time.Second

func addPlan(t testing.TB, m *plan.StateMachine, n int) {
	t.Helper()
	ch := plan.Change{
		ID: fmt.Sprintf("change-%d", n), BaseVersion: m.Current().Version(),
		SetPlans: []plan.Plan{{ID: fmt.Sprintf("plan-%d", n), Weight: 1, TokenSHA256: []string{fmt.Sprintf("%064x", n)}}},
	}
	m.Apply(0, ch.Encode())
}

func startServer(t *testing.T, m *plan.StateMachine, done chan struct{}) (address string) {
	t.Helper()
	server := httptest.NewServer(NewServer(ServerOptions{
		Source: m, InContact: func() bool { return true }, Done: done, Clock: sys.RealClock{}, Token: "fleet",
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func newClient(token string) *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{}}, Clock: sys.RealClock{}, Token: token, IdleTimeout: testIdleTimeout}
}

func collect(t *testing.T, c *Client, poll Poll) ([]Message, error) {
	t.Helper()
	var messages []Message
	err := c.Do(context.Background(), poll, func(m Message) error {
		messages = append(messages, m)
		return nil
	})
	return messages, err
}

// Guards against a poll that gets no delta, a wrong one or one that it did not
// need.
func TestPollReturnsDeltaOrEnd(t *testing.T) {
	m := plan.NewStateMachine()
	for n := range 3 {
		addPlan(t, m, n)
	}
	address := startServer(t, m, make(chan struct{}))
	cases := []struct {
		desc      string
		poll      Poll
		wantDelta bool
		wantFull  bool
		records   int
	}{
		{"delta", Poll{After: 2}, true, false, 1},
		{"full delta on request", Poll{After: 3, Full: true}, true, true, 3},
		{"nothing new", Poll{After: 3}, false, false, 0},
		{"source is behind", Poll{After: 9}, false, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			tc.poll.Address, tc.poll.Path = address, ControlPath
			messages, err := collect(t, newClient("fleet"), tc.poll)
			require.NoError(t, err)
			last := messages[len(messages)-1]
			assert.Equal(t, uint64(3), last.Version)
			assert.True(t, last.InContact)
			require.Equal(t, tc.wantDelta, last.Delta != nil)
			if tc.wantDelta {
				assert.Equal(t, tc.wantFull, last.Delta.Full)
				assert.Len(t, last.Delta.Records, tc.records)
			}
		})
	}
}

// Guards against a long poll that misses a change, and against one that delays a
// shutdown.
func TestWaitingPollEndsOnChangeAndOnShutdown(t *testing.T) {
	m := plan.NewStateMachine()
	done := make(chan struct{})
	address := startServer(t, m, done)
	poll := Poll{Address: address, Path: ControlPath, Wait: MaxWait}
	var last Message
	err := newClient("fleet").Do(context.Background(), poll, func(message Message) error {
		if last = message; message.Version == 0 {
			addPlan(t, m, 1)
		}
		return nil
	})
	require.NoError(t, err)
	require.NotNil(t, last.Delta)
	poll.After = 1
	err = newClient("fleet").Do(context.Background(), poll, func(message Message) error {
		if last = message; done != nil {
			close(done)
			done = nil
		}
		return nil
	})
	require.NoError(t, err)
	assert.Nil(t, last.Delta)
}

// deadlineRecorder keeps the last write deadline that was set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set  int
	last time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	r.set++
	r.last = deadline
	return nil
}

// Guards against a write deadline that stays set after a poll and breaks a later
// request on the same connection.
func TestWriteDeadlineEndsWithThePoll(t *testing.T) {
	m := plan.NewStateMachine()
	addPlan(t, m, 1)
	server := NewServer(ServerOptions{Source: m, InContact: func() bool { return true }, Clock: sys.RealClock{}, Token: "fleet"})
	for _, query := range []string{"after=0", "after=1"} {
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		request := httptest.NewRequest(http.MethodGet, ControlPath+"?"+query, nil)
		request.Header.Set("Authorization", "Bearer fleet")
		server.ServeHTTP(recorder, request)
		assert.Greater(t, recorder.set, 1)
		assert.Zero(t, recorder.last)
	}
}

// Guards against a poll with a wrong token or invalid parameters that is served.
func TestInvalidPollsAreRejected(t *testing.T) {
	address := startServer(t, plan.NewStateMachine(), make(chan struct{}))
	_, err := collect(t, newClient("wrong"), Poll{Address: address, Path: ControlPath})
	assert.Equal(t, fault.Unauthorized, fault.From(err).Kind)
	for _, query := range []string{"", "after=-1", "after=x", "after=0&wait=5", "after=0&wait=61s", "after=0&wait=-1s", "after=0&full=maybe"} {
		request := httptest.NewRequest(http.MethodGet, ControlPath+"?"+query, nil)
		_, bad := parsePollParams(request)
		require.NotNil(t, bad, query)
		assert.Equal(t, fault.BadRequest, bad.Kind)
	}
}

// Guards against a client that waits forever for a source that accepts the
// connection and sends nothing.
func TestPollOfSilentSourceTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	done := make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			defer connection.Close()
		}
		<-done
	}()
	defer close(done)
	clock := sys.NewManualClock(time.Unix(0, 0))
	c := newClient("fleet")
	c.Clock = clock
	result := make(chan error, 1)
	go func() {
		result <- c.Do(context.Background(), Poll{Address: listener.Addr().String(), Path: ControlPath, Wait: MaxWait}, func(Message) error { return nil })
	}()
	for {
		select {
		case err := <-result:
			assert.ErrorIs(t, err, ErrIdleTimeout)
			return
		default:
			clock.Advance(testIdleTimeout)
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a truncated or damaged response that is accepted. Damage may go
// undetected only if it does not change the content, such as damage to the
// modification time in the gzip header.
func TestDamagedResponsesAreRejected(t *testing.T) {
	m := plan.NewStateMachine()
	for n := range 5 {
		addPlan(t, m, n)
	}
	response := encodedResponse(t, m)
	ignore := func(Message) error { return nil }
	require.NoError(t, readMessages(bytes.NewReader(response), ignore))
	for length := range len(response) {
		require.Error(t, readMessages(bytes.NewReader(response[:length]), ignore), "cut at %d", length)
	}
	start := bytes.IndexByte(response, '\n') + 1
	passed := 0
	for i := start; i < len(response); i += 7 {
		damaged := bytes.Clone(response)
		damaged[i] ^= 0x10
		err := readMessages(bytes.NewReader(damaged), func(message Message) error {
			got, err := plan.EmptySnapshot().Apply(*message.Delta)
			if err == nil {
				require.Equal(t, m.Current().Records(), got.Records(), "damaged at %d", i)
			}
			return err
		})
		passed += lo.Ternary(err == nil, 1, 0)
	}
	assert.LessOrEqual(t, passed, 1, "at most one damaged byte may be without meaning")
}

// encodedResponse returns the bytes of a response with a full delta.
func encodedResponse(t testing.TB, m *plan.StateMachine) []byte {
	t.Helper()
	payload, err := Compress(m.Current().FullDelta())
	require.NoError(t, err)
	var buffer bytes.Buffer
	require.NoError(t, json.NewEncoder(&buffer).Encode(line{Type: lineDelta, Version: 5, Bytes: int64(len(payload))}))
	buffer.Write(payload)
	return buffer.Bytes()
}

func FuzzReadMessages(f *testing.F) {
	m := plan.NewStateMachine()
	addPlan(f, m, 1)
	f.Add(encodedResponse(f, m))
	f.Add([]byte("{\"type\":\"alive\"}\n{\"type\":\"end\"}\n"))
	f.Add([]byte("{\"type\":\"delta\",\"bytes\":-1}\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_ = readMessages(bytes.NewReader(raw), func(message Message) error {
			if message.Delta != nil {
				_, _ = plan.EmptySnapshot().Apply(*message.Delta)
			}
			return nil
		})
	})
}

// slowSource delays each delta until release is closed.
type slowSource struct {
	*plan.StateMachine
	release chan struct{}
}

func (s slowSource) DeltaSince(version uint64) plan.Delta {
	<-s.release
	return s.StateMachine.DeltaSince(version)
}

// Guards against a source that sends nothing while it compresses a large catalog,
// and against a response that times out because the delta took long to apply.
func TestServerSendsAliveLinesWhileCompressing(t *testing.T) {
	source := slowSource{StateMachine: plan.NewStateMachine(), release: make(chan struct{})}
	addPlan(t, source.StateMachine, 1)
	server := httptest.NewServer(NewServer(ServerOptions{Source: source, InContact: func() bool { return true }, Clock: sys.RealClock{}, Token: "fleet"}))
	defer server.Close()
	clock := sys.NewManualClock(time.Unix(0, 0))
	client := newClient("fleet")
	client.Clock = clock
	lines := 0
	var delta *plan.Delta
	err := client.Do(context.Background(), Poll{Address: server.Listener.Addr().String(), Path: ControlPath}, func(m Message) error {
		delta = m.Delta
		if lines++; lines == 3 {
			close(source.release)
		}
		if delta != nil {
			clock.Advance(2 * testIdleTimeout)
		}
		return nil
	})
	require.NoError(t, err)
	assert.NotNil(t, delta)
}
