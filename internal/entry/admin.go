package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/sequoialane/sequoialane/internal/configsync"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/owner"
)

// Members is the body of GET /admin/v1/members.
type Members struct {
	Epoch   uint64              `json:"epoch"`
	Members []membership.Member `json:"members"`
}

// Upstreams is the body of GET /admin/v1/upstreams: the services of this
// region that this entry ranks first or second for.
type Upstreams struct {
	Services []UpstreamService `json:"services"`
}

// UpstreamService describes one service in Upstreams.
type UpstreamService struct {
	Owner bool `json:"owner"` // this entry ranks first
	owner.View
}

// Status is the body of GET /admin/v1/status.
type Status struct {
	Version        string               `json:"version"`
	Self           membership.Member    `json:"self"`
	CatalogVersion uint64               `json:"catalog_version"`
	Freshness      configsync.Freshness `json:"freshness"`
	InFlight       int64                `json:"in_flight"`
	Services       int                  `json:"services"`
}

func (e *Entry) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Members{Epoch: e.table.Epoch(), Members: e.table.Members()})
}

func (e *Entry) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	body := Upstreams{Services: []UpstreamService{}}
	for _, s := range e.services.list() {
		body.Services = append(body.Services, UpstreamService{Owner: s.isFirst(), View: s.service.Snapshot()})
	}
	slices.SortFunc(body.Services, func(a, b UpstreamService) int { return strings.Compare(a.Service, b.Service) })
	writeJSON(w, body)
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Version:   e.version,
		Self:      e.table.Self(),
		Freshness: e.catalog.Freshness(),
		InFlight:  e.inFlight.Load(),
		Services:  len(e.services.list()),
	}
	if snapshot := e.catalog.Current(); snapshot != nil {
		status.CatalogVersion = snapshot.Version()
	}
	writeJSON(w, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic("entry: cannot encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
