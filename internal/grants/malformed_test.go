package grants

import (
	"bytes"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/pool"
)

func encoded(t testing.TB, call any) []byte {
	t.Helper()
	raw, err := cbor.Marshal(call)
	require.NoError(t, err)
	return raw
}

// Guards against memory that calls for unknown groups take: each group has a pool.
func TestUnknownGroupsCreateNoPool(t *testing.T) {
	r := newTestRegion(t, 1, 2)
	for _, group := range []Group{
		{Service: "unknown", Shards: 1}, {Service: "s", Shard: 5, Shards: 2}, {Service: "s", Shard: -1, Shards: 2}, {Service: "s", Shards: 1 << 30},
	} {
		for path, call := range map[string]any{
			AcquirePath: AcquireRequest{Group: group, Request: request("q"), MaxWait: time.Millisecond},
			ReleasePath: ReleaseRequest{Group: group, LeaseID: 1}, WithdrawPath: WithdrawRequest{Group: group, Call: 1}, EvidencePath: EvidenceRequest{Group: group},
		} {
			response, err := http.Post("http://"+r.servers[0].Listener.Addr().String()+path, "", bytes.NewReader(encoded(t, call)))
			require.NoError(t, err)
			_ = response.Body.Close()
		}
	}
	assert.Empty(t, r.brokers[0].pools)
}

// Guards against numbers in a report that spoil the comparison of costs, after
// which the first target would get all requests.
func TestReportsWithoutFiniteNumbers(t *testing.T) {
	r := newTestRegion(t, 1, 3)
	group := Group{Service: "s", Shards: 1}
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		r.brokers[0].pool(group).Merge(pool.Report{Region: "r2", MeanIdle: x, Targets: []pool.TargetEstimate{{Target: "t0", FailingProbability: x, Age: -time.Hour}}})
	}
	for _, s := range r.brokers[0].Status()["s"] {
		assert.InDelta(t, 0.15, s.FailingProbability, 0.15, s.ID)
	}
}

// FuzzPeerCalls sends arbitrary bodies to the handlers for other entries. None may
// end the process, and a good call must be served afterwards.
func FuzzPeerCalls(f *testing.F) {
	group := Group{Service: "s", Shards: 1}
	f.Add(0, encoded(f, AcquireRequest{Group: group, Request: request("q"), MaxWait: time.Millisecond}))
	f.Add(1, encoded(f, ReleaseRequest{Group: group, LeaseID: 1, Outcome: pool.Outcome{Kind: pool.OK, Took: -1, Load: &pool.Load{Running: -5}}}))
	f.Add(2, encoded(f, EvidenceRequest{Group: group, Report: pool.Report{Region: "r2", MeanIdle: math.NaN()}}))
	f.Add(3, encoded(f, WithdrawRequest{Group: group, Call: 1}))
	f.Add(0, []byte(`{"group":{"service":"s","shards":1},"request":{"objective":-1,"time_left":9223372036854775807,"bytes":-9}}`))
	f.Fuzz(func(t *testing.T, path int, body []byte) {
		r := newTestRegion(t, 1, 2)
		paths := []string{AcquirePath, ReleasePath, EvidencePath, WithdrawPath}
		handler := r.brokers[0].Handler()
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, paths[uint(path)%uint(len(paths))], bytes.NewReader(body)))
		w := httptest.NewRecorder()
		good := encoded(t, AcquireRequest{Group: group, Request: request("good"), MaxWait: 10 * time.Millisecond})
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, AcquirePath, bytes.NewReader(good)))
		assert.Equal(t, http.StatusOK, w.Code)
	})
}
