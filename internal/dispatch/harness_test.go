package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/claims"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/owner"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/upstream"
	"github.com/sequoialane/sequoialane/internal/upstreamclient"
)

// fakeScheduler grants the targets in turn, without a queue.
type fakeScheduler struct {
	targets       []string
	retries       int
	rejection     *fault.Error
	hold          chan struct{} // grants wait until it is closed; nil: no wait
	refusedHedges int           // hedges refused before others are allowed

	mu     sync.Mutex
	next   int
	open   map[uint64]bool
	lastID uint64
	hedges int
	done   []owner.Outcome
}

type fakeTicket struct {
	granted    chan owner.Grant
	tries      int
	idempotent bool
}

func (t *fakeTicket) Granted() <-chan owner.Grant { return t.granted }
func (t *fakeTicket) Err() *fault.Error           { return nil }
func (t *fakeTicket) Cancel()                     {}

func (s *fakeScheduler) grant() owner.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.targets[s.next%len(s.targets)]
	s.next++
	s.lastID++
	if s.open == nil {
		s.open = map[uint64]bool{}
	}
	s.open[s.lastID] = true
	return owner.Grant{Target: upstream.Target{Address: address, EchoesRequestID: true}, AttemptID: s.lastID}
}

func (s *fakeScheduler) Submit(r owner.Request) (Ticket, *fault.Error) {
	if s.rejection != nil {
		return nil, s.rejection
	}
	t := &fakeTicket{granted: make(chan owner.Grant, 1), idempotent: r.Idempotent}
	if s.hold != nil {
		go func() {
			<-s.hold
			t.granted <- s.grant()
		}()
		return t, nil
	}
	t.granted <- s.grant()
	return t, nil
}

func (s *fakeScheduler) EndAttempt(g owner.Grant, o owner.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[g.AttemptID] {
		panic(fmt.Sprintf("attempt %d ended twice", g.AttemptID))
	}
	delete(s.open, g.AttemptID)
	s.done = append(s.done, o)
}

func (s *fakeScheduler) Retry(ticket Ticket, o owner.Outcome) bool {
	t := ticket.(*fakeTicket)
	notRun := o.NotRun || o.Kind == owner.ConnectFailed
	if t.tries >= s.retries || !t.idempotent && !notRun {
		return false
	}
	t.tries++
	t.granted <- s.grant()
	return true
}

func (s *fakeScheduler) Hedge(Ticket) (owner.Grant, bool) {
	s.mu.Lock()
	allowed := s.refusedHedges <= 0 && s.hedges > 0
	if s.refusedHedges--; allowed {
		s.hedges--
	}
	s.mu.Unlock()
	if !allowed {
		return owner.Grant{}, false
	}
	return s.grant(), true
}

func (s *fakeScheduler) HedgeDelay(owner.Request) time.Duration { return 50 * time.Millisecond }

// fakeUpstream is a target that counts the runs of each key.
type fakeUpstream struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	// serve responds to a request and counts it if it runs. nil: the request is
	// counted and gets status 200 with the body "done".
	serve func(w http.ResponseWriter, r *http.Request)
}

func newUpstream(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *fakeUpstream {
	u := &fakeUpstream{runs: map[string]int{}, serve: serve}
	u.Server = httptest.NewServer(http.HandlerFunc(u.handle))
	t.Cleanup(u.Close)
	return u
}

func (u *fakeUpstream) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = io.Copy(io.Discard, r.Body)
	if u.serve == nil {
		u.count(r)
		_, _ = io.WriteString(w, "done")
		return
	}
	u.serve(w, r)
}

func (u *fakeUpstream) count(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Header.Get("Idempotency-Key")]++
}

func (u *fakeUpstream) runsOf(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

func (u *fakeUpstream) address() string { return strings.TrimPrefix(u.URL, "http://") }

// fixture is a dispatcher with claims in memory.
type fixture struct {
	*Dispatcher
	claims *claims.MemoryClient
	sender *upstreamclient.Client
	dead   sync.Map // names of dead holders
}

var attempts atomic.Uint64

func newFixture(t *testing.T, memory *claims.MemoryClient, holder string) *fixture {
	f := &fixture{claims: memory, sender: upstreamclient.New(sys.RealClock{})}
	f.Dispatcher = New(Config{
		Claims: memory,
		Sender: f.sender,
		Clock:  sys.RealClock{},
		Holder: holder,
		HolderDead: func(holder string) bool {
			_, dead := f.dead.Load(holder)
			return dead
		},
		NewAttemptID:        func() string { return fmt.Sprintf("attempt-%d", attempts.Add(1)) },
		Limits:              claims.DefaultLimits(),
		HolderCheckInterval: 10 * time.Millisecond,
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		require.NoError(t, f.Drain(ctx))
		f.sender.Close()
	})
	return f
}

func newMemory() *claims.MemoryClient {
	return claims.NewMemoryClient(sys.RealClock{}, claims.DefaultLimits())
}

var keys atomic.Uint32

// newKey returns a key of the given age.
func newKey(age time.Duration) string {
	n := keys.Add(1)
	return claims.NewKey(time.Now().Add(-age), [10]byte{9: byte(n), 8: byte(n >> 8), 7: byte(n >> 16)}).String()
}

func post(key string) Request {
	return Request{
		ID:            "request-" + key,
		Service:       "consents",
		Method:        http.MethodPost,
		URL:           &url.URL{Path: "/consents", RawQuery: "a=1"},
		Header:        http.Header{"Idempotency-Key": {key}},
		Body:          io.NopCloser(strings.NewReader("fell oak 7")),
		ContentLength: 10,
		Plan:          "p1",
		Key:           key,
		Deadline:      time.Now().Add(20 * time.Second),
	}
}

func get() Request {
	return Request{
		ID:         "request-get",
		Service:    "orders",
		Method:     http.MethodGet,
		URL:        &url.URL{Path: "/orders"},
		Header:     http.Header{},
		Idempotent: true,
		Deadline:   time.Now().Add(20 * time.Second),
	}
}

// bodyOf reads and closes the response of a result.
func bodyOf(t *testing.T, result Result) string {
	t.Helper()
	require.Nil(t, result.Err)
	defer func() { _ = result.Response.Body.Close() }()
	data, err := io.ReadAll(result.Response.Body)
	require.NoError(t, err)
	return string(data)
}
