// Package routing defines the routing document, which maps requests to services
// and sets limits for them, and looks up and splits its routes. A document is
// replaced as a whole; the highest version wins.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind states how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	Idempotent Kind = "idempotent" // may run more than once
	Once       Kind = "once"       // runs at most once for each attempt of the caller
	Upload     Kind = "upload"     // has a large body and runs at most once
	Download   Kind = "download"   // has a large response and may run more than once
)

// IsIdempotent reports whether a request may be sent again after it may have run.
func (k Kind) IsIdempotent() bool { return k == Idempotent || k == Download }

// Document is the complete configuration of routes.
type Document struct {
	Version  uint64    `json:"version"`
	Limits   Limits    `json:"limits"`
	Hosts    []Host    `json:"hosts"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants,omitempty"` // empty: requests carry no keys
}

// Limits restrict what a caller may send. Zero means that the document sets no
// limit.
type Limits struct {
	MaxHeaderBytes int64         `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"` // for receiving the header
	IdleTimeout    time.Duration `json:"idle_timeout"`   // of a keep-alive connection
}

// Host holds the routes of a host name.
type Host struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route defines how requests under a path prefix are handled.
type Route struct {
	Name         string        `json:"name"`
	Kind         Kind          `json:"kind"`
	PathPrefix   string        `json:"path_prefix"` // begins and ends with a slash
	Objective    time.Duration `json:"objective"`   // latency objective; 0: none
	Timeout      time.Duration `json:"timeout"`     // time until the final response is due
	Priority     int           `json:"priority"`    // 0 is the most urgent
	MaxAttempts  int           `json:"max_attempts"`
	Destinations []Destination `json:"destinations"`
	// AllowAnonymous permits requests without a key although the document has
	// tenants.
	AllowAnonymous bool `json:"allow_anonymous,omitempty"`
}

// Destination is a service with its weight in a route.
type Destination struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"` // connections to one target from all entries
}

// Services returns the names of the services that the host's routes use, without
// duplicates.
func (h Host) Services() []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range h.Routes {
		for _, d := range r.Destinations {
			if !seen[d.Service] {
				seen[d.Service] = true
				names = append(names, d.Service)
			}
		}
	}
	return names
}

// Table looks up routes of a document.
type Table struct {
	Document *Document
	hosts    map[string]*Host
	tenants  map[string]*Tenant // by key digest

	tenantNames map[string]*Tenant // by name
	meanRate    float64            // of the tenants with a rate limit; 0: none has one
}

// NewTable indexes a valid document. Hosts whose names differ only in case are
// merged.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, hosts: make(map[string]*Host, len(d.Hosts))}
	for _, h := range d.Hosts {
		key := strings.ToLower(h.Name)
		if existing := t.hosts[key]; existing != nil {
			h.Routes = append(slices.Clone(existing.Routes), h.Routes...)
		}
		t.hosts[key] = &h
	}
	t.tenants = tenantsByDigest(d.Tenants)
	t.tenantNames = tenantsByName(d.Tenants)
	t.meanRate = meanRate(d.Tenants)
	return t
}

// Host returns the host with the name, which may include a port, or nil.
func (t *Table) Host(name string) *Host {
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	return t.hosts[strings.ToLower(name)]
}

// Match returns the route of the host with the longest matching path prefix, or
// nil.
func (t *Table) Match(host, path string) *Route {
	h := t.Host(host)
	if h == nil {
		return nil
	}
	var best *Route
	for i := range h.Routes {
		r := &h.Routes[i]
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
