// Package announce implements the HTTP handlers through which upstreams announce
// their targets. Announcements are forwarded to the owners of the service.
package announce

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
	"github.com/sequoialane/sequoialane/internal/membership"
	"github.com/sequoialane/sequoialane/internal/plan"
	"github.com/sequoialane/sequoialane/internal/upstream"
)

// Paths of the announcement handlers.
const (
	Path     = "/v1/announcements"      // caller port, upstream token
	PeerPath = "/peer/v1/announcements" // peer port, fleet token
)

// Limits of an announcement.
const (
	LeaseDuration  = 6 * time.Second
	maxBodyBytes   = 64 << 10
	maxSlots       = 10_000
	maxRoutes      = 256
	maxPathBytes   = 1024
	maxOwners      = 2 // number of entries, in rank order, that each announcement is sent to
	forwardTimeout = time.Second
)

var (
	accepted = metrics.NewCounter(`sequoialane_announcements_total{result="accepted"}`)
	outdated = metrics.NewCounter(`sequoialane_announcements_total{result="outdated"}`)
	rejected = metrics.NewCounter(`sequoialane_announcements_total{result="refused"}`)
	noOwner  = metrics.NewCounter(`sequoialane_announcements_total{result="owner_unreachable"}`)
)

// Reply is the response to an announcement.
type Reply struct {
	Result  upstream.ApplyResult `json:"result"`
	LeaseMS int64                `json:"lease_ms"`
	Owners  []string             `json:"owners"` // caller addresses of the owners that accepted it
}

// Ranker returns the usable entries of a region in the order in which they own
// the service, the owner first.
type Ranker interface {
	Rank(service, region string) []membership.Member
}

// LocalRecords applies announcements to the target records of this entry.
type LocalRecords interface {
	ApplyAnnouncement(a upstream.Announcement) upstream.ApplyResult
}

// Forwarder sends an announcement to another entry.
type Forwarder interface {
	ForwardAnnouncement(ctx context.Context, peer membership.Member, a upstream.Announcement) (upstream.ApplyResult, error)
}

// Server handles announcements of upstreams and of other entries.
type Server struct {
	Self         string // name of this entry
	Ranker       Ranker
	LocalRecords LocalRecords
	Forwarder    Forwarder
}

// Handler serves POST /v1/announcements. It does not check the upstream token;
// the code that mounts it must.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := Decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			rejected.Inc()
			fault.Write(w, "", fault.From(err))
			return
		}
		reply, err := s.forwardToOwners(r.Context(), a)
		if err != nil {
			noOwner.Inc()
			fault.Write(w, "", fault.From(err))
			return
		}
		writeJSON(w, reply)
	})
}

// PeerHandler serves announcements that another entry forwarded. It applies them
// to the records of this entry only. It does not check the fleet token; the code
// that mounts it must.
func (s *Server) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := Decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			fault.Write(w, "", fault.From(err))
			return
		}
		writeJSON(w, Reply{Result: s.LocalRecords.ApplyAnnouncement(a), LeaseMS: LeaseDuration.Milliseconds()})
	})
}

// forwardToOwners sends the announcement to the first maxOwners entries by rank
// concurrently. It succeeds if at least one of them accepts it.
func (s *Server) forwardToOwners(ctx context.Context, a upstream.Announcement) (Reply, error) {
	ranked := s.Ranker.Rank(a.Service, a.Region)
	ranked = ranked[:min(maxOwners, len(ranked))]
	if len(ranked) == 0 {
		return Reply{}, fault.Newf(fault.OwnerUnreachable, "region %q has no usable entry", a.Region).WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	results := make([]upstream.ApplyResult, len(ranked))
	var wg sync.WaitGroup
	for i, m := range ranked {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = s.deliverTo(ctx, m, a)
		}()
	}
	wg.Wait()
	return s.mergeResults(ranked, results)
}

// deliverTo sends the announcement to one entry. It returns "" if that fails.
func (s *Server) deliverTo(ctx context.Context, m membership.Member, a upstream.Announcement) upstream.ApplyResult {
	if m.Name == s.Self {
		return s.LocalRecords.ApplyAnnouncement(a)
	}
	result, err := s.Forwarder.ForwardAnnouncement(ctx, m, a)
	if err != nil {
		return ""
	}
	return result
}

// mergeResults builds the reply from the results of the owners, where "" stands
// for a failed delivery.
func (s *Server) mergeResults(ranked []membership.Member, results []upstream.ApplyResult) (Reply, error) {
	reply := Reply{LeaseMS: LeaseDuration.Milliseconds()}
	anyRejected := false
	for i, result := range results {
		if result == "" || result == upstream.Rejected {
			anyRejected = anyRejected || result == upstream.Rejected
			continue
		}
		reply.Owners = append(reply.Owners, ranked[i].CallerAddress)
		if reply.Result == "" || result == upstream.Applied {
			reply.Result = result
		}
	}
	if reply.Result == "" && anyRejected {
		return Reply{}, fault.New(fault.BadRequest, "the owner of the service rejected the record")
	}
	switch reply.Result {
	case "":
		return Reply{}, fault.New(fault.OwnerUnreachable, "no owner of the service accepted the record").WithRetryAfter(time.Second)
	case upstream.Outdated:
		outdated.Inc()
	default:
		accepted.Inc()
	}
	return reply, nil
}

// Decode reads an announcement and validates each field. Its errors are of type
// *fault.Error; if a field is invalid, the detail names it.
func Decode(body io.Reader) (upstream.Announcement, error) {
	var a upstream.Announcement
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return a, fault.Newf(fault.BodyTooLarge, "an announcement has at most %d bytes", maxBodyBytes)
		}
		return a, fault.New(fault.BadRequest, "announcement: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, fault.New(fault.BadRequest, "announcement: want exactly one JSON object")
	}
	if problem := validate(a); problem != "" {
		return a, fault.New(fault.BadRequest, "announcement: "+problem)
	}
	return a, nil
}

// validate returns a description of the first invalid field, or "".
func validate(a upstream.Announcement) string {
	at, err := netip.ParseAddrPort(a.Address)
	switch {
	case !plan.ValidName(a.Service):
		return "service: want 1 to 64 letters, digits, '.', '_' or '-'"
	case err != nil || at.Port() == 0 || at.Addr().IsUnspecified():
		return "address: want an IP address with a port"
	case !plan.ValidName(a.Region):
		return "region: want 1 to 64 letters, digits, '.', '_' or '-'"
	case !plan.ValidName(a.DataCentre):
		return "data_centre: want 1 to 64 letters, digits, '.', '_' or '-'"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots: want 1 to 10000"
	case a.State != upstream.Serving && a.State != upstream.Draining && a.State != upstream.Leaving:
		return "state: want serving, draining or leaving"
	case a.Incarnation == 0:
		return "incarnation: want a number above 0"
	case a.ProbePath != "" && !validPath(a.ProbePath):
		return "probe_path: want a path that starts with '/'"
	case len(a.Routes) > maxRoutes:
		return "routes: want at most 256"
	}
	for _, r := range a.Routes {
		if !validMethod(r.Method) || !validPath(r.PathPrefix) {
			return "routes: want a method or '*', and a path_prefix that starts with '/'"
		}
	}
	return ""
}

func validPath(p string) bool {
	return strings.HasPrefix(p, "/") && len(p) <= maxPathBytes && !strings.ContainsAny(p, " \r\n\t?#")
}

func validMethod(m string) bool {
	if m == "*" {
		return true
	}
	return m != "" && len(m) <= 16 && strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func writeJSON(w http.ResponseWriter, v Reply) {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic("announce: cannot encode reply: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
