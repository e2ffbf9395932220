package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

const validAnnouncement = `{"service":"consents","address":"10.0.0.9:80","region":"north","data_centre":"north-a","slots":2,` +
	`"state":"serving","incarnation":7,"sequence":1,"routes":[{"method":"POST","path_prefix":"/x","idempotent":true}],"probe_path":"/p"}`

type fakeOwners struct {
	ranked  []membership.Member
	down    map[string]bool
	result  upstream.ApplyResult // result of forwarding to another entry; default Renewed
	mu      sync.Mutex
	reached []string
}

func (f *fakeOwners) Rank(string, string) []membership.Member { return f.ranked }

func (f *fakeOwners) ApplyAnnouncement(upstream.Announcement) upstream.ApplyResult {
	return upstream.Applied
}

func (f *fakeOwners) ForwardAnnouncement(_ context.Context, peer membership.Member, _ upstream.Announcement) (upstream.ApplyResult, error) {
	if f.down[peer.Name] {
		return "", errors.New("unreachable")
	}
	f.mu.Lock()
	f.reached = append(f.reached, peer.Name)
	f.mu.Unlock()
	if f.result != "" {
		return f.result, nil
	}
	return upstream.Renewed, nil
}

func post(h http.Handler, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body)))
	return w
}

// Guards against an invalid announcement being sent to an owner.
func TestHandlerRejectsInvalidAnnouncements(t *testing.T) {
	cases := []struct {
		desc, old, new string
		kind           fault.Kind
	}{
		{"unknown field", `"slots"`, `"slotz"`, fault.BadRequest},
		{"service", `"consents"`, `"Con sents"`, fault.BadRequest},
		{"host name", `10.0.0.9:80`, `host:80`, fault.BadRequest},
		{"port 0", `10.0.0.9:80`, `10.0.0.9:0`, fault.BadRequest},
		{"unspecified address", `10.0.0.9:80`, `0.0.0.0:80`, fault.BadRequest},
		{"no slots", `"slots":2`, `"slots":0`, fault.BadRequest},
		{"negative slots", `"slots":2`, `"slots":-1`, fault.BadRequest},
		{"state", `"serving"`, `"fine"`, fault.BadRequest},
		{"incarnation", `"incarnation":7`, `"incarnation":0`, fault.BadRequest},
		{"route method", `"POST"`, `"post it"`, fault.BadRequest},
		{"route path", `"/x"`, `"x"`, fault.BadRequest},
		{"probe path", `"/p"`, `"p?q"`, fault.BadRequest},
		{"two objects", `"probe_path":"/p"}`, `"probe_path":"/p"}{}`, fault.BadRequest},
		{"too large", `"/p"`, `"/` + strings.Repeat("p", maxBodyBytes) + `"`, fault.BodyTooLarge},
	}
	owners := &fakeOwners{ranked: []membership.Member{{Name: "a"}}}
	h := (&Server{Self: "a", Ranker: owners, LocalRecords: owners, Forwarder: owners}).Handler()
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			body := strings.Replace(validAnnouncement, tc.old, tc.new, 1)
			require.NotEqual(t, validAnnouncement, body)
			w := post(h, body)
			assert.Equal(t, tc.kind, fault.Decode(w.Body.Bytes()).Kind)
		})
	}
}

// Guards against success being reported although no owner holds the record.
func TestHandlerRequiresOneReachableOwner(t *testing.T) {
	ranked := []membership.Member{
		{Name: "b", CallerAddress: "10.0.0.2:80"}, {Name: "c", CallerAddress: "10.0.0.3:80"}, {Name: "d", CallerAddress: "10.0.0.4:80"},
	}
	cases := []struct {
		desc   string
		ranked []membership.Member
		down   map[string]bool
		want   []string // owners; nil: owner_unreachable
	}{
		{"both", ranked, nil, []string{"10.0.0.2:80", "10.0.0.3:80"}},
		{"second only", ranked, map[string]bool{"b": true}, []string{"10.0.0.3:80"}},
		{"neither", ranked, map[string]bool{"b": true, "c": true}, nil},
		{"no entry in the region", nil, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			owners := &fakeOwners{ranked: tc.ranked, down: tc.down}
			s := &Server{Self: "a", Ranker: owners, LocalRecords: owners, Forwarder: owners}
			w := post(s.Handler(), validAnnouncement)
			if tc.want == nil {
				assert.Equal(t, fault.OwnerUnreachable, fault.Decode(w.Body.Bytes()).Kind)
				return
			}
			var reply Reply
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
			assert.Equal(t, tc.want, reply.Owners)
			assert.EqualValues(t, 6000, reply.LeaseMS)
			assert.NotContains(t, owners.reached, "d")
		})
	}
}

// Guards against an announcement that the owner rejected being reported as
// accepted.
func TestHandlerReportsRejectionByOwner(t *testing.T) {
	owners := &fakeOwners{ranked: []membership.Member{{Name: "b"}}, result: upstream.Rejected}
	s := &Server{Self: "a", Ranker: owners, LocalRecords: owners, Forwarder: owners}
	assert.Equal(t, fault.BadRequest, fault.Decode(post(s.Handler(), validAnnouncement).Body.Bytes()).Kind)
}

// Guards against announcements that end the process, and against accepted ones that
// a registry would reject, or that change when they are passed on.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"service":"s","address":"[::1]:1","slots":10000,"state":"leaving","incarnation":18446744073709551615}`))
	f.Add([]byte(`{"routes":[{}]}{}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := Decode(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if result := upstream.NewRegistry().Apply(a, time.Unix(1, 0)); result != upstream.Applied {
			t.Fatalf("%s: %+v", result, a)
		}
		passedOn, err := json.Marshal(a)
		require.NoError(t, err)
		again, err := Decode(bytes.NewReader(passedOn))
		require.NoError(t, err)
		require.Equal(t, a, again)
	})
}
