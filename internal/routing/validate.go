package routing

import (
	"fmt"
	"time"
)

// maxObjectiveBeyondTimeout is how far the latency objective of a route may lie
// above its timeout.
const maxObjectiveBeyondTimeout = time.Minute

// Validate returns why the document must be refused; nil: it is valid.
func (d *Document) Validate() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for _, h := range d.Hosts {
		if h.Name == "" {
			return fmt.Errorf("a host is empty")
		}
		for _, r := range h.Routes {
			if err := r.validate(services); err != nil {
				return fmt.Errorf("host %q, route %q: %w", h.Name, r.Name, err)
			}
		}
	}
	return nil
}

func (r Route) validate(services map[string]bool) error {
	switch r.Kind {
	case Idempotent, Once, Upload:
	default:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	if r.Timeout > 0 && r.Objective >= r.Timeout+maxObjectiveBeyondTimeout {
		return fmt.Errorf("objective %v is a minute or more above the timeout %v", r.Objective, r.Timeout)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("no destination")
	}
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return fmt.Errorf("unknown service %q", d.Service)
		}
		if d.Weight < 0 {
			return fmt.Errorf("weight %v of service %q is below zero", d.Weight, d.Service)
		}
	}
	return nil
}
