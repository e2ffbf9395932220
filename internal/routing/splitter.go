package routing

import "sync"

// Splitter distributes the requests of routes over their destinations by smooth
// weighted round robin: in proportion to the weights and evenly interleaved. It
// is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // credit of each destination, in requests, by host and route
}

// NewSplitter returns a splitter without credits.
func NewSplitter() *Splitter { return &Splitter{credits: map[string][]float64{}} }

// Reset discards all credits, as needed when the document changes.
func (s *Splitter) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.credits)
}

// Next returns the service of the next request of the route. Phase, from 0 to 1,
// sets where the sequence starts, so that entries do not run in step.
func (s *Splitter) Next(host string, r *Route, phase float64) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	if total <= 0 {
		return r.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := host + "\x00" + r.Name + "\x00" + r.PathPrefix
	credit := s.credits[key]
	if len(credit) != len(r.Destinations) {
		credit = initialCredits(r.Destinations, total, phase)
		s.credits[key] = credit
	}
	best := -1
	for i, d := range r.Destinations {
		credit[i] += d.Weight / total
		if d.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best]--
	return r.Destinations[best].Service
}

// initialCredits returns the credits with which the destination at the phase,
// on the scale of the cumulative weights, comes first.
func initialCredits(destinations []Destination, total, phase float64) []float64 {
	credit := make([]float64, len(destinations))
	for i, d := range destinations {
		share := d.Weight / total
		if phase < share {
			credit[i] += 1 - share
			for j := range destinations {
				if j != i {
					credit[j] -= destinations[j].Weight / total
				}
			}
			break
		}
		phase -= share
	}
	return credit
}
