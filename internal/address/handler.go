package address

import (
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
)

// Path is the path of address answers on the caller port.
const Path = "/v1/addresses"

var (
	answers     = metrics.NewCounter(`sequoialane_address_answers_total`)
	serviceRule = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
)

// ValidName reports whether text may name a service, region or data centre.
func ValidName(text string) bool { return serviceRule.MatchString(text) }

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
		if !ValidName(service) || !ValidName(region) {
			fault.Write(w, "", fault.New(fault.BadRequest, "want service and, optionally, region: lower-case letters, digits, '.', '_', '-'"))
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
