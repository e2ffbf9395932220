// Package loadgen is an open-loop load generator: it sends requests to the fleet
// at times that do not depend on the responses, checks each response and counts
// outcomes. It is used by tests, demo and bench.
package loadgen

import (
	"fmt"
	"time"

	"github.com/sequoialane/sequoialane/internal/settings"
)

// Config is the configuration of the load generator, as in its settings file.
type Config struct {
	Entries     []string          `json:"entries,omitempty"` // caller addresses of the entries that are asked for a service's addresses
	Region      string            `json:"region"`
	Duration    settings.Duration `json:"duration"`
	Seed        uint64            `json:"seed"`
	MaxInFlight int               `json:"max_in_flight"` // requests due beyond this number are not sent but counted as dropped
	MaxAttempts int               `json:"tries"`         // maximum number of attempts for each request
	Streams     []Stream          `json:"streams"`
}

// Stream is a sequence of requests of one kind and one plan.
type Stream struct {
	Name            string            `json:"name"`
	Service         string            `json:"service"`
	Method          string            `json:"method"`
	Path            string            `json:"path"`
	Token           string            `json:"token"` // of the plan
	Rate            float64           `json:"rate"`  // arrivals per second
	RateChanges     []RateChange      `json:"swings,omitempty"`
	Timeout         settings.Duration `json:"timeout"`
	Keyed           bool              `json:"keyed"` // requests carry an idempotency key
	BodyBytes       int               `json:"body_bytes"`
	ResponseBytes   int               `json:"answer_bytes"`
	Work            settings.Duration `json:"work"`            // service time requested from the upstream; 0: the upstream's default
	StragglerShare  float64           `json:"straggler_share"` // share of requests whose work is multiplied by StragglerFactor
	StragglerFactor float64           `json:"straggler_factor"`
	ResendShare     float64           `json:"resend_share"` // share of keyed requests that are sent again after they end, whatever the outcome
}

// RateChange sets the rate of a stream from a time on.
type RateChange struct {
	At   settings.Duration `json:"at"` // time since the start
	Rate float64           `json:"rate"`
}

// DefaultConfig returns the default settings, into which a settings file is decoded.
func DefaultConfig() Config {
	return Config{Duration: settings.Duration(10 * time.Second), Seed: 1, MaxInFlight: 5000, MaxAttempts: 3}
}

// Check implements settings.Checker.
func (c *Config) Check(report settings.Report) {
	settings.RequireIntRange(report, "entries", len(c.Entries), 1, 10_000)
	settings.RequireNonEmpty(report, "region", c.Region)
	settings.RequireDurationRange(report, "duration", c.Duration, time.Millisecond, 24*time.Hour)
	settings.RequireIntRange(report, "max_in_flight", c.MaxInFlight, 1, 100_000)
	settings.RequireIntRange(report, "tries", c.MaxAttempts, 1, 10)
	settings.RequireIntRange(report, "streams", len(c.Streams), 1, 1000)
	for i := range c.Streams {
		c.Streams[i].check(report, fmt.Sprintf("streams[%d].", i))
	}
}

// check sets defaults for empty fields and reports invalid values.
func (s *Stream) check(report settings.Report, path string) {
	if s.Method == "" {
		s.Method = "GET"
	}
	if s.Path == "" {
		s.Path = "/"
	}
	if s.Timeout == 0 {
		s.Timeout = settings.Duration(2 * time.Second)
	}
	settings.RequireNonEmpty(report, path+"name", s.Name)
	settings.RequireNonEmpty(report, path+"service", s.Service)
	settings.RequireNonEmpty(report, path+"token", s.Token)
	settings.RequireDurationRange(report, path+"timeout", s.Timeout, time.Millisecond, time.Minute)
	settings.RequireIntRange(report, path+"body_bytes", s.BodyBytes, 0, 256<<20)
	if s.Rate < 0 || s.Rate > 100_000 {
		report(path+"rate", s.Rate, "want 0 to 100000 per second")
	}
	if s.ResendShare < 0 || s.ResendShare > 1 {
		report(path+"resend_share", s.ResendShare, "want a number from 0 to 1")
	}
	if s.StragglerShare < 0 || s.StragglerShare > 1 {
		report(path+"straggler_share", s.StragglerShare, "want a number from 0 to 1")
	}
}

// rateAt returns the arrivals per second when elapsed has passed since the start.
func (s *Stream) rateAt(elapsed time.Duration) float64 {
	rate := s.Rate
	for _, change := range s.RateChanges {
		if elapsed >= change.At.Std() {
			rate = change.Rate
		}
	}
	return rate
}
