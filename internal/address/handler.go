package address

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
)

// Path is the path of address answers on the caller port.
const Path = "/v1/addresses"

var answers = metrics.NewCounter(`sequoialane_address_answers_total`)

// Members lists the members of the fleet.
type Members interface {
	Members() []membership.Member
}

// Handler answers GET /v1/addresses?service=S&region=R. The home region is the
// region of this entry, used if the query names none.
func Handler(members Members, homeRegion string, ttl time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service := r.URL.Query().Get("service")
		region := r.URL.Query().Get("region")
		if region == "" {
			region = homeRegion
		}
		if !plan.ValidName(service) || !plan.ValidName(region) {
			fault.Write(w, "", fault.New(fault.BadRequest, "want service and, optionally, region: 1 to 64 letters, digits, '.', '_' or '-'"))
			return
		}
		answers.Inc()
		encoded, err := json.Marshal(Build(members.Members(), service, region, ttl))
		if err != nil {
			fault.Write(w, "", fault.From(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		_, _ = w.Write(encoded)
	})
}
