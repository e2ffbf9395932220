package address

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/ownership"
	"github.com/sequoialane/sequoialane/internal/sys"
)

func fleet() []membership.Member {
	var list []membership.Member
	for i := range 12 {
		region := "north"
		if i >= 10 {
			region = "south"
		}
		list = append(list, membership.Member{
			Name: fmt.Sprintf("entry-%d", i), Region: region, State: membership.Alive,
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", i), Load: float64(i),
		})
	}
	return list
}

// Guards against callers being directed to entries that must not get new
// requests.
func TestBuildOmitsUnusableEntries(t *testing.T) {
	states := []struct {
		desc   string
		change func(m *membership.Member)
	}{
		{"draining", func(m *membership.Member) { m.State = membership.Draining }},
		{"dead", func(m *membership.Member) { m.State = membership.Dead }},
		{"left", func(m *membership.Member) { m.State = membership.Left }},
		{"isolated", func(m *membership.Member) { m.Isolated = true }},
	}
	for _, tc := range states {
		t.Run(tc.desc, func(t *testing.T) {
			list := fleet()
			owner := ownership.Rank(list, "consents", "north")[0].Name
			for i := range list {
				if list[i].Name == owner {
					tc.change(&list[i])
				}
			}
			response := Build(list, "consents", "north", DefaultTimeToLive)
			next := ownership.Rank(list, "consents", "north")[0]
			assert.NotEqual(t, owner, next.Name)
			assert.Equal(t, next.CallerAddress, response.Addresses[0].Address)
			assert.True(t, response.Addresses[0].Owner)
		})
	}
}

func TestBuild(t *testing.T) {
	list := fleet()
	ranked := ownership.Rank(list, "consents", "north")
	response := Build(list, "consents", "north", 2*time.Hour)
	assert.EqualValues(t, 60_000, response.TimeToLiveMS, "time to live is bounded")
	require.Len(t, response.Addresses, MaxAddresses)
	assert.Equal(t, ranked[0].CallerAddress, response.Addresses[0].Address)
	assert.Equal(t, ranked[1].CallerAddress, response.Addresses[1].Address)
	for i := 3; i < len(response.Addresses); i++ {
		assert.GreaterOrEqual(t, response.Addresses[i-1].Weight, response.Addresses[i].Weight, "weights decrease with load")
	}
	assert.Len(t, Build(list, "consents", "south", time.Second).Addresses, 2)
	fallback := Build(list, "consents", "west", time.Second)
	assert.Len(t, fallback.Addresses, MaxAddresses, "a region without entries gets those of other regions")
	assert.False(t, fallback.Addresses[0].Owner)
	assert.NotNil(t, Build(nil, "consents", "north", time.Second).Addresses, "JSON must hold an empty list")
	assert.Equal(t, 100, weight(0))
	assert.Equal(t, 1, weight(1e9))
}

type fakeMembers struct {
	list  []membership.Member
	epoch uint64
}

func (f *fakeMembers) Members() []membership.Member { return f.list }
func (f *fakeMembers) Epoch() uint64                { return f.epoch }

// Guards against a draining entry being listed because of a cached member list.
func TestHandlerReloadsMembersOnNewEpoch(t *testing.T) {
	source := &fakeMembers{list: fleet()}
	clock := sys.NewManualClock(time.Unix(0, 0))
	h := Handler(source, clock, "south", DefaultTimeToLive)
	listed := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?service=consents", nil))
		var response Response
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
		return len(response.Addresses)
	}
	require.Equal(t, 2, listed())
	source.list = source.list[:11]
	assert.Equal(t, 2, listed(), "the cached list is used")
	source.epoch++
	assert.Equal(t, 1, listed())
	source.list = fleet()
	clock.Advance(2 * maxCacheAge)
	assert.Equal(t, 2, listed())
}

func TestHandler(t *testing.T) {
	h := Handler(&fakeMembers{list: fleet()}, sys.RealClock{}, "south", DefaultTimeToLive)
	cases := []struct {
		desc, query string
		status      int
		region      string
	}{
		{"home region", "?service=consents", http.StatusOK, "south"},
		{"named region", "?service=consents&region=north", http.StatusOK, "north"},
		{"no service", "", http.StatusBadRequest, ""},
		{"bad service", "?service=../x", http.StatusBadRequest, ""},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+tc.query, nil))
			require.Equal(t, tc.status, w.Code)
			if tc.status == http.StatusOK {
				var response Response
				require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response))
				assert.Equal(t, tc.region, response.Region)
			}
		})
	}
}
