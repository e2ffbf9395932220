package routing

import (
	"fmt"
	"strings"
	"time"
)

// maxObjectiveBeyondTimeout is how far the latency objective of a route may
// exceed its timeout.
const maxObjectiveBeyondTimeout = time.Minute

// Validate returns an error if the document is invalid.
func (d *Document) Validate() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		if services[s.Name] {
			return fmt.Errorf("service %.64q is listed twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := validateTenants(d.Tenants); err != nil {
		return err
	}
	type location struct{ host, prefix string }
	locations := map[location]bool{}
	for _, h := range d.Hosts {
		if h.Name == "" {
			return fmt.Errorf("a host is empty")
		}
		name := strings.ToLower(h.Name)
		for _, r := range h.Routes {
			if err := r.validate(services); err != nil {
				return fmt.Errorf("host %.64q, route %.64q: %w", h.Name, r.Name, err)
			}
			at := location{name, r.PathPrefix}
			if locations[at] {
				return fmt.Errorf("host %.64q has two routes for %.64q", h.Name, r.PathPrefix)
			}
			locations[at] = true
		}
	}
	return nil
}

func (r Route) validate(services map[string]bool) error {
	switch r.Kind {
	case Idempotent, Once, Upload, Download:
	default:
		return fmt.Errorf("unknown kind %.64q", r.Kind)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("path prefix %.64q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 || r.Objective < 0 || r.Priority < 0 || r.MaxAttempts < 1 {
		return fmt.Errorf("timeout %v, objective %v, priority %d or attempts %d out of range", r.Timeout, r.Objective, r.Priority, r.MaxAttempts)
	}
	if r.Objective >= r.Timeout+maxObjectiveBeyondTimeout {
		return fmt.Errorf("objective %v is a minute or more above the timeout %v", r.Objective, r.Timeout)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("no destination")
	}
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
		if !services[d.Service] {
			return fmt.Errorf("unknown service %.64q", d.Service)
		}
		if d.Weight < 0 {
			return fmt.Errorf("weight %v of service %.64q is below zero", d.Weight, d.Service)
		}
	}
	if total <= 0 {
		return fmt.Errorf("all weights are zero")
	}
	return nil
}
