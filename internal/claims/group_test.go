package claims

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/consensus"
	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/workerpool"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// fakeGroup applies each command to the tables of all members at once.
type fakeGroup struct {
	mu     sync.Mutex
	leader string
	tables []*Table
	index  uint64
	lose   int // results of the next commands that are lost
	down   bool
}

type fakeMember struct {
	name  string
	group *fakeGroup
}

func (m fakeMember) Leader() (string, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.leader, m.group.leader == m.name
}

func (m fakeMember) ReadBarrier(context.Context) error { return nil }

func (m fakeMember) Propose(_ context.Context, c []byte) ([]byte, error) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return nil, consensus.ErrNotLeader
	}
	g.index++
	var result []byte
	for _, t := range g.tables {
		result = t.Apply(g.index, c)
	}
	if g.lose > 0 {
		g.lose--
		return nil, consensus.ErrUnknownOutcome
	}
	return result, nil
}

func (g *fakeGroup) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// newFakeGroup serves the members of a group over HTTP and returns a client
// that is not a member.
func newFakeGroup(t *testing.T, members int) (*fakeGroup, *GroupClient) {
	group := &fakeGroup{leader: "m0"}
	list := GroupSettings{Name: "g", Region: "r"}
	for n := range members {
		name := fmt.Sprintf("m%d", n)
		table := NewTable(DefaultLimits())
		group.tables = append(group.tables, table)
		server := NewServer()
		server.Add("g", NewMember(table, fakeMember{name, group}, sys.RealClock{}, name))
		web := httptest.NewServer(server.Handler())
		t.Cleanup(web.Close)
		list.Members = append(list.Members, MemberSettings{Name: name, Address: strings.TrimPrefix(web.URL, "http://")})
	}
	transport := &http.Transport{}
	pool := workerpool.New(1, 1)
	t.Cleanup(func() {
		pool.Stop()
		transport.CloseIdleConnections()
	})
	return group, NewClient(ClientConfig{
		Groups: []GroupSettings{list}, Self: "outside", Transport: transport,
		Clock: sys.RealClock{}, Pool: pool, Limits: DefaultLimits(),
	})
}

func requestOf(n int, attempt string) Request {
	key := NewKey(time.Now(), [10]byte{9: byte(n)})
	return Request{Plan: "p", HomeRegion: "r", Key: key.String(), Attempt: attempt, Holder: attempt + "/1"}
}

func TestClientCalls(t *testing.T) {
	ctx := context.Background()
	group, client := newFakeGroup(t, 3)
	a := requestOf(1, "a")
	b := a
	b.Attempt, b.Holder = "b", "b/1"

	group.set(func() { group.lose = 1 })
	first, err := client.Claim(ctx, a)
	require.NoError(t, err)
	assert.Equal(t, Granted, first.State, "a repeated claim must give the lost result")
	second, err := client.Claim(ctx, b)
	require.NoError(t, err)
	assert.Equal(t, Result{State: Running, Holder: "a/1"}, second)

	short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	waited, err := client.Wait(short, b)
	require.NoError(t, err)
	assert.Equal(t, Running, waited.State)

	done := make(chan Result, 1)
	go func() {
		result, _ := client.Wait(ctx, b)
		done <- result
	}()
	group.set(func() { group.leader = "m2" })
	answer := Answer{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("x")}
	require.NoError(t, client.Complete(ctx, a, answer))
	assert.Equal(t, &answer, (<-done).Answer)
	assert.ErrorIs(t, client.Complete(ctx, b, answer), ErrNotHolder)
}

// Guards against the end of an attempt that is lost while the group is down.
func TestSettlementsAreRepeated(t *testing.T) {
	group, client := newFakeGroup(t, 3)
	a := requestOf(1, "a")
	_, err := client.Claim(context.Background(), a)
	require.NoError(t, err)
	group.set(func() { group.down = true })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = client.Claim(ctx, requestOf(2, "c"))
	assert.Equal(t, fault.ClaimsUnavailable, fault.From(err).Kind)
	require.Error(t, client.Complete(ctx, a, Answer{Status: 200, Body: []byte("late")}))
	assert.Equal(t, 1, client.Pending())
	group.set(func() { group.down = false })
	b := a
	b.Attempt = "b"
	result, err := client.Wait(context.Background(), b)
	require.NoError(t, err)
	assert.Equal(t, "late", string(result.Answer.Body))
}

func TestAcquire(t *testing.T) {
	ctx := context.Background()
	_, client := newFakeGroup(t, 1)
	begin := time.Now()
	until, ok, err := client.Acquire(ctx, "r", "eject/s", "a/1", 3*time.Second)
	require.NoError(t, err)
	assert.True(t, ok)
	assert.False(t, until.After(time.Now().Add(3*time.Second)))
	assert.False(t, until.Before(begin.Add(3*time.Second)))
	_, ok, err = client.Acquire(ctx, "r", "eject/s", "b/1", 3*time.Second)
	require.NoError(t, err)
	assert.False(t, ok)
	_, _, err = client.Acquire(ctx, "other", "eject/s", "b/1", 3*time.Second)
	var known *fault.Error
	assert.True(t, errors.As(err, &known))
}

// Guards against entries that choose other groups for the same key. The
// expected names are part of the interface between versions.
func TestGroupChoice(t *testing.T) {
	groups := []GroupSettings{{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"}}
	counts := map[string]int{}
	for n := range 1000 {
		key := NewKey(time.UnixMilli(testNowMS), [10]byte{8: byte(n >> 8), 9: byte(n)})
		g, ok := groupOfKey(groups, "a", "p", key)
		require.True(t, ok)
		assert.Equal(t, "a", g.Region)
		g, _ = groupOfKey(groups, "", "p", key)
		counts[g.Name]++
	}
	assert.Equal(t, map[string]int{"a1": 344, "a2": 308, "b1": 348}, counts)
	_, ok := groupOfKey(groups, "c", "p", Key{})
	assert.False(t, ok)
}

// Guards against an answer that is lost, or altered on the way to a resend,
// because its header is not valid UTF-8.
func TestHeaderBytesAreKept(t *testing.T) {
	ctx := context.Background()
	_, client := newFakeGroup(t, 3)
	memory := NewMemory(sys.RealClock{}, DefaultLimits())
	answer := Answer{Status: 200, Header: http.Header{"A": {"caf\xe9"}, "B": {"1", "2"}}, Body: []byte("\xff")}
	for _, c := range []Client{client, memory} {
		a := requestOf(1, "a")
		_, err := c.Claim(ctx, a)
		require.NoError(t, err)
		require.NoError(t, c.Complete(ctx, a, answer))
		a.Attempt = "b"
		result, err := c.Claim(ctx, a)
		require.NoError(t, err)
		assert.Equal(t, &answer, result.Answer)
	}
}
