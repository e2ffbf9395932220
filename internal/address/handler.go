package address

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/sys"
)

// Path is the path of address lookups on the caller port.
const Path = "/v1/addresses"

var responses = metrics.NewCounter(`sequoialane_address_answers_total`)

// Members lists the members of the fleet. The epoch increases when a member
// becomes usable or unusable.
type Members interface {
	Members() []membership.Member
	Epoch() uint64
}

// maxCacheAge bounds the age of the member list and so of the loads in it, since
// a change of load does not change the epoch.
const maxCacheAge = time.Second

// memberCache caches the member list until the epoch changes or maxCacheAge has
// passed, to avoid copying the large member table for each request.
type memberCache struct {
	source Members
	clock  sys.Clock

	mu    sync.Mutex
	epoch uint64
	at    time.Time
	list  []membership.Member
}

func (m *memberCache) current() []membership.Member {
	epoch, now := m.source.Epoch(), m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list == nil || epoch != m.epoch || now.Sub(m.at) > maxCacheAge {
		m.list, m.epoch, m.at = m.source.Members(), epoch, now
	}
	return m.list
}

// Handler serves GET /v1/addresses?service=S&region=R. ownRegion is the
// region of this entry; it is used if the query names none.
func Handler(members Members, clock sys.Clock, ownRegion string, ttl time.Duration) http.Handler {
	list := &memberCache{source: members, clock: clock}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service := r.URL.Query().Get("service")
		region := r.URL.Query().Get("region")
		if region == "" {
			region = ownRegion
		}
		if !plan.ValidName(service) || !plan.ValidName(region) {
			fault.Write(w, "", fault.New(fault.BadRequest, "want service and, optionally, region: 1 to 64 letters, digits, '.', '_' or '-'"))
			return
		}
		responses.Inc()
		encoded, err := json.Marshal(Build(list.current(), service, region, ttl))
		if err != nil {
			fault.Write(w, "", fault.From(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		_, _ = w.Write(encoded)
	})
}
